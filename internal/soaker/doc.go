// Package soaker holds the fault soak: entries and sides as separate processes on
// loopback, with the stand-ins of package platformtest, random faults from outside
// in overlapping series, and checks of what callers and runners see. It has tests
// only.
//
// # Usage
//
//	go test ./internal/soaker -run TestSoak -soak.seeds 50
//	go test ./internal/soaker -run TestSoak -soak.first 17 -soak.seeds 1 -v
//
// The log of the processes of a seed that fails is kept, and its place printed.
package soaker

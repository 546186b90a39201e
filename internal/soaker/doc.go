// Package soaker contains the fault-injection soak test. It runs entries and a side
// as separate processes on loopback against the stand-ins of package platformtest,
// injects overlapping random faults from outside, and checks what callers and
// runners observe. The package contains tests only.
//
// # Usage
//
//	go test ./internal/soaker -run TestSoak -soak.seeds 50
//	go test ./internal/soaker -run TestSoak -soak.first 17 -soak.seeds 1 -v
//
// If a seed fails, the logs of its processes are kept and their directory is printed.
package soaker

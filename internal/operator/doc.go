// Package operator implements the operators' command line.
//
// Commands change the state of the fleet, queries only read it. Each has its own
// file and a row in the command table. Results are printed as text, or as JSON
// with --json.
//
// # Usage
//
//	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings, 3 conflict with
// another operator, 4 not found, 5 platform or instance unavailable.
package operator

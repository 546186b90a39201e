// Package operator is the command line of operators.
//
// Commands change the state of the fleet, queries only read it. Each has a file
// of its own and a row in the table. A command reports its result for people, or
// as JSON with --json.
//
// # Usage
//
//	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings, 3 conflict with
// another operator, 4 not found, 5 platform unavailable.
package operator

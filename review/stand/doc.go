// Command stand plays the cases of the review. It starts entries as the deploy file says,
// as separate processes on loopback addresses, and is their platform, their runners and
// their clients.
//
// # Usage
//
//	target/review/stand --case NAME --record review/1/record.txt
//
// With TROUBLE=0 in the environment the disruption of the case is left out. The exit code
// is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

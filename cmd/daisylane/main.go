// Command daisylane is the operators' command-line client of the fleet, see package
// operator.
package main

import (
	"os"

	"daisylane/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }

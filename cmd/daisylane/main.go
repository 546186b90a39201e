// Command daisylane is the operator's command line, see package operator.
package main

import (
	"os"

	"daisylane/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command side runs the sidecar process of one target.
package main

import (
	"os"

	"daisylane/internal/executor"
)

func main() { os.Exit(executor.Main(os.Args[1:], os.Stdout, os.Stderr)) }

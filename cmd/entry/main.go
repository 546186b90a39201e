// Command entry runs the router process of an entry instance.
package main

import (
	"os"

	"daisylane/internal/launcher"
)

func main() { os.Exit(launcher.Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Command entry runs an entry, the process that receives callers' requests and routes
// them to targets.
package main

import (
	"os"
	"slices"

	"daisylane/internal/launcher"
	"daisylane/internal/starter"
)

func main() {
	args := os.Args[1:]
	if slices.Contains(args, starter.PlatformFlag) {
		os.Exit(starter.RunEntry(args, os.Stdout, os.Stderr))
	}
	os.Exit(launcher.Main(args, os.Stdout, os.Stderr))
}

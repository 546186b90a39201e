// Command side runs a side, the process next to one target through which all requests
// to the target pass. On the users' platform it instead relays calls of entries to the
// platform's store.
package main

import (
	"os"
	"slices"

	"daisylane/internal/executor"
	"daisylane/internal/starter"
)

func main() {
	args := os.Args[1:]
	if slices.Contains(args, starter.PlatformFlag) {
		os.Exit(starter.RunSide(args, os.Stdout, os.Stderr))
	}
	os.Exit(executor.Main(args, os.Stdout, os.Stderr))
}

// Command side runs beside one target and is the only way to it. On the users'
// platform it relays calls of entries to the store.
package main

import (
	"os"
	"slices"

	"daisylane/internal/executor"
	"daisylane/internal/starter"
)

func main() {
	args := os.Args[1:]
	if slices.Contains(args, starter.Flag) {
		os.Exit(starter.Side(args, os.Stdout, os.Stderr))
	}
	os.Exit(executor.Main(args, os.Stdout, os.Stderr))
}

// Command prober runs load experiments against entries on loopback.
package main

import (
	"os"

	"daisylane/internal/prober"
)

func main() { os.Exit(prober.Main(os.Args[1:])) }

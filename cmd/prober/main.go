// Command prober generates load against entries on loopback and checks the results.
package main

import (
	"os"

	"daisylane/internal/prober"
)

func main() { os.Exit(prober.Main(os.Args[1:])) }

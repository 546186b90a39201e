// Command standin serves a stand-in for an outside system, for tests and experiments.
package main

import (
	"os"

	"daisylane/internal/faker"
)

func main() { os.Exit(faker.Main(os.Args[1:])) }

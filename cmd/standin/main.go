// Command standin serves a fake of an external system, for tests and experiments.
package main

import (
	"os"

	"daisylane/internal/faker"
)

func main() { os.Exit(faker.Main(os.Args[1:])) }

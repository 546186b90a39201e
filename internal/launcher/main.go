package launcher

import (
	"io"

	"daisylane/internal/invoker"
)

// exitSealed is the exit code after a successor sealed the journal and took over
// the shards. A new process must be started.
const exitSealed = 3

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return invoker.RunProcess(invoker.Program[Settings]{
		Name:        "entry",
		Description: "Serves the HTTP API and routes requests to targets. SIGTERM shuts it down gracefully.",
		Defaults:    Defaults(),
		Run:         Run,
		ExitCodes:   map[error]int{ErrSealed: exitSealed},
	}, args, stdout, stderr)
}

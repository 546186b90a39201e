package launcher

import (
	"io"

	"daisylane/internal/invoker"
)

// exitReplaced is the exit code after a successor took the shards: a new process
// has to be started.
const exitReplaced = 3

// Main runs the command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return invoker.Process(invoker.Program[Settings]{
		Name:     "entry",
		Text:     "Serves callers over HTTP and routes their requests to targets. SIGTERM stops it gracefully.",
		Defaults: Defaults(),
		Run:      Run,
		Codes:    map[error]int{ErrSealed: exitReplaced},
	}, args, stdout, stderr)
}

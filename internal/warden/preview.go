package warden

import (
	"time"

	"daisylane/internal/quarantiner"
)

// Preview is Check without a change of the state and without a log line.
func (w *Warden) Preview(s quarantiner.Subject) quarantiner.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.monitor.Preview(time.Now(), s)
}

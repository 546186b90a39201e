package archiver

import (
	"time"

	"daisylane/internal/registrar"
)

// PreviewVersions returns what Versions would, as far as this instance knows it without a call
// to the store. If a request would wait until more is known, it returns for how long at most.
func (a *Archiver) PreviewVersions(service string) (versions []string, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known, unlisted := a.state.Preview(time.Now(), service)
	if unlisted || time.Since(a.syncedAt) > registrar.StaleTime {
		wait = listWait
	}
	return append([]string{}, known...), wait // nil would be any
}

package archiver

import "slices"

// PreviewVersions returns the versions at which a stream of a service may begin, as far as this
// instance knows them, without a call to the store.
func (a *Archiver) PreviewVersions(service string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.state.Services(), service) {
		return []string{} // nil would be any
	}
	return append([]string{}, a.state.Versions(service)...)
}

package registrar

import "time"

// Preview returns the versions of a service, and what [Registrar.Hasten] would report, without
// making anything due.
func (r *Registrar) Preview(now time.Time, name string) (versions []string, unlisted bool) {
	s, ok := r.services[name]
	if !ok {
		return nil, false
	}
	writeAt := s.writeAt
	defer func() { s.writeAt = writeAt }()
	return r.Versions(name), r.Hasten(now, name)
}

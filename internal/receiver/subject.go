package receiver

import "daisylane/internal/quarantiner"

// identity returns the fingerprints of the request.
func (j *job) identity() []quarantiner.Fingerprint {
	if j.fingerprints == nil {
		c := quarantiner.Content{Method: j.req.Method, URI: j.req.RequestURI, Body: j.body, Model: j.meta.Model, Parts: partIDs(j.meta.Parts)}
		if j.account != nil {
			c.Account = j.account.Name
		}
		j.fingerprints = quarantiner.Fingerprints(c)
	}
	return j.fingerprints
}

// subject returns what the request is judged by.
func (j *job) subject() quarantiner.Subject {
	s := quarantiner.Subject{Service: j.service.Name, Parts: j.sharedParts}
	if j.r.guard.Suspects() {
		s.Requests = j.identity()
	}
	return s
}

// partIDs returns the IDs of prompt parts.
func partIDs(parts []Part) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

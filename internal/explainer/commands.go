package explainer

import "slices"

// Add records a decision about a request. If the ring is full, a new request evicts
// the oldest one. Of a request with too many records, the first ones and the newest
// are kept.
func (e *Explainer) Add(id string, r Record) {
	r.Step, r.Decision, r.Reason = sanitizeName(r.Step), sanitizeName(r.Decision), sanitizeName(r.Reason)
	r.Details = slices.Clone(r.Details[:min(len(r.Details), maxFields)])
	req := e.findOrAdd(id)
	if len(req.Records) < maxRecords {
		req.Records = append(req.Records, r)
		return
	}
	req.Records[maxRecords-1] = r
	req.Dropped++
}

func (e *Explainer) findOrAdd(id string) *Request {
	if req, ok := e.requests[id]; ok {
		return req
	}
	if e.requests[e.ring[e.next]] != nil {
		delete(e.requests, e.ring[e.next])
	}
	req := &Request{ID: id}
	e.ring[e.next], e.requests[id] = id, req
	e.next = (e.next + 1) % len(e.ring)
	return req
}

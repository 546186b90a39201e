package explainer

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Get returns the records of a request.
func (e *Explainer) Get(id string) (Request, error) {
	req, ok := e.requests[id]
	if !ok {
		return Request{}, fmt.Errorf("explain request %q: %w", id, ErrUnknown)
	}
	out := *req
	out.Records = slices.Clone(req.Records)
	return out, nil
}

// JSON returns the records of a request as JSON.
func (e *Explainer) JSON(id string) ([]byte, error) {
	req, err := e.Get(id)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode request %q: %w", id, err)
	}
	return data, nil
}

// Recent returns the ids of up to n latest requests, newest first.
func (e *Explainer) Recent(n int) []string {
	var ids []string
	for i := range e.ring {
		id := e.ring[(e.next-1-i+2*len(e.ring))%len(e.ring)]
		if len(ids) == n || e.requests[id] == nil {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

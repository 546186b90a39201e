// Package explainer keeps the recent decisions of a process by request, for the
// operator's explain command.
//
// The memory is bounded twice: by the number of requests, of which the oldest
// is dropped, and by the number of records per request. Details are typed
// fields with known keys. There is no field for payloads, headers, caller keys
// or tokens, so that records hold no secrets.
//
// # Usage
//
//	e := explainer.New(4096)
//	e.Add(id, explainer.Record{Time: now, Step: "choose", Decision: "side-3", Reason: "prefix",
//		Details: []explainer.Field{explainer.Duration("wait", wait)}})
//	data, err := e.JSON(id)
package explainer

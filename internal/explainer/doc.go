// Package explainer keeps the recent decisions of a process for each request, for
// the operator's explain command.
//
// Memory is bounded by the number of requests, of which the oldest is evicted, and
// by the number of records per request. Details are typed fields with known keys.
// There is no field for payloads, headers, caller keys or tokens, so that records
// contain no secrets.
//
// # Usage
//
//	e := explainer.New(4096)
//	e.Add(id, explainer.Record{Time: now, Step: "choose", Decision: "side-3", Reason: "prefix",
//		Details: []explainer.Field{explainer.Duration("wait", wait)}})
//	data, err := e.JSON(id)
package explainer

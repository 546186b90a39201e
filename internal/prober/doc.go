// Package prober runs experiments: it sends a bounded number of chat and
// service requests at a given rate to entries on loopback, sets fault switches
// at the stand-ins, and reports outcomes, latency, false refusals and
// differences between answers, runs and bills.
//
// # Usage
//
//	prober run experiment.toml --json
//
// An experiment file:
//
//	entries  = ["http://127.0.0.1:8080", "http://127.0.0.1:8081"]
//	engines  = ["http://127.0.0.1:9001"]
//	bookings = ["http://127.0.0.1:9101"]
//	seed     = 1
//	limit    = 10000     # requests in total
//	inflight = 500       # requests at once; further ones are counted as skipped
//	settle   = "2s"      # until the charge of an answer is durable
//
//	[[caller]]
//	name   = "clinic"
//	key    = "dl-key-1"
//	kind   = "chat"      # or service
//	path   = "/v1/chat/completions" # or "/services/NAME/bookings"
//	model  = "m"
//	share  = 0.8         # of the requests
//	worth  = 2.0
//	tokens = 64          # maximum output, or price of a service call
//	prefix = 512         # bytes of prompt that all requests share
//	budget = 100000      # prepaid tokens that only this caller spends, 0 if unknown
//	repeat = 2           # attempts with the same key after one without a final outcome
//
//	[[phase]]
//	name     = "outage"
//	rate     = 50.0      # requests per second
//	duration = "10s"
//
//	[[phase.fault]]
//	url  = "http://127.0.0.1:8000/faults"
//	body = '{"outage": true}'
//
// A refusal for lack of budget counts as false if the budget had room for the
// request during its whole time in flight. A request whose consumption is not
// known counts with its bound. Runs are found by the request's id in their
// content, whatever request ids the system uses. Answers of engines are compared with the output
// that the stand-in derives from the prompt.
package prober

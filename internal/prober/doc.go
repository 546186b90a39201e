// Package prober runs experiments: it sends a limited number of chat and service
// requests at a given rate to entries on loopback, sets fault switches of the
// stand-ins, and reports outcomes, latencies, false refusals and differences
// between responses, runs and bills.
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
//	limit    = 10000     # maximum number of requests
//	inflight = 500       # maximum in flight; further requests are counted as skipped
//	settle   = "2s"      # time until the charge for a response is durable
//
//	[[caller]]
//	name   = "clinic"
//	key    = "dl-key-1"
//	kind   = "chat"      # or service
//	path   = "/v1/chat/completions" # or "/services/NAME/bookings"
//	model  = "m"
//	share  = 0.8         # of all requests
//	worth  = 2.0
//	tokens = 64          # maximum output, or price of a service call
//	prefix = 512         # length of the prompt prefix that all requests share, in bytes
//	budget = 100000      # prepaid tokens used by this caller only, 0 if unknown
//	repeat = 2           # retries with the same key after an attempt without a final outcome
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
// request during its whole time in flight. A request whose consumption is unknown
// counts with its maximum tokens. Runs are matched to requests by the id in the
// content, as the system may assign other request ids. Responses of engines are
// compared with the output that the stand-in derives from the prompt.
package prober

// Package router serves the callers of the fleet over HTTP.
//
// It authenticates the client account, reserves tokens at the budget's holder,
// chooses a target, streams the answer from the target's side and settles the
// charge. Each caller gets the whole answer to its own request, or an error
// that says whether the request was not run, has an unknown outcome or was
// interrupted.
//
// Endpoints:
//
//	POST /v1/chat/completions      model request, plain or streamed
//	GET  /v1/models                models that the account may use
//	ANY  /services/{service}/...   request to a plain service
//	GET  /healthz, /readyz         state of the process
//
// # Usage
//
//	r := router.New(budgets, targets, pool, index, router.WithLogger(log))
//	srv := &http.Server{Handler: r.Handler()}
package router

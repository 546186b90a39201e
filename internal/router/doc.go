// Package router is the HTTP API of the fleet.
//
// For each request it authenticates the client account, reserves tokens with
// the holder of the budget's shard, chooses a target, streams the response from
// the target's side and settles the charge. A caller receives either the
// complete response to its own request or an error whose type says whether the
// request was not run, has an unknown outcome or was interrupted.
//
// Endpoints:
//
//	POST /v1/chat/completions      chat completion, plain or streamed
//	GET  /v1/models                models available to the account
//	ANY  /services/{service}/...   request forwarded to a service
//	GET  /healthz, /readyz         liveness and readiness
//
// # Usage
//
//	r := router.New(budgets, balancer, pool, index, router.WithLogger(log))
//	srv := &http.Server{Handler: r.Handler()}
package router

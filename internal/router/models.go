package router

import (
	"context"
	"net/http"
)

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// serveModels lists the models available to the account.
func (r *Router) serveModels(_ context.Context, w http.ResponseWriter, _ *http.Request, req request) *Error {
	list := modelList{Object: "list", Data: []model{}}
	seen := make(map[string]bool)
	for _, target := range req.index.AllowedTargets(req.account) {
		if target.Model == "" || seen[target.Model] {
			continue
		}
		seen[target.Model] = true
		list.Data = append(list.Data, model{ID: target.Model, Object: "model", Owner: "daisylane"})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

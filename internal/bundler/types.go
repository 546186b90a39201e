package bundler

import (
	"crypto/ed25519"
	"time"
)

// Kinds of targets.
const (
	KindModel   = "model"
	KindService = "service"
)

// Any matches every target, method or adapter in a list.
const Any = "*"

// Bundle is the configuration of the fleet that operators change at run time.
type Bundle struct {
	Regions  []string  `json:"regions,omitempty" toml:"regions,omitempty"`
	Accounts []Account `json:"accounts,omitempty" toml:"accounts,omitempty"`
	Budgets  []Budget  `json:"budgets,omitempty" toml:"budgets,omitempty"`
	Targets  []Target  `json:"targets,omitempty" toml:"targets,omitempty"`
}

// Account is a client account.
type Account struct {
	Name     string    `json:"name" toml:"name"`
	Keys     []string  `json:"keys,omitempty" toml:"keys,omitempty"`         // hashes of the bearer keys, see [HashKey]
	Home     string    `json:"home,omitempty" toml:"home,omitempty"`         // home region of claims, empty: chosen by hash
	Worth    float64   `json:"worth" toml:"worth"`                           // worth of a request
	Rate     float64   `json:"rate,omitempty" toml:"rate,omitempty"`         // requests per second, 0: no limit
	Inflight int       `json:"inflight,omitempty" toml:"inflight,omitempty"` // concurrent requests, 0: no limit
	Budgets  []Payment `json:"budgets,omitempty" toml:"budgets,omitempty"`   // the first payment that matches a target pays for it
	Targets  []string  `json:"targets,omitempty" toml:"targets,omitempty"`   // names of the targets it may reach
}

// Payment names a budget of an account and the targets that it pays for.
type Payment struct {
	Budget  string   `json:"budget" toml:"budget"`
	Targets []string `json:"targets" toml:"targets"`
}

// Budget is a prepaid budget. Its tokens come from top-ups.
type Budget struct {
	Name  string   `json:"name" toml:"name"`
	Ahead *float64 `json:"ahead,omitempty" toml:"ahead,omitempty"` // share of the allotment that is marked ahead, nil: setting of the holder
}

// Target is a model or service that requests are sent to.
type Target struct {
	Name     string   `json:"name" toml:"name"`
	Kind     string   `json:"kind" toml:"kind"`
	Model    string   `json:"model,omitempty" toml:"model,omitempty"`
	Adapters []string `json:"adapters,omitempty" toml:"adapters,omitempty"`
	Repeat   []string `json:"repeat,omitempty" toml:"repeat,omitempty"`   // HTTP methods that may be repeated
	Fences   bool     `json:"fences,omitempty" toml:"fences,omitempty"`   // rejects orders with an old fencing number
	Price    int64    `json:"price,omitempty" toml:"price,omitempty"`     // tokens per call of a service
	Context  int64    `json:"context,omitempty" toml:"context,omitempty"` // tokens of prompt and output together
	Output   Output   `json:"output,omitzero" toml:"output,omitempty"`
}

// Output bounds the output tokens of a request to a model.
type Output struct {
	Default int64 `json:"default" toml:"default"` // if the request sets none
	Limit   int64 `json:"limit" toml:"limit"`
}

// Chunk is an encoded part of a bundle.
type Chunk struct {
	Hash string // SHA-256 of the body in hex
	Body []byte
}

// Head describes one version of a bundle. Its signature covers all other fields.
type Head struct {
	Version   uint64    `json:"version"`
	Chunks    []string  `json:"chunks"` // hashes in order
	Author    string    `json:"author"` // name of the signing key
	Note      string    `json:"note,omitempty"`
	Time      time.Time `json:"time"`
	Signature []byte    `json:"signature,omitempty"`
}

// Trust holds the public keys of operators by author name.
type Trust map[string]ed25519.PublicKey

// Index answers the lookups of a request. It is immutable.
type Index struct {
	bundle  Bundle
	keys    map[string]int32 // key hash to account
	names   map[string]int32 // account name to account
	budgets map[string]int32
	targets map[string]int32
	models  map[string][]Target
}

package bundler

import (
	"crypto/ed25519"
	"time"
)

// Values of [Target.Kind].
const (
	KindModel   = "model"
	KindService = "service"
)

// Any is the list entry that matches every target, method or adapter.
const Any = "*"

// Bundle is the fleet configuration that operators change at run time.
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
	Home     string    `json:"home,omitempty" toml:"home,omitempty"`         // region that holds its claims, empty: chosen by hash
	Worth    float64   `json:"worth" toml:"worth"`                           // relative value of a request
	Rate     float64   `json:"rate,omitempty" toml:"rate,omitempty"`         // requests per second, 0: no limit
	Inflight int       `json:"inflight,omitempty" toml:"inflight,omitempty"` // concurrent requests, 0: no limit
	Budgets  []Payment `json:"budgets,omitempty" toml:"budgets,omitempty"`   // the first payment that lists a target is charged
	Targets  []string  `json:"targets,omitempty" toml:"targets,omitempty"`   // names of the targets it may use
}

// Payment names a budget of an account and the targets whose use is charged to it.
type Payment struct {
	Budget  string   `json:"budget" toml:"budget"`
	Targets []string `json:"targets" toml:"targets"`
}

// Budget is a prepaid token budget. Tokens are added by top-ups.
type Budget struct {
	Name string `json:"name" toml:"name"`
	// MarkAhead is the share of the allotment that is marked in advance. If nil, the
	// holder's setting applies.
	MarkAhead *float64 `json:"ahead,omitempty" toml:"ahead,omitempty"`
}

// Target is a model or service that requests are sent to.
type Target struct {
	Name               string   `json:"name" toml:"name"`
	Kind               string   `json:"kind" toml:"kind"`
	Model              string   `json:"model,omitempty" toml:"model,omitempty"`
	Adapters           []string `json:"adapters,omitempty" toml:"adapters,omitempty"`
	RetryMethods       []string `json:"repeat,omitempty" toml:"repeat,omitempty"`   // HTTP methods that may be retried
	RejectsStaleOrders bool     `json:"fences,omitempty" toml:"fences,omitempty"`   // rejects orders with a stale fencing number
	Price              int64    `json:"price,omitempty" toml:"price,omitempty"`     // tokens per call of a service
	Context            int64    `json:"context,omitempty" toml:"context,omitempty"` // tokens of prompt and output together
	Output             Output   `json:"output,omitzero" toml:"output,omitempty"`
}

// Output sets the default and the limit of output tokens for requests to a model.
type Output struct {
	Default int64 `json:"default" toml:"default"` // used if the request sets no limit
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
	Chunks    []string  `json:"chunks"` // hashes, in order
	Author    string    `json:"author"` // name of the signing key
	Note      string    `json:"note,omitempty"`
	Time      time.Time `json:"time"`
	Signature []byte    `json:"signature,omitempty"`
}

// TrustedKeys holds the public keys of operators by author name.
type TrustedKeys map[string]ed25519.PublicKey

// Index holds the lookup tables of one bundle. It is immutable.
type Index struct {
	bundle         Bundle
	accountsByKey  map[string]int32 // key hash to account
	accountsByName map[string]int32 // account name to account
	budgets        map[string]int32
	targets        map[string]int32
	targetsByModel map[string][]Target
}

package bundler

import (
	"bytes"
	"fmt"
	"math"

	"github.com/BurntSushi/toml"

	"daisylane/internal/checker"
)

const (
	maxNameBytes  = 128
	maxKeys       = 64
	maxPayments   = 256
	maxTokens     = int64(1) << 40
	maxWorth      = 1e9
	maxRate       = 1e6
	maxInflight   = 1_000_000
	hashHexDigits = 64
)

// Parse decodes and checks a bundle in TOML. Unknown keys are an error.
func Parse(data []byte) (Bundle, error) {
	var b Bundle
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(&b)
	if err != nil {
		return Bundle{}, fmt.Errorf("parse bundle: %w", err)
	}
	var f checker.Faults
	for _, key := range meta.Undecoded() {
		f.Add(key.String(), "unknown key, remove it or correct its spelling")
	}
	if err := f.Err(); err != nil {
		return Bundle{}, fmt.Errorf("parse bundle: %w", err)
	}
	if err := b.Check(); err != nil {
		return Bundle{}, fmt.Errorf("check bundle: %w", err)
	}
	return b, nil
}

// Check reports all faults: of single values, names used twice, and references
// to regions, budgets or targets that the bundle does not define.
func (b Bundle) Check() error {
	var f checker.Faults
	regions := distinct(&f, "regions", b.Regions, func(s string) string { return s })
	budgets := distinct(&f, "budgets", b.Budgets, func(v Budget) string { return v.Name })
	targets := distinct(&f, "targets", b.Targets, func(v Target) string { return v.Name })
	distinct(&f, "accounts", b.Accounts, func(v Account) string { return v.Name })
	f.Require(len(b.Regions) > 0, "regions", "is empty, name at least one region")
	for _, v := range b.Budgets {
		within(&f, "budgets", v.Name, v.Check())
	}
	for _, v := range b.Targets {
		within(&f, "targets", v.Name, v.Check())
	}
	owners := make(map[string]string, len(b.Accounts))
	for _, a := range b.Accounts {
		within(&f, "accounts", a.Name, a.Check())
		within(&f, "accounts", a.Name, a.checkReferences(regions, budgets, targets))
		for _, key := range a.Keys {
			if owner, taken := owners[key]; taken {
				f.Add("accounts."+a.Name+".keys", "key %.12s… is also a key of account %s, remove one", key, owner)
			}
			owners[key] = a.Name
		}
	}
	return f.Err()
}

// Check reports the faults of the account itself, not of its references.
func (a Account) Check() error {
	var f checker.Faults
	f.Require(between(a.Worth, math.SmallestNonzeroFloat64, maxWorth), "worth", "is %v, allowed is over 0 to %v", a.Worth, maxWorth)
	f.Require(between(a.Rate, 0, maxRate), "rate", "is %v, allowed is 0 to %v", a.Rate, maxRate)
	checker.Range(&f, "inflight", a.Inflight, 0, maxInflight)
	checker.Range(&f, "keys", len(a.Keys), 0, maxKeys)
	checker.Range(&f, "budgets", len(a.Budgets), 0, maxPayments)
	for _, key := range a.Keys {
		f.Require(isHash(key), "keys", "%.12q is not a SHA-256 in lower-case hex, make one with 'daisylane key new'", key)
	}
	for _, p := range a.Budgets {
		f.Require(len(p.Targets) > 0, "budgets."+p.Budget, "pays for no target, name targets or %q", Any)
	}
	return f.Err()
}

func (a Account) checkReferences(regions, budgets, targets map[string]struct{}) error {
	var f checker.Faults
	if a.Home != "" {
		known(&f, "home", a.Home, regions)
	}
	for _, p := range a.Budgets {
		known(&f, "budgets", p.Budget, budgets)
		for _, name := range p.Targets {
			knownOrAny(&f, "budgets."+p.Budget+".targets", name, targets)
		}
	}
	for _, name := range a.Targets {
		knownOrAny(&f, "targets", name, targets)
	}
	return f.Err()
}

// Check reports the faults of the budget.
func (b Budget) Check() error {
	var f checker.Faults
	if b.Ahead != nil {
		f.Require(between(*b.Ahead, 0, 1), "ahead", "is %v, allowed is 0 to 1", *b.Ahead)
	}
	return f.Err()
}

// Check reports the faults of the target.
func (t Target) Check() error {
	var f checker.Faults
	for _, name := range t.Repeat {
		f.Require(name == Any || isName(name), "repeat", "%q is not an HTTP method or %q", name, Any)
	}
	for _, name := range t.Adapters {
		f.Require(name == Any || isName(name), "adapters", "%q is not an adapter name or %q", name, Any)
	}
	switch t.Kind {
	case KindModel:
		f.Require(isName(t.Model), "model", "is %q, name the model", t.Model)
		checker.Range(&f, "context", t.Context, 1, maxTokens)
		checker.Range(&f, "output.limit", t.Output.Limit, 1, max(t.Context, 1))
		checker.Range(&f, "output.default", t.Output.Default, 1, max(t.Output.Limit, 1))
		f.Require(t.Price == 0, "price", "is for services only, remove it")
	case KindService:
		checker.Range(&f, "price", t.Price, 0, maxTokens)
		f.Require(t.Model == "" && len(t.Adapters) == 0, "model", "model and adapters are for models only, remove them")
		f.Require(t.Context == 0 && t.Output == Output{}, "context", "context and output are for models only, remove them")
	default:
		f.Add("kind", "is %q, allowed is %q or %q", t.Kind, KindModel, KindService)
	}
	return f.Err()
}

func within(f *checker.Faults, list, name string, err error) {
	if err != nil {
		f.Within(list+"."+name, err)
	}
}

func distinct[T any](f *checker.Faults, key string, list []T, name func(T) string) map[string]struct{} {
	seen := make(map[string]struct{}, len(list))
	for _, v := range list {
		s := name(v)
		if !isName(s) {
			f.Add(key, "%q is not a name: use 1 to %d letters, digits and ._/:@-", s, maxNameBytes)
		}
		if _, ok := seen[s]; ok {
			f.Add(key, "%q is there twice, remove one", s)
		}
		seen[s] = struct{}{}
	}
	return seen
}

func known(f *checker.Faults, key, name string, defined map[string]struct{}) {
	if _, ok := defined[name]; !ok {
		f.Add(key, "%q is not defined in this bundle", name)
	}
}

func knownOrAny(f *checker.Faults, key, name string, defined map[string]struct{}) {
	if name != Any {
		known(f, key, name, defined)
	}
}

func between(v, low, high float64) bool { return v >= low && v <= high }

func isName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '-' || c == '/' || c == ':' || c == '@'
}

func isHash(s string) bool {
	if len(s) != hashHexDigits {
		return false
	}
	for i := range len(s) {
		if (s[i] < '0' || s[i] > '9') && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return true
}

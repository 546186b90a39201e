package bundler

import (
	"bytes"
	"fmt"
	"math"
	"slices"

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

// Parse decodes and validates a bundle in TOML. Unknown keys are an error.
func Parse(data []byte) (Bundle, error) {
	var b Bundle
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(&b)
	if err != nil {
		return Bundle{}, fmt.Errorf("parse bundle: %w", err)
	}
	var f checker.Validator
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

// Check reports all errors at once: invalid values, duplicate names, and
// references to regions, budgets or targets that the bundle does not define.
func (b Bundle) Check() error {
	_, err := NewIndex(b)
	return err
}

func (x *Index) check(f *checker.Validator) {
	b := x.bundle
	f.Require(len(b.Regions) > 0, "regions", "is empty, list at least one region")
	for i, name := range b.Regions {
		checkName(f, "regions", name, !slices.Contains(b.Regions[:i], name))
	}
	for i, v := range b.Budgets {
		checkName(f, "budgets", v.Name, x.budgets[v.Name] == int32(i))
		addErrors(f, "budgets", v.Name, v.Check())
	}
	for i, v := range b.Targets {
		checkName(f, "targets", v.Name, x.targets[v.Name] == int32(i))
		addErrors(f, "targets", v.Name, v.Check())
	}
	names := make(map[string]struct{}, len(b.Accounts))
	for i, a := range b.Accounts {
		_, taken := names[a.Name]
		names[a.Name] = struct{}{}
		checkName(f, "accounts", a.Name, !taken)
		addErrors(f, "accounts", a.Name, a.Check())
		addErrors(f, "accounts", a.Name, x.checkAccount(int32(i), a))
	}
}

func (x *Index) checkAccount(i int32, a Account) error {
	var f checker.Validator
	for j, key := range a.Keys {
		if x.accountsByKey[key] != i || slices.Contains(a.Keys[:j], key) {
			f.Add("keys", "key %.12s… is listed twice, remove one", key)
		}
	}
	if a.Home != "" {
		f.Require(slices.Contains(x.bundle.Regions, a.Home), "home", "%q is not a region of this bundle", a.Home)
	}
	for _, p := range a.Budgets {
		if _, ok := x.budgets[p.Budget]; !ok {
			f.Add("budgets", "%q is not defined in this bundle", p.Budget)
		}
		x.checkTargets(&f, "budgets", p.Targets)
	}
	x.checkTargets(&f, "targets", a.Targets)
	return f.Err()
}

func (x *Index) checkTargets(f *checker.Validator, key string, names []string) {
	for _, name := range names {
		if _, ok := x.targets[name]; !ok && name != Any {
			f.Add(key, "target %q is not defined in this bundle", name)
		}
	}
}

// Check validates the account's own values. References are checked by [Bundle.Check].
func (a Account) Check() error {
	var f checker.Validator
	f.Require(inRange(a.Worth, math.SmallestNonzeroFloat64, maxWorth), "worth", "is %v, must be above 0 and at most %v", a.Worth, maxWorth)
	f.Require(inRange(a.Rate, 0, maxRate), "rate", "is %v, allowed is 0 to %v", a.Rate, maxRate)
	checker.Range(&f, "inflight", a.Inflight, 0, maxInflight)
	checker.Range(&f, "keys", len(a.Keys), 0, maxKeys)
	checker.Range(&f, "budgets", len(a.Budgets), 0, maxPayments)
	for _, key := range a.Keys {
		if isHash(key) {
			continue
		}
		f.Add("keys", "%.12q is not a SHA-256 in lower-case hex, create one with 'daisylane key new'", key)
	}
	for _, p := range a.Budgets {
		if len(p.Targets) == 0 {
			f.Add("budgets", "%q lists no targets, list targets or %q", p.Budget, Any)
		}
	}
	return f.Err()
}

// Check validates the budget.
func (b Budget) Check() error {
	var f checker.Validator
	if b.MarkAhead != nil {
		f.Require(inRange(*b.MarkAhead, 0, 1), "ahead", "is %v, allowed is 0 to 1", *b.MarkAhead)
	}
	return f.Err()
}

// Check validates the target.
func (t Target) Check() error {
	var f checker.Validator
	for _, name := range t.RetryMethods {
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
		f.Require(t.Price == 0, "price", "applies to services only, remove it")
	case KindService:
		checker.Range(&f, "price", t.Price, 0, maxTokens)
		f.Require(t.Model == "" && len(t.Adapters) == 0, "model", "model and adapters apply to models only, remove them")
		f.Require(t.Context == 0 && t.Output == Output{}, "context", "context and output apply to models only, remove them")
	default:
		f.Add("kind", "is %q, allowed is %q or %q", t.Kind, KindModel, KindService)
	}
	return f.Err()
}

func addErrors(f *checker.Validator, list, name string, err error) {
	if err != nil {
		f.AddNested(list+"."+name, err)
	}
}

func checkName(f *checker.Validator, key, name string, unique bool) {
	if !isName(name) {
		f.Add(key, "%q is not a name: use 1 to %d letters, digits and ._/:@-", name, maxNameBytes)
	}
	if !unique {
		f.Add(key, "%q is listed twice, remove one", name)
	}
}

func inRange(v, low, high float64) bool { return v >= low && v <= high }

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

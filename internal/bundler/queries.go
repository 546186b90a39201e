package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"daisylane/internal/checker"
)

// HashKey returns the form in which a bundle holds a bearer key.
func HashKey(key string) string { return hash([]byte(key)) }

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Reaches reports whether the account may use the target.
func (a Account) Reaches(target string) bool { return matches(a.Targets, target) }

// Repeats reports whether calls with the HTTP method may be repeated.
func (t Target) Repeats(method string) bool { return matches(t.Repeat, method) }

// Serves reports whether the target is a model that has the adapter. An empty
// adapter means the base model.
func (t Target) Serves(adapter string) bool {
	return t.Kind == KindModel && (adapter == "" || matches(t.Adapters, adapter))
}

func matches(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, Any)
}

// NewIndex checks the bundle and builds its index. The bundle must not be
// changed afterwards. The checks use the index, because building the maps is
// most of the work of both.
func NewIndex(b Bundle) (*Index, error) {
	x := index(b)
	var f checker.Faults
	x.check(&f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

func index(b Bundle) *Index {
	x := &Index{
		bundle:  b,
		keys:    make(map[string]int32, len(b.Accounts)),
		names:   make(map[string]int32, len(b.Accounts)),
		budgets: make(map[string]int32, len(b.Budgets)),
		targets: make(map[string]int32, len(b.Targets)),
		models:  make(map[string][]Target),
	}
	for i, a := range b.Accounts {
		x.names[a.Name] = int32(i)
		for _, key := range a.Keys {
			x.keys[key] = int32(i)
		}
	}
	for i, budget := range b.Budgets {
		x.budgets[budget.Name] = int32(i)
	}
	for i, t := range b.Targets {
		x.targets[t.Name] = int32(i)
		if t.Kind == KindModel {
			x.models[t.Model] = append(x.models[t.Model], t)
		}
	}
	return x
}

// Regions returns the regions of the bundle.
func (x *Index) Regions() []string { return x.bundle.Regions }

// AccountByKey returns the account that owns the bearer key with this hash.
func (x *Index) AccountByKey(hash string) (Account, bool) {
	i, ok := x.keys[hash]
	if !ok {
		return Account{}, false
	}
	return x.bundle.Accounts[i], true
}

// Account returns the account with this name.
func (x *Index) Account(name string) (Account, bool) {
	i, ok := x.names[name]
	if !ok {
		return Account{}, false
	}
	return x.bundle.Accounts[i], true
}

// Target returns the target with this name.
func (x *Index) Target(name string) (Target, bool) {
	i, ok := x.targets[name]
	if !ok {
		return Target{}, false
	}
	return x.bundle.Targets[i], true
}

// Model returns the targets that run the model. The slice must not be changed.
func (x *Index) Model(model string) []Target { return x.models[model] }

// Budget returns the budget with this name.
func (x *Index) Budget(name string) (Budget, bool) {
	i, ok := x.budgets[name]
	if !ok {
		return Budget{}, false
	}
	return x.bundle.Budgets[i], true
}

// BudgetFor returns the budget that pays for the account's use of the target:
// the first in the account's order that lists the target or [Any].
func (x *Index) BudgetFor(account Account, target string) (Budget, bool) {
	for _, p := range account.Budgets {
		if matches(p.Targets, target) {
			return x.Budget(p.Budget)
		}
	}
	return Budget{}, false
}

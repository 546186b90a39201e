package bundler

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"daisylane/internal/checker"
)

// HashKey returns the SHA-256 hash, in hex, under which a bundle stores a bearer key.
func HashKey(key string) string { return hash([]byte(key)) }

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// MayUse reports whether the account may use the target.
func (a Account) MayUse(target string) bool { return matches(a.Targets, target) }

// Retryable reports whether requests with the HTTP method may be retried.
func (t Target) Retryable(method string) bool { return matches(t.RetryMethods, method) }

// Serves reports whether the target is a model that serves the adapter. An empty
// adapter means the base model.
func (t Target) Serves(adapter string) bool {
	return t.Kind == KindModel && (adapter == "" || matches(t.Adapters, adapter))
}

func matches(list []string, name string) bool {
	return slices.Contains(list, name) || slices.Contains(list, Any)
}

// NewIndex validates the bundle and builds its index. The bundle must not be
// modified afterwards. Validation uses the index, because building the maps is
// most of the cost of both.
func NewIndex(b Bundle) (*Index, error) {
	x := buildIndex(b)
	var f checker.Validator
	x.check(&f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return x, nil
}

func buildIndex(b Bundle) *Index {
	x := &Index{
		bundle:         b,
		accountsByKey:  make(map[string]int32, len(b.Accounts)),
		accountsByName: make(map[string]int32, len(b.Accounts)),
		budgets:        make(map[string]int32, len(b.Budgets)),
		targets:        make(map[string]int32, len(b.Targets)),
		targetsByModel: make(map[string][]Target),
	}
	for i, a := range b.Accounts {
		x.accountsByName[a.Name] = int32(i)
		for _, key := range a.Keys {
			x.accountsByKey[key] = int32(i)
		}
	}
	for i, budget := range b.Budgets {
		x.budgets[budget.Name] = int32(i)
	}
	for i, t := range b.Targets {
		x.targets[t.Name] = int32(i)
		if t.Kind == KindModel {
			x.targetsByModel[t.Model] = append(x.targetsByModel[t.Model], t)
		}
	}
	return x
}

// Regions returns the regions of the bundle.
func (x *Index) Regions() []string { return x.bundle.Regions }

// AccountByKey returns the account whose bearer key has this hash.
func (x *Index) AccountByKey(hash string) (Account, bool) {
	i, ok := x.accountsByKey[hash]
	if !ok {
		return Account{}, false
	}
	return x.bundle.Accounts[i], true
}

// Account returns the account with this name.
func (x *Index) Account(name string) (Account, bool) {
	i, ok := x.accountsByName[name]
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

// TargetsForModel returns the targets that run the model. The caller must not modify the slice.
func (x *Index) TargetsForModel(model string) []Target { return x.targetsByModel[model] }

// Budget returns the budget with this name.
func (x *Index) Budget(name string) (Budget, bool) {
	i, ok := x.budgets[name]
	if !ok {
		return Budget{}, false
	}
	return x.bundle.Budgets[i], true
}

// BudgetFor returns the budget that is charged for the account's use of the target:
// the first of the account's payments that lists the target or [Any].
func (x *Index) BudgetFor(account Account, target string) (Budget, bool) {
	for _, p := range account.Budgets {
		if matches(p.Targets, target) {
			return x.Budget(p.Budget)
		}
	}
	return Budget{}, false
}

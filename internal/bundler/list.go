package bundler

// AllowedTargets returns the targets that an account may use, in bundle order.
func (x *Index) AllowedTargets(account Account) []Target {
	var list []Target
	for _, t := range x.bundle.Targets {
		if account.MayUse(t.Name) {
			list = append(list, t)
		}
	}
	return list
}

// Accounts returns all accounts in bundle order. The caller must not modify the slice.
func (x *Index) Accounts() []Account { return x.bundle.Accounts }

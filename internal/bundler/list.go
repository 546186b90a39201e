package bundler

// Reachable returns the targets that an account may reach, in the order of the bundle.
func (x *Index) Reachable(account Account) []Target {
	var list []Target
	for _, t := range x.bundle.Targets {
		if account.Reaches(t.Name) {
			list = append(list, t)
		}
	}
	return list
}

// Accounts returns all accounts in the order of the bundle. The slice must not be changed.
func (x *Index) Accounts() []Account { return x.bundle.Accounts }

package executor

import (
	"daisylane/internal/credentialer"
	"daisylane/internal/watcher"
)

const roleOperator = "operator"

// credentials loads the files. Routers and operators call a side, and a side
// calls routers; certificates of other roles are refused.
func (t TLSFiles) credentials() (*credentialer.Credentials, error) {
	return credentialer.New(credentialer.Files{Cert: t.Cert, Key: t.Key, CA: t.CA})
}

func serverRoles() []string { return []string{watcher.Entry, roleOperator} }

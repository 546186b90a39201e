package operator

// Groups of commands.
const (
	groupCommand = "command" // changes state
	groupQuery   = "query"   // only reads
)

type row struct {
	noun, verb  string
	group       string
	description string
	newCommand  func(env *env) any
}

// commandTable lists all commands. A row without a verb is a top-level command.
var commandTable = []row{
	{"key", "new", groupCommand, "create a bearer key of an account, or a signing key of an operator", newKeyNew},
	{"key", "ca", groupCommand, "create a certificate authority for mutual TLS", newKeyCA},
	{"key", "cert", groupCommand, "create or renew the certificate of a process", newKeyCert},
	{"bundle", "sign", groupCommand, "sign a bundle and write it to a file for 'bundle push --signed'", newBundleSign},
	{"bundle", "push", groupCommand, "make a bundle the active version", newBundlePush},
	{"bundle", "prune", groupCommand, "delete chunks that no recent version needs", newBundlePrune},
	{"budget", "topup", groupCommand, "add prepaid tokens to a budget", newBudgetTopUp},
	{"budget", "release", groupCommand, "confirm that a side is gone, to release the tokens withheld because of it", newBudgetRelease},
	{"target", "drain", groupCommand, "drain a target, or return it to service with --undo", newTargetDrain},
	{"target", "order", groupCommand, "have engines load or unload a model, or change their role", newTargetOrder},
	{"bundle", "check", groupQuery, "check a bundle file", newBundleCheck},
	{"bundle", "show", groupQuery, "print the active bundle", newBundleShow},
	{"bundle", "diff", groupQuery, "compare a bundle file with the active bundle, or with another file", newBundleDiff},
	{"budget", "show", groupQuery, "print the tokens of a budget", newBudgetShow},
	{"status", "", groupQuery, "print the state of all processes", newStatus},
	{"explain", "", groupQuery, "print what the fleet decided about a request", newExplain},
	{"settings", "check", groupQuery, "check a settings file", newSettingsCheck},
}

package operator

// Groups of the table.
const (
	groupCommand = "command" // changes state
	groupQuery   = "query"   // only reads
)

type row struct {
	noun, verb string
	group      string
	text       string
	create     func(env *env) any
}

// table lists all commands. A row without a verb is a command of one word.
var table = []row{
	{"key", "new", groupCommand, "make a bearer key of an account, or a signing key of an operator", newKeyNew},
	{"key", "ca", groupCommand, "make a certificate authority for mutual TLS", newKeyCA},
	{"key", "cert", groupCommand, "make or renew the certificate of a process", newKeyCert},
	{"bundle", "sign", groupCommand, "sign a bundle and write it to a file for 'bundle push --signed'", newBundleSign},
	{"bundle", "push", groupCommand, "put a bundle in force", newBundlePush},
	{"bundle", "prune", groupCommand, "delete chunks that no recent version needs", newBundlePrune},
	{"budget", "topup", groupCommand, "add prepaid tokens to a budget", newBudgetTopUp},
	{"budget", "release", groupCommand, "confirm that a side is gone, so that the tokens that wait for it are released", newBudgetRelease},
	{"target", "drain", groupCommand, "take a target out of service, or back with --undo", newTargetDrain},
	{"target", "order", groupCommand, "have engines load or unload a model, or change their role", newTargetOrder},
	{"bundle", "check", groupQuery, "check a bundle file", newBundleCheck},
	{"bundle", "show", groupQuery, "print the bundle in force", newBundleShow},
	{"bundle", "diff", groupQuery, "compare a bundle file with the bundle in force, or with another file", newBundleDiff},
	{"budget", "show", groupQuery, "print the tokens of a budget", newBudgetShow},
	{"status", "", groupQuery, "print the state of all processes", newStatus},
	{"explain", "", groupQuery, "print what the fleet decided about a request", newExplain},
	{"settings", "check", groupQuery, "check a settings file", newSettingsCheck},
}

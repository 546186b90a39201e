package operator

import (
	"io"

	"daisylane/internal/checker"
	"daisylane/internal/executor"
	"daisylane/internal/launcher"
	"daisylane/internal/loader"
)

type settingsCheck struct {
	env  *env
	Role string `long:"role" default:"operator" choice:"entry" choice:"side" choice:"operator" description:"binary that the settings are for"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

func newSettingsCheck(env *env) any { return &settingsCheck{env: env} }

// Execute implements [flags.Commander].
func (c *settingsCheck) Execute([]string) error {
	var err error
	switch c.Role {
	case "entry":
		err = loadSettings(c.Args.File, launcher.Defaults())
	case "side":
		err = loadSettings(c.Args.File, executor.Defaults())
	default:
		err = loadSettings(c.Args.File, Defaults())
	}
	if err != nil {
		return err
	}
	return c.env.print(map[string]string{"file": c.Args.File, "role": c.Role}, func(w io.Writer) {
		printLine(w, "%s: valid settings of %s", c.Args.File, c.Role)
	})
}

func loadSettings[T checker.Checker](file string, defaults T) error {
	_, err := loader.Load(file, defaults)
	return err
}

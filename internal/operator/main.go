package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

type globals struct {
	Settings string `short:"s" long:"settings" env:"DAISYLANE_SETTINGS" value-name:"FILE" description:"settings of the operator in TOML"`
	Platform string `long:"platform" env:"DAISYLANE_PLATFORM" value-name:"URL" description:"URL of the platform, overrides the settings"`
	JSON     bool   `long:"json" description:"print JSON for scripts"`
}

// Main runs one command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	env := &env{stdout: stdout}
	parser, err := newParser(env)
	if err != nil {
		return reportError(err, env, stderr)
	}
	_, err = parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(stdout, err)
		return exitOK
	}
	return reportError(err, env, stderr)
}

func newParser(env *env) (*flags.Parser, error) {
	parser := flags.NewNamedParser("daisylane", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Configures and inspects the router fleet. Exit codes: 0 success, 1 failure, 2 wrong usage or settings, " +
		"3 conflict with another operator, 4 not found, 5 platform or instance unavailable."
	if _, err := parser.AddGroup("Global options", "", &env.globals); err != nil {
		return nil, fmt.Errorf("set up options: %w", err)
	}
	for _, row := range commandTable {
		if err := addCommand(parser, env, row); err != nil {
			return nil, fmt.Errorf("set up %s %s: %w", row.noun, row.verb, err)
		}
	}
	return parser, nil
}

func addCommand(parser *flags.Parser, env *env, row row) error {
	text := row.description + " (" + row.group + ")"
	if row.verb == "" {
		_, err := parser.AddCommand(row.noun, text, text, row.newCommand(env))
		return err
	}
	noun := parser.Find(row.noun)
	if noun == nil {
		var err error
		if noun, err = parser.AddCommand(row.noun, "commands of "+row.noun, "", &struct{}{}); err != nil {
			return err
		}
	}
	_, err := noun.AddCommand(row.verb, text, text, row.newCommand(env))
	return err
}

func reportError(err error, env *env, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	if env.globals.JSON {
		body := errorReport{Text: err.Error(), Code: code}
		_ = errors.As(err, &body.Winner)
		_ = json.NewEncoder(stderr).Encode(body)
		return code
	}
	_, _ = fmt.Fprintln(stderr, "daisylane:", err)
	return code
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Text   string         `json:"text"`
	Code   int            `json:"code"`
	Winner *conflictError `json:"winner,omitempty"`
}

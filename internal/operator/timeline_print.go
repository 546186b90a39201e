package operator

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"time"

	"daisylane/internal/analyzer"
)

const offsetPrecision = 100 * time.Microsecond

// reasonTexts maps the reasons of records to explanations.
var reasonTexts = map[string]string{
	"prefix":     "it likely has the prompt cached",
	"bound":      "the one that likely has the prompt cached is too busy",
	"deadline":   "no other can meet the deadline",
	"capacity":   "the own region has no capacity",
	"budget":     "the budget has too few tokens",
	"overload":   "there is more work than capacity",
	"key":        "the key is not valid",
	"right":      "the account may not do this",
	"model":      "the model or service is unknown",
	"body":       "the request is not valid",
	"stopping":   "the process is stopping",
	"platform":   "the platform is down",
	"dial":       "no connection could be made",
	"caller":     "the caller has gone",
	"silence":    "the peer fell silent",
	"connection": "the connection broke",
	"closed":     "the holder that reserved is closed",
}

// scopeTexts maps the scopes of records to the distance of the target.
var scopeTexts = map[string]string{
	"centre": "in the same data centre",
	"region": "in the same region",
	"other":  "in another region",
}

func (t timeline) print(w io.Writer) {
	printLine(w, "%s\n", t.summary())
	var rows [][]string
	for _, e := range t.events {
		offset := e.Time.Sub(t.events[0].Time).Round(offsetPrecision)
		rows = append(rows, []string{
			"+" + offset.String(), e.process, cmp.Or(e.Step, "-"), cmp.Or(e.Decision, "-"), e.reasonText(), cmp.Or(analyzer.FormatFields(e.Details), "-"),
		})
	}
	printTable(w, "OFFSET PROCESS STEP DECISION REASON DETAILS", rows)
	if t.dropped > 0 {
		printLine(w, "\n%d records before the last one were dropped.", t.dropped)
	}
}

// reasonText returns the reason, with its explanation if there is one.
func (e event) reasonText() string {
	text, ok := reasonTexts[e.Reason]
	if !ok || e.Step == "attempt" && e.Reason == "deadline" {
		return cmp.Or(e.Reason, "-")
	}
	return e.Reason + " (" + text + ")"
}

// summary returns one sentence with the outcome, the target and the reason for its
// choice, the budget and the charged tokens.
func (t timeline) summary() string {
	parts := []string{t.outcomeText()}
	if e, ok := t.last("choose"); ok {
		parts = append(parts, targetText(e))
	}
	if e, ok := t.last("claim"); ok {
		parts = append(parts, fmt.Sprintf("its claim was %s (owner %s)", e.Decision, cmp.Or(e.detail("owner"), "unknown")))
	}
	parts = append(parts, t.budgetText(), t.chargeText())
	return "Request " + t.request + " " + strings.Join(parts, "; ") + "."
}

func (t timeline) outcomeText() string {
	e, ok := t.last("answer")
	_, replayed := t.last("claim", "done")
	switch {
	case !ok && replayed: // a replayed outcome has no answer record of its own
		return "was answered with the outcome of the claim"
	case !ok:
		return "has no answer yet"
	case e.Decision == "whole":
		return "was answered whole" + withPrefix(" in ", e.roundedDuration())
	}
	return "ended as " + e.Decision + withPrefix(" because of ", e.reasonText())
}

// roundedDuration returns the duration of the request, rounded to offsetPrecision.
func (e event) roundedDuration() string {
	d, err := time.ParseDuration(e.detail("took"))
	if err != nil {
		return e.detail("took")
	}
	return d.Round(offsetPrecision).String()
}

func targetText(e event) string {
	text := "it went to " + e.Decision
	if scope := scopeTexts[e.detail("scope")]; scope != "" {
		text += " " + scope
	}
	if why := reasonTexts[e.Reason]; why != "" {
		text += ", because " + why
	}
	if n := e.detail("attempt"); n != "" && n != "1" {
		text += " (attempt " + n + ")"
	}
	return text
}

func (t timeline) budgetText() string {
	e, ok := t.last("reserve")
	switch {
	case !ok:
		return "no tokens were reserved"
	case e.Decision == "granted":
		return fmt.Sprintf("%s tokens of budget %s were reserved", e.detail("tokens"), e.detail("budget"))
	}
	return fmt.Sprintf("the reservation of %s tokens of budget %s was refused%s",
		e.detail("tokens"), e.detail("budget"), withPrefix(": ", e.reasonText()))
}

func (t timeline) chargeText() string {
	if _, ok := t.last("reserve", "granted"); !ok {
		return "nothing was charged"
	}
	e, ok := t.last("settle")
	switch {
	case !ok:
		return "the charge is not settled yet"
	case e.Decision == "durable":
		return e.detail("tokens") + " tokens were charged"
	}
	return "the charge is left to the side"
}

func withPrefix(prefix, text string) string {
	if text == "" || text == "-" {
		return ""
	}
	return prefix + text
}

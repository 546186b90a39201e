package operator

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"daisylane/internal/analyzer"
)

const stdinName = "-"

// explainLog prints the timeline of the request from a log, or counts of refusals by
// cause if no request is given.
func (c *explain) explainLog() error {
	log, err := readLog(c.Log)
	if err != nil {
		return err
	}
	if c.Args.Request == "" {
		stats := log.Stats()
		return c.env.print(stats, func(w io.Writer) { printStats(w, stats) })
	}
	t, err := log.Timeline(c.Args.Request)
	if errors.Is(err, analyzer.ErrUnknown) {
		return fmt.Errorf("%w: %w; a killed process does not write its last lines, and lines are dropped if the log output is too slow", errAbsent, err)
	}
	if err != nil {
		return err
	}
	return c.env.print(t, func(w io.Writer) { printLogTimeline(w, t) })
}

func readLog(name string) (*analyzer.Log, error) {
	if name == stdinName {
		return analyzer.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: open log: %w", errUsage, err)
	}
	defer f.Close()
	return analyzer.Read(f)
}

func printLogTimeline(w io.Writer, t analyzer.Timeline) {
	printLine(w, "%s\n", t.Summary)
	var rows [][]string
	for _, e := range t.Events {
		rows = append(rows, []string{"-" + e.Before.Round(time.Millisecond).String(), cmp.Or(e.Instance, "-"), e.Msg, cmp.Or(analyzer.FormatFields(e.Fields), "-")})
	}
	printTable(w, "BEFORE INSTANCE EVENT DETAILS", rows)
}

func printStats(w io.Writer, s analyzer.Stats) {
	printLine(w, "%d requests, %d lines without an event\n", s.Requests, s.Skipped)
	var rows [][]string
	for _, c := range s.Causes {
		rows = append(rows, []string{cmp.Or(c.Service, "-"), string(c.Cause), strconv.Itoa(c.Count), strconv.Itoa(c.Unfounded)})
	}
	printTable(w, "SERVICE CAUSE REQUESTS UNFOUNDED", rows)
	if len(s.Accounts) == 0 {
		return
	}
	printLine(w, "\nAccounts with refusals for tokens:\n")
	rows = nil
	for _, a := range s.Accounts {
		rows = append(rows, []string{
			a.Name, strconv.FormatInt(a.Prepaid, 10), strconv.FormatInt(a.Delivered, 10),
			strconv.Itoa(a.Refused), strconv.Itoa(a.Unfounded), strconv.FormatInt(a.Withheld, 10),
		})
	}
	printTable(w, "ACCOUNT PREPAID DELIVERED REFUSED UNFOUNDED WITHHELD", rows)
}

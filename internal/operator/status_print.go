package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// printTable writes aligned columns. Cells must not contain tabs.
func printTable(w io.Writer, header string, rows [][]string) {
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	printLine(tw, "%s", strings.Join(strings.Fields(header), "\t"))
	for _, row := range rows {
		printLine(tw, "%s", strings.Join(row, "\t"))
	}
	_ = tw.Flush()
}

func (f fleet) print(w io.Writer) {
	f.printProcesses(w)
	f.printWithheld(w)
	f.printRecoveries(w)
	f.printUnresponsive(w)
	printLine(w, "\n%d processes, %d did not answer, bundle version %d%s",
		len(f.processes)+len(f.unresponsive), len(f.unresponsive), f.highestVersion(), f.behindNote())
}

func (f fleet) printProcesses(w io.Writer) {
	highest := f.highestVersion()
	var rows [][]string
	for _, p := range f.processes {
		rows = append(rows, []string{p.Role, p.Name, p.Centre, p.versionText(highest), p.state(), p.workload()})
	}
	printTable(w, "ROLE INSTANCE CENTRE BUNDLE STATE WORK", rows)
}

// behindNote returns a note with the number of processes that have an older bundle
// version, or "" if there are none.
func (f fleet) behindNote() string {
	n, highest := 0, f.highestVersion()
	for _, p := range f.processes {
		if p.isBehind(highest) {
			n++
		}
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf(", %d behind", n)
}

// printWithheld lists the budgets with withheld tokens. Holders of different
// regions report the same tokens of a budget, so the rows must not be summed.
func (f fleet) printWithheld(w io.Writer) {
	var rows [][]string
	for _, p := range f.processes {
		if p.entry == nil {
			continue
		}
		for _, sh := range p.entry.Holder.Shards {
			for _, name := range slices.Sorted(maps.Keys(sh.Budgets)) {
				if b := sh.Budgets[name]; b.Withheld > 0 {
					rows = append(rows, []string{name, fmt.Sprint(sh.Number), fmt.Sprint(b.Withheld), p.Name})
				}
			}
		}
	}
	if len(rows) > 0 {
		printLine(w, "\nWithheld tokens:")
		printTable(w, "BUDGET SHARD WITHHELD HOLDER", rows)
	}
}

func (f fleet) printRecoveries(w io.Writer) {
	var rows [][]string
	for _, p := range f.processes {
		if p.entry == nil {
			continue
		}
		for _, t := range p.entry.Holder.Takeovers {
			waits := strings.Join(slices.Sorted(slices.Values(t.Waiting)), ", ")
			if waits == "" {
				waits = "the platform"
			}
			rows = append(rows, []string{t.Instance, fmt.Sprint(t.Shard), p.Name, waits})
		}
	}
	if len(rows) > 0 {
		slices.SortFunc(rows, slices.Compare)
		printLine(w, "\nRecoveries that wait (see 'daisylane budget release' for a side that is gone):")
		printTable(w, "DEAD SHARD SUCCESSOR WAITING", rows)
	}
}

func (f fleet) printUnresponsive(w io.Writer) {
	var rows [][]string
	for _, reply := range f.unresponsive {
		rows = append(rows, []string{reply.Role, reply.Name, reply.Centre, reply.Addr, strings.Join(strings.Fields(reply.Error), " ")})
	}
	if len(rows) > 0 {
		printLine(w, "\nDid not answer:")
		printTable(w, "ROLE INSTANCE CENTRE ADDR ERROR", rows)
	}
}

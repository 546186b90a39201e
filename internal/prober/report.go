package prober

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of an experiment.
type Report struct {
	Phases   []PhaseReport `json:"phases"`
	Findings Findings      `json:"findings"`
}

// PhaseReport is the result of one phase.
type PhaseReport struct {
	Name             string         `json:"name"`
	Sent             int            `json:"sent"`
	Skipped          int            `json:"skipped"` // not sent because too many were in flight
	Outcomes         map[string]int `json:"outcomes"`
	Reasons          map[string]int `json:"reasons"` // reasons of refusals
	FalseRefusals    int            `json:"falserefusals"`
	TotalTokens      int            `json:"tokens"` // total tokens of complete responses
	OutputTokens     int            `json:"output"` // output tokens of complete responses
	CompletedWorth   float64        `json:"worth"`  // share of the sent worth that got a complete response
	TimeToFirstToken Latency        `json:"first"`
	TokenGap         Latency        `json:"gap"`
	CompleteLatency  Latency        `json:"whole"`
	RefusalLatency   Latency        `json:"refusal"`
}

// Latency summarizes a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

const (
	maxLatency    = 10 * time.Minute
	latencyDigits = 3
)

type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (h histogram) observe(d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (h histogram) latency() Latency {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Latency{
		h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(95)), ms(h.ValueAtQuantile(99)), ms(h.Max()),
	}
}

func summarize(exp Experiment, results []Result, skipped map[string]int, findings Findings) Report {
	rep := Report{Findings: findings}
	for _, p := range exp.Phases {
		part := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Phase != p.Name })
		rep.Phases = append(rep.Phases, summarizePhase(p.Name, part, skipped[p.Name]))
	}
	return rep
}

func summarizePhase(name string, results []Result, skipped int) PhaseReport {
	p := PhaseReport{Name: name, Sent: len(results), Skipped: skipped, Outcomes: make(map[string]int), Reasons: make(map[string]int)}
	first, gap, complete, refusal := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	var completedWorth, all float64
	for _, r := range results {
		p.Outcomes[r.Outcome]++
		countIf(&p.FalseRefusals, r.FalseRefusal)
		all += r.Worth
		if r.TimeToFirstToken > 0 {
			first.observe(r.TimeToFirstToken)
		}
		for _, g := range r.TokenGaps {
			gap.observe(g)
		}
		switch r.Outcome {
		case OutcomeComplete:
			completedWorth += r.Worth
			p.TotalTokens += r.TotalTokens
			p.OutputTokens += r.OutputTokens
			complete.observe(r.Elapsed)
		case OutcomeNotRun:
			p.Reasons[r.Reason]++
			refusal.observe(r.Elapsed)
		}
	}
	if all > 0 {
		p.CompletedWorth = completedWorth / all
	}
	p.TimeToFirstToken, p.TokenGap, p.CompleteLatency, p.RefusalLatency = first.latency(), gap.latency(), complete.latency(), refusal.latency()
	return p
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "phase\tsent\tskipped\toutcomes\trefusals\tfalse\ttokens\tworth\tfirst p50/p95 ms\tgap p50/p95 ms\twhole p50/p95 ms\trefusal max ms")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%.4f\t%s\t%s\t%s\t%.1f\n", p.Name, p.Sent, p.Skipped, formatCounts(p.Outcomes), formatCounts(p.Reasons),
			p.FalseRefusals, p.TotalTokens, p.CompletedWorth, p.TimeToFirstToken, p.TokenGap, p.CompleteLatency, p.RefusalLatency.Max)
	}
	f := r.Findings
	fmt.Fprintf(t, "\ncompared\twrong\tuntruthful\tmissing\tusage\ttwice\trepeated\tunanswered\tbills\n")
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", f.Compared, f.WrongContent, f.RanThoughNotRun, f.CompletedWithoutRun, f.UsageMismatch, f.ServiceReruns, f.ChatReruns, f.RunWithoutResponse, formatCounts(f.BillDifferences))
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (l Latency) String() string { return fmt.Sprintf("%.1f/%.1f", l.P50, l.P95) }

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "-"
	}
	list := make([]string, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		list = append(list, fmt.Sprintf("%s=%d", key, m[key]))
	}
	return strings.Join(list, ",")
}

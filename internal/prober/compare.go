package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"daisylane/internal/faker"
)

// Findings are differences between responses, runs and bills. In a correct system all
// counts but Compared, ChatReruns and RunWithoutResponse are 0.
type Findings struct {
	Compared            int            `json:"compared"`   // requests compared with run records
	WrongContent        int            `json:"wrong"`      // responses with wrong content
	RanThoughNotRun     int            `json:"untruthful"` // reported as not run at the only attempt, but run
	CompletedWithoutRun int            `json:"missing"`    // complete responses without a record of a finished run
	UsageMismatch       int            `json:"usage"`      // complete responses whose usage matches no finished run
	ServiceReruns       int            `json:"twice"`      // service calls run more than once over all attempts
	ChatReruns          int            `json:"repeated"`   // chat requests run more than once
	RunWithoutResponse  int            `json:"unanswered"` // run to the end without a complete response
	BillDifferences     map[string]int `json:"bills"`      // billed tokens minus tokens of complete responses, by caller
}

type runRecord struct {
	runs, done int
	totals     []int // total tokens of each finished run
}

// compareRecords reads the run records of the stand-ins and compares them with the
// results.
func (r *runner) compareRecords(ctx context.Context) (Findings, error) {
	chats, services := make(map[string]*runRecord), make(map[string]*runRecord)
	for _, url := range r.exp.Engines {
		runs, err := fetchRuns[[]faker.Run](ctx, r.client, url)
		if err != nil {
			return Findings{}, err
		}
		for _, run := range runs {
			_, id, _ := strings.Cut(run.PromptTail, idMarker)
			addRun(chats, id, run.State == faker.StateDone, run.Usage.Total)
		}
	}
	for _, url := range r.exp.Bookings {
		runs, err := fetchRuns[[]faker.BookingRun](ctx, r.client, url)
		if err != nil {
			return Findings{}, err
		}
		for _, run := range runs {
			addRun(services, requestID(run.Body), run.State == faker.StateDone, 0)
		}
	}
	var f Findings
	for _, res := range r.results {
		switch {
		case res.Kind == KindChat && len(r.exp.Engines) > 0:
			f.addRequest(res, chats[res.ID])
		case res.Kind == KindService && len(r.exp.Bookings) > 0:
			f.addRequest(res, services[res.ID])
		}
	}
	return f, f.compareBills(r.exp.BillsFile, r.results)
}

func addRun(m map[string]*runRecord, id string, done bool, total int) {
	if m[id] == nil {
		m[id] = &runRecord{}
	}
	m[id].runs++
	if done {
		m[id].done++
		m[id].totals = append(m[id].totals, total)
	}
}

// requestID returns the request id in the body of a service call.
func requestID(body any) string {
	fields, _ := body.(map[string]any)
	id, _ := fields["request"].(string)
	return id
}

func (f *Findings) addRequest(res Result, rec *runRecord) {
	if rec == nil {
		rec = &runRecord{}
	}
	f.Compared++
	countIf(&f.WrongContent, res.Outcome == OutcomeWrong)
	countIf(&f.RanThoughNotRun, res.Outcome == OutcomeNotRun && res.Attempts == 1 && rec.runs > 0)
	countIf(&f.CompletedWithoutRun, res.Outcome == OutcomeComplete && rec.done == 0)
	countIf(&f.RunWithoutResponse, res.Outcome != OutcomeComplete && rec.done > 0)
	countIf(&f.ServiceReruns, res.Kind == KindService && rec.runs > 1)
	countIf(&f.ChatReruns, res.Kind == KindChat && rec.runs > 1)
	countIf(&f.UsageMismatch, res.Kind == KindChat && res.Outcome == OutcomeComplete && rec.done > 0 && !slices.Contains(rec.totals, res.TotalTokens))
}

func countIf(n *int, ok bool) {
	if ok {
		*n++
	}
}

// compareBills subtracts the tokens of each caller's complete responses from its
// settled tokens.
func (f *Findings) compareBills(file string, results []Result) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read bills: %w", err)
	}
	if err := json.Unmarshal(data, &f.BillDifferences); err != nil {
		return fmt.Errorf("read bills %s: want an object that maps callers to tokens: %w", file, err)
	}
	for _, res := range results {
		if _, ok := f.BillDifferences[res.Caller]; ok && res.Outcome == OutcomeComplete {
			f.BillDifferences[res.Caller] -= res.TotalTokens
		}
	}
	return nil
}

func fetchRuns[T any](ctx context.Context, client *http.Client, url string) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/runs", nil)
	if err != nil {
		return v, fmt.Errorf("read runs of %s: %w", url, err)
	}
	res, err := client.Do(req)
	if err != nil {
		return v, fmt.Errorf("read runs of %s: %w", url, err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("read runs of %s: %w", url, err)
	}
	return v, nil
}

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

// Findings are differences between answers, runs and bills. All are 0 in a
// correct system, except Repeated and Unanswered.
type Findings struct {
	Compared   int            `json:"compared"`   // requests compared with records
	Wrong      int            `json:"wrong"`      // answers with another content
	Untruthful int            `json:"untruthful"` // reported as not run in a single attempt, and run
	Missing    int            `json:"missing"`    // answered, and not recorded as run to its end
	Usage      int            `json:"usage"`      // answered with another usage than every run of it had
	Twice      int            `json:"twice"`      // service calls run more than once, over all attempts
	Repeated   int            `json:"repeated"`   // chat requests run more than once
	Unanswered int            `json:"unanswered"` // run to the end without a whole answer
	Bills      map[string]int `json:"bills"`      // per caller with a known bill: billed tokens less tokens of whole answers
}

type record struct {
	runs, done int
	totals     []int // usage of each finished engine run
}

// compare reads the stand-ins' records and compares them with the answers.
func (r *runner) compare(ctx context.Context) (Findings, error) {
	chats, services := make(map[string]*record), make(map[string]*record)
	for _, url := range r.exp.Engines {
		runs, err := fetch[[]faker.Run](ctx, r.client, url)
		if err != nil {
			return Findings{}, err
		}
		for _, run := range runs {
			_, id, _ := strings.Cut(run.Tail, marker)
			add(chats, id, run.State == faker.StateDone, run.Usage.Total)
		}
	}
	for _, url := range r.exp.Bookings {
		runs, err := fetch[[]faker.BookingRun](ctx, r.client, url)
		if err != nil {
			return Findings{}, err
		}
		for _, run := range runs {
			add(services, requestOf(run.Body), run.State == faker.StateDone, 0)
		}
	}
	var f Findings
	for _, res := range r.results {
		switch {
		case res.Kind == KindChat && len(r.exp.Engines) > 0:
			f.take(res, chats[res.ID])
		case res.Kind == KindService && len(r.exp.Bookings) > 0:
			f.take(res, services[res.ID])
		}
	}
	return f, f.readBills(r.exp.Bills, r.results)
}

func add(m map[string]*record, id string, done bool, total int) {
	if m[id] == nil {
		m[id] = &record{}
	}
	m[id].runs++
	if done {
		m[id].done++
		m[id].totals = append(m[id].totals, total)
	}
}

// requestOf returns the request named in the body of a service call.
func requestOf(body any) string {
	fields, _ := body.(map[string]any)
	id, _ := fields["request"].(string)
	return id
}

func (f *Findings) take(res Result, rec *record) {
	if rec == nil {
		rec = &record{}
	}
	f.Compared++
	count(&f.Wrong, res.Outcome == Wrong)
	count(&f.Untruthful, res.Outcome == NotRun && res.Attempts == 1 && rec.runs > 0)
	count(&f.Missing, res.Outcome == Whole && rec.done == 0)
	count(&f.Unanswered, res.Outcome != Whole && rec.done > 0)
	count(&f.Twice, res.Kind == KindService && rec.runs > 1)
	count(&f.Repeated, res.Kind == KindChat && rec.runs > 1)
	count(&f.Usage, res.Kind == KindChat && res.Outcome == Whole && rec.done > 0 && !slices.Contains(rec.totals, res.Tokens))
}

func count(n *int, ok bool) {
	if ok {
		*n++
	}
}

// readBills compares the settled tokens of each caller with those of its whole answers.
func (f *Findings) readBills(file string, results []Result) error {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read bills: %w", err)
	}
	if err := json.Unmarshal(data, &f.Bills); err != nil {
		return fmt.Errorf("read bills %s: want an object of caller and tokens: %w", file, err)
	}
	for _, res := range results {
		if _, ok := f.Bills[res.Caller]; ok && res.Outcome == Whole {
			f.Bills[res.Caller] -= res.Tokens
		}
	}
	return nil
}

func fetch[T any](ctx context.Context, client *http.Client, url string) (T, error) {
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

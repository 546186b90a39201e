package analyzer

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"daisylane/internal/receiver"
)

// defaultLate is the time to the first event from which an answer counts as late.
const defaultLate = time.Second

// widths are the widths of buckets up to a day; wider ones are multiples of a day.
var widths = []time.Duration{
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 15 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour,
}

// Summarize reads a log twice and returns the data of a page about it: first all requests
// and counts, then the lines of the timelines.
func Summarize(r io.ReadSeeker, opts ...Option) (*Day, error) {
	o := options{late: defaultLate}
	for _, opt := range opts {
		opt(&o)
	}
	d := newDayReader()
	d.day.Late = o.late
	if err := d.read(r); err != nil {
		return nil, err
	}
	s := d.summarize()
	if _, err := r.Seek(0, io.SeekStart); err != nil {
		return nil, fmt.Errorf("read log again: %w", err)
	}
	if err := s.readTimelines(r); err != nil {
		return nil, err
	}
	return s.day, nil
}

// dayBuilder computes a day from what was read.
type dayBuilder struct {
	*dayReader
	start    int64 // of the first bucket, in Unix seconds
	width    int64 // in seconds
	buckets  int
	unused   []int64 // by request, for refusals for tokens
	selected []int   // requests with a timeline
}

// maxDay limits the time of a log, so that a line with a wrong year can't overflow a
// duration.
const maxDay = 100 * 365 * 24 * time.Hour

func (d *dayReader) summarize() *dayBuilder {
	s := &dayBuilder{dayReader: d}
	slices.SortStableFunc(d.requests, func(a, b Request) int { return a.end.Compare(b.end) })
	day := d.day
	day.Log, day.Requests, day.Instances = [2]time.Time{d.from, d.to}, len(d.requests), len(d.instances)
	s.divide()
	s.countFaults()
	s.evaluate()
	s.countRequests()
	s.countTokens()
	day.Marks, day.Calls = s.countMarks(d.marks), s.largest(s.countMarks(d.calls))
	for _, name := range slices.Sorted(maps.Keys(d.startCalls)) {
		day.StartCalls = append(day.StartCalls, Count{name, d.startCalls[name]})
	}
	for _, list := range d.events {
		day.Events = append(day.Events, list...)
	}
	slices.SortStableFunc(day.Events, func(a, b LogEvent) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Msg, b.Msg))
	})
	s.addCauses()
	return s
}

// minMargin is how far from the requests the charts reach at least, if the log does.
const minMargin = time.Hour

// divide chooses the buckets. Lines further from all requests than the requests from each
// other, such as those of an instance whose clock was wrong at its start, are counted in
// the outermost buckets.
func (s *dayBuilder) divide() {
	if n := len(s.requests); n > 0 {
		first, last := s.requests[0].end, s.requests[n-1].end
		margin := max(minMargin, last.Sub(first))
		if start := first.Add(-margin); s.from.Before(start) {
			s.from = start
		}
		if end := last.Add(margin); s.to.After(end) {
			s.to = end
		}
	}
	s.day.From, s.day.To = s.from, s.to
	span := min(s.to.Sub(s.from), maxDay)
	i := slices.IndexFunc(widths, func(w time.Duration) bool { return span/w < maxBuckets })
	width := widths[len(widths)-1]
	if i >= 0 {
		width = widths[i]
	}
	for span/width >= maxBuckets {
		width *= 2
	}
	s.day.Width, s.width = width, int64(width/time.Second)
	s.start, s.buckets = s.from.Unix(), int(span/width)+1
	s.day.Buckets = s.buckets
}

// bucket returns the bucket of a time in Unix seconds.
func (s *dayBuilder) bucket(at int64) int {
	return int(max(0, min((at-s.start)/s.width, int64(s.buckets-1))))
}

func (s *dayBuilder) countFaults() {
	f := &s.day.Faults
	for i := range s.requests {
		delete(s.attempts, s.requests[i].ID)
	}
	f.Unfinished = len(s.attempts)
	for _, l := range s.instances {
		if l.starts == 0 || l.first.Before(l.started) {
			f.Unstarted++
		}
		f.Killed += max(0, l.starts-1-l.stops)
	}
}

// evaluate finds the unused tokens at each refusal for tokens.
func (s *dayBuilder) evaluate() {
	s.unused = make([]int64, len(s.requests))
	byAccount := make(map[string][]int)
	for i, r := range s.requests {
		if r.Budget != "" {
			byAccount[r.Account] = append(byAccount[r.Account], i)
		}
	}
	for _, indexes := range byAccount {
		list := make([]Request, len(indexes))
		for i, index := range indexes {
			list[i] = s.requests[index]
		}
		for i, unused := range unusedTokens(list) {
			s.unused[indexes[i]] = unused
		}
	}
}

// isUnfounded reports whether a request was refused for tokens that its account had.
func (s *dayBuilder) isUnfounded(i int) bool {
	r := &s.requests[i]
	return r.forTokens() && s.unused[i] >= r.Asked
}

// forTokens reports whether the request was refused for lack of tokens.
func (r *Request) forTokens() bool {
	return r.Budget != "" && !r.granted()
}

func (r *Request) class() Class {
	return cmp.Or(causeClasses[r.Outcome], Rejected)
}

func (s *dayBuilder) isLate(r *Request) bool {
	return r.Outcome == receiver.Complete && r.latency() > s.day.Late
}

// latency returns the time to the first event, or to the end if there was no event.
func (r *Request) latency() time.Duration {
	return time.Duration(cmp.Or(r.First, r.Took)) * time.Millisecond
}

// percentile returns the value of a sorted list below which a share of the values lies.
func percentile[T cmp.Ordered](sorted []T, share float64) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// table collects series by name.
type table struct {
	*dayBuilder
	series map[string]*Series
}

func (s *dayBuilder) table() table {
	return table{s, make(map[string]*Series)}
}

func (t table) get(name string) *Series {
	found := t.series[name]
	if found == nil && len(t.series) >= maxNames {
		name = Others
		found = t.series[name]
	}
	if found == nil {
		found = &Series{Name: name, Values: make([]int64, t.buckets)}
		t.series[name] = found
	}
	return found
}

func (t table) add(name string, at time.Time, n int64) {
	one := t.get(name)
	one.Values[t.bucket(at.Unix())] += n
	one.Total += n
}

// raise sets a value to at least n.
func (t table) raise(name string, at time.Time, n int64) {
	one := t.get(name)
	b := t.bucket(at.Unix())
	one.Values[b] = max(one.Values[b], n)
	one.Total = max(one.Total, n)
}

// sorted returns all series, those with the largest totals first.
func (t table) sorted() []Series {
	var list []Series
	for _, one := range t.series {
		list = append(list, *one)
	}
	slices.SortFunc(list, func(a, b Series) int { return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Name, b.Name)) })
	return list
}

// largest adds up all series beyond maxSeries.
func (s *dayBuilder) largest(list []Series) []Series {
	if len(list) <= maxSeries {
		return list
	}
	rest := Series{Name: Others, Values: make([]int64, s.buckets)}
	for _, one := range list[maxSeries:] {
		rest.Total += one.Total
		for i, n := range one.Values {
			rest.Values[i] += n
		}
	}
	return append(slices.Clone(list[:maxSeries]), rest)
}

// ordered returns the series with these names in their order, with zeros where none exists.
func (t table) ordered(names ...string) []Series {
	var list []Series
	for _, name := range names {
		list = append(list, *t.get(name))
	}
	return list
}

func (s *dayBuilder) countMarks(marks map[string]map[int64]int64) []Series {
	t := s.table()
	for name, seconds := range marks {
		for at, n := range seconds {
			t.add(name, time.Unix(at, 0), n)
		}
	}
	return t.sorted()
}

// countRequests counts the requests by class, cause, service, route and account.
func (s *dayBuilder) countRequests() {
	classes, causes, services, accounts, refusals := s.table(), s.table(), s.table(), s.table(), s.table()
	routeFaults, accountFaults := s.table(), s.table()
	rows := make(map[[2]string]*Row)
	latencies := make(map[[2]string][]time.Duration)
	byAccount := make(map[string]*AccountRow)
	for i := range s.requests {
		r := &s.requests[i]
		class, late := r.class(), s.isLate(r)
		classes.add(string(class), r.end, 1)
		if class != Answered {
			causes.add(string(r.Outcome), r.end, 1)
		}
		if r.Service != "" {
			services.add(r.Service, r.end, 1)
		}
		if r.Account != "" {
			accounts.add(r.Account, r.end, 1)
		}
		if class == Rejected || class == Failed {
			routeFaults.add(strings.TrimSpace(cmp.Or(r.Service, "(none)")+" "+r.Route), r.end, 1)
			accountFaults.add(cmp.Or(r.Account, "(none)"), r.end, 1)
		}
		if r.forTokens() {
			refusals.add(foundedName(s.isUnfounded(i)), r.end, 1)
		}
		key := [2]string{r.Service, r.Route}
		if rows[key] == nil {
			rows[key] = &Row{Service: r.Service, Route: r.Route}
		}
		rows[key].count(class, late)
		if class == Answered {
			latencies[key] = append(latencies[key], r.latency())
		}
		if r.Account == "" {
			continue
		}
		if byAccount[r.Account] == nil {
			byAccount[r.Account] = &AccountRow{Name: r.Account}
		}
		byAccount[r.Account].count(class, late)
	}
	var names []string
	for _, class := range Classes {
		names = append(names, string(class))
	}
	day := s.day
	day.Classes, day.Causes = classes.ordered(names...), s.largest(causes.sorted())
	day.Services, day.Accounts = s.largest(services.sorted()), s.largest(accounts.sorted())
	day.RouteFaults, day.AccountFaults = s.largest(routeFaults.sorted()), s.largest(accountFaults.sorted())
	if len(refusals.series) > 0 {
		day.Refusals = refusals.ordered(foundedName(false), foundedName(true))
	}
	for key, row := range rows {
		slices.Sort(latencies[key])
		row.P50, row.P95 = percentile(latencies[key], 0.5), percentile(latencies[key], 0.95)
		day.ServiceRows = append(day.ServiceRows, *row)
	}
	slices.SortFunc(day.ServiceRows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
	day.ServiceRows, day.RowsOmitted = limitRows(day.ServiceRows)
	s.addAccounts(byAccount)
}

func limitRows[T any](rows []T) ([]T, int) {
	n := min(len(rows), maxRows)
	return rows[:n:n], len(rows) - n
}

func foundedName(unfounded bool) string {
	if unfounded {
		return "unfounded"
	}
	return "founded"
}

func (r *Row) count(class Class, late bool) {
	if r.Classes == nil {
		r.Classes = make([]int64, len(Classes))
	}
	r.Requests++
	r.Classes[slices.Index(Classes, class)]++
	if late {
		r.Late++
	}
}

// addAccounts adds the tokens to the rows of accounts.
func (s *dayBuilder) addAccounts(rows map[string]*AccountRow) {
	short := make(map[string][]int)
	for i := range s.requests {
		r := &s.requests[i]
		row := rows[r.Account]
		if row == nil || r.Budget == "" {
			continue
		}
		row.Prepaid, row.Spent = r.Prepaid, row.Spent+r.Tokens
		row.Unused = r.Prepaid - row.Spent
		if r.granted() {
			row.Asked += r.Asked
			continue
		}
		row.Refused++
		row.Withheld = max(row.Withheld, s.unused[i]-max(0, r.Left))
		if s.isUnfounded(i) {
			short[r.Account] = append(short[r.Account], i)
		} else {
			row.Founded++
		}
	}
	for name, row := range rows {
		row.Short, row.Lost, row.Returns = s.describe(short[name]), s.lost[name], s.returns[name]
		s.day.AccountRows = append(s.day.AccountRows, *row)
	}
	slices.SortFunc(s.day.AccountRows, func(a, b AccountRow) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	s.day.AccountRows, s.day.AccountsLeft = limitRows(s.day.AccountRows)
}

// describe describes the unfounded refusals among the requests by their unused tokens.
func (s *dayBuilder) describe(indexes []int) Unused {
	if len(indexes) == 0 {
		return Unused{}
	}
	var unused, asked []int64
	var shares []float64
	for _, i := range indexes {
		r := &s.requests[i]
		unused, asked = append(unused, s.unused[i]), append(asked, r.Asked)
		shares = append(shares, float64(s.unused[i])/float64(max(1, r.Prepaid)))
	}
	return Unused{Count: len(indexes), Median: median(unused), Max: slices.Max(unused), Share: median(shares), Asked: median(asked)}
}

func median[T cmp.Ordered](list []T) T {
	slices.Sort(list)
	return percentile(list, 0.5)
}

// countTokens counts the tokens over time. What instances hold is the sum of the latest
// figures that each of them logged.
func (s *dayBuilder) countTokens() {
	spent, withheld, granted := s.table(), s.table(), s.table()
	type share struct{ account, instance string }
	held := make(map[share]int64)
	sums := make(map[string]int64)
	record := func(from, to int) {
		for name, n := range sums {
			one := granted.get(name)
			for b := from; b < to; b++ {
				one.Values[b] = n
			}
			one.Total = max(one.Total, n)
		}
	}
	now := 0
	for i := range s.requests {
		r := &s.requests[i]
		if r.Budget == "" {
			continue
		}
		if b := s.bucket(r.end.Unix()); b > now {
			record(now, b)
			now = b
		}
		key := share{r.Account, r.instance}
		sums[r.Account] += r.Held - held[key]
		held[key] = r.Held
		if r.Tokens > 0 {
			spent.add(r.Account, r.end, r.Tokens)
		}
		if n := s.unused[i] - max(0, r.Left); r.forTokens() && n > 0 {
			withheld.raise(r.Account, r.end, n)
		}
	}
	record(now, s.buckets)
	day := s.day
	day.Granted, day.Spent, day.Withheld = s.largest(granted.sorted()), s.largest(spent.sorted()), s.largest(withheld.sorted())
	for i := range day.AccountRows {
		day.AccountRows[i].Granted = sums[day.AccountRows[i].Name]
	}
}

// addCauses adds a row for each cause and chooses the requests with a timeline.
func (s *dayBuilder) addCauses() {
	type group struct {
		cause     receiver.Cause
		unfounded bool
	}
	byCause := make(map[receiver.Cause][]int)
	groups := make(map[group][]int)
	for i := range s.requests {
		r := &s.requests[i]
		cause, class := r.Outcome, r.class()
		if class == Answered {
			if !s.isLate(r) {
				continue
			}
			cause = LateCause
		}
		byCause[cause] = append(byCause[cause], i)
		if class != Left && r.ID != "" {
			groups[group{cause, s.isUnfounded(i)}] = append(groups[group{cause, s.isUnfounded(i)}], i)
		}
	}
	s.selected = spread(slices.Collect(maps.Values(groups)), maxTimelines)
	for cause, indexes := range byCause {
		s.day.CauseRows = append(s.day.CauseRows, s.causeRow(cause, indexes))
	}
	slices.SortFunc(s.day.CauseRows, func(a, b CauseRow) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
}

func (s *dayBuilder) causeRow(cause receiver.Cause, indexes []int) CauseRow {
	row := CauseRow{
		Cause: cause, Class: s.requests[indexes[0]].class(), Count: len(indexes),
		Meaning: cmp.Or(receiver.Meanings[cause], "is not known to this release"), Advice: adviceFor(cause),
	}
	if cause == LateCause {
		row.Meaning = fmt.Sprintf("was answered whole, with the first event after more than %v", s.day.Late)
	}
	var short []int
	for _, i := range indexes {
		if s.requests[i].forTokens() {
			row.Tokens = true
			if s.isUnfounded(i) {
				short = append(short, i)
			} else {
				row.Founded++
			}
		}
		if at, ok := slices.BinarySearch(s.selected, i); ok {
			row.Timelines = append(row.Timelines, at)
		}
	}
	row.Short = s.describe(short)
	if row.Class != Left {
		row.Omitted = row.Count - len(row.Timelines)
	}
	return row
}

// spread chooses at most limit elements of the groups: the same number of each as far as
// it has as many, evenly spread over it. The result is sorted.
func spread(groups [][]int, limit int) []int {
	slices.SortFunc(groups, func(a, b []int) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a[0], b[0])) })
	var chosen []int
	for i, list := range groups {
		n := min(len(list), (limit-len(chosen))/(len(groups)-i))
		for k := range n {
			chosen = append(chosen, list[k*len(list)/n])
		}
	}
	slices.Sort(chosen)
	return chosen
}

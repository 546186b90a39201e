package receiver

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/granter"
	"daisylane/internal/previewer"
	"daisylane/internal/quarantiner"
	"daisylane/internal/resolver"
)

// Previews answers what the parts that a receiver uses would decide, without a change of
// their state.
type Previews struct {
	Budgets interface {
		Preview(account string, n int64) granter.Decision
	}
	Guard interface {
		Preview(s quarantiner.Subject) quarantiner.Verdict
	}
	Streams interface {
		// PreviewVersions returns the versions at which a stream may begin, and for how long a
		// request would wait until more is known.
		PreviewVersions(service string) (versions []string, wait time.Duration)
	}
	// Limits returns a copy of the limits of targets, which may be changed.
	Limits func() PreviewLimits
}

// PreviewLimits is a copy of [Limits] for questions.
type PreviewLimits interface {
	Limits
	// AppendCold appends those targets of AppendClosed that are cold or warm up.
	AppendCold(list []string, now time.Time, service string) []string
}

// WithPreviews sets what [Receiver.Preview] asks.
func WithPreviews(p Previews) Option { return func(r *Receiver) { r.previews = p } }

// Preview says what would be done with a request now, which is not sent. Nothing is reserved,
// counted or logged, and later requests are decided as if it had not been asked.
// [WithPreviews] must be set.
//
// The steps of a request run on a receiver whose state is a copy. They go on after a refusal,
// so that the report has all reasons.
func (r *Receiver) Preview(q previewer.Query) previewer.Report {
	now := time.Now()
	table := r.table.Load()
	report := previewer.Report{Time: now}
	j, codec := r.previewJob(now, q, table, "")
	report.Route = j.step(codec, previewer.StepRoute, j.lookUp)
	if j.summary.cause == NoService { // the others may have one
		report.Route = previewer.Step{Step: previewer.StepRoute, Verdict: previewer.Allowed}
	}
	if table != nil {
		report.Route.Details = map[string]any{"config": table.Version()}
	}
	if report.Route.Refuses() {
		return report
	}
	j.describeRoute(report.Route.Details, q)
	for _, s := range j.route.Shares {
		if s.Weight > 0 {
			report.Services = append(report.Services, r.previewService(now, q, table, s))
		}
	}
	return report
}

// previewService says what would be done with a request that goes to a service.
func (r *Receiver) previewService(now time.Time, q previewer.Query, table *resolver.Table, s resolver.WeightedService) previewer.Service {
	out := previewer.Service{Name: s.Service, Weight: s.Weight}
	j, codec := r.previewJob(now, q, table, s.Service)
	if step := j.step(codec, previewer.StepRoute, j.lookUp); step.Refuses() {
		out.Steps = append(out.Steps, step)
		return out
	}
	j.body = []byte(q.Body)
	step := j.step(codec, previewer.StepQuarantine, j.checkQuarantine)
	j.r.guard.(*previewGuard).describe(&step)
	out.Steps = append(out.Steps, step)

	step = j.step(codec, previewer.StepRegions, func() bool { return j.checkPlaces(j.service) })
	step.Details = make(map[string]any)
	if places := j.allowedPlaces(); places.Restricted() {
		step.Details["regions"] = places.Regions()
	}
	if e := j.r.dispatcher.evacuations; e != nil && e.Any() {
		step.Details["evacuated"] = e.Centres()
	}
	out.Steps = append(out.Steps, step)

	step = j.step(codec, previewer.StepVersions, j.findOrigin)
	j.describeVersions(&step)
	out.Steps = append(out.Steps, step)

	step = j.step(codec, previewer.StepTokens, j.reserve)
	j.describeTokens(&step)
	out.Steps = append(out.Steps, step)

	out.Candidates = j.r.dispatcher.candidates(now, j.service, j.allowedPlaces(), j.prefillRequest(j.deadline.Sub(now)), j.versions)
	admission, target, id := j.previewChoice(codec)
	if target.Verdict == string(Limited) {
		target.Wait = j.permitWait(out.Candidates).Milliseconds()
	}
	out.Steps, out.Target = append(out.Steps, admission, target), id
	for i := range out.Candidates {
		out.Candidates[i].Chosen = id != "" && out.Candidates[i].Target == id
	}
	return out
}

// previewChoice makes the choice of a target, and splits its result into the steps admission
// and target.
func (j *job) previewChoice(codec *previewCodec) (admission, target previewer.Step, id string) {
	j.permitWaitEnd = time.Now() // no wait
	var chosen ChosenTarget
	target = j.step(codec, previewer.StepTarget, func() (ok bool) {
		chosen, _, ok = j.choose(j.req.Context())
		return ok
	})
	admission = previewer.Step{Step: previewer.StepAdmission, Verdict: previewer.Unasked}
	considered := chosen.Target.ID
	switch {
	case j.summary.cause == Overloaded:
		admission, target = target, previewer.Step{Step: previewer.StepTarget, Verdict: previewer.Unasked}
		admission.Step = previewer.StepAdmission
	case target.Refuses():
		return admission, target, ""
	default:
		id = considered
		target.Details = map[string]any{"target": id, "addr": chosen.Target.Addr, "reason": chosen.Choice.Reason}
		if j.service.Engine == nil {
			return admission, target, id
		}
		admission.Verdict = previewer.Allowed
	}
	c := chosen.Choice
	admission.Details = map[string]any{
		"target": considered, "priority": j.priority(), "objective": j.route.LatencyTarget.Milliseconds(),
		"expected": c.Wait.Milliseconds(), "backlog": c.Backlog.Milliseconds(), "standing": c.BacklogAge.Milliseconds(),
	}
	return admission, target, id
}

// step runs one step of a request and returns its verdict.
func (j *job) step(codec *previewCodec, name string, decide func() bool) previewer.Step {
	j.summary, codec.after = requestSummary{}, 0
	s := previewer.Step{Step: name, Verdict: previewer.Allowed}
	if !decide() {
		s.Verdict, s.Status, s.After = string(j.summary.cause), j.summary.status, codec.after.Milliseconds()
		if j.summary.failure != nil {
			s.Error = j.summary.failure.Error()
		}
	}
	return s
}

// describeRoute adds the route and the account of a request.
func (j *job) describeRoute(details map[string]any, q previewer.Query) {
	details["route"], details["kind"], details["attempts"] = j.route.Name, j.route.Kind, j.route.MaxAttempts
	details["repeatable"] = j.route.Retryable()
	if q.Idempotent != nil {
		details["idempotent"] = *q.Idempotent
	}
	if j.bound != nil {
		details["account"] = j.bound.Name
	}
}

// describeVersions adds the versions at which a stream may begin. While a request would wait for
// them, the following steps take any.
func (j *job) describeVersions(s *previewer.Step) {
	wait := j.r.streams.(*previewStreams).wait
	switch {
	case s.Refuses():
	case j.versions == nil:
		s.Verdict = previewer.Unasked
	case wait > 0:
		s.Verdict, s.Status, s.Wait = string(NoTargets), http.StatusServiceUnavailable, wait.Milliseconds()
		j.versions = nil
	default:
		s.Details = map[string]any{"versions": j.versions}
	}
}

// permitWait returns for how long a request would wait for a permit, 0 if none is expected in
// time.
func (j *job) permitWait(list []previewer.Candidate) time.Duration {
	most := time.Duration(permitWaitShare * float64(j.route.LatencyTarget))
	for _, c := range list {
		if (c.Reason == previewer.Cold || c.Reason == previewer.Limited) && c.Left <= most.Milliseconds() {
			return most
		}
	}
	return 0
}

// describeTokens adds the account of a reservation that was not made.
func (j *job) describeTokens(s *previewer.Step) {
	d := j.reservation
	if d.Outcome == "" {
		s.Verdict = previewer.Unasked
		return
	}
	if d.Outcome == granter.Short || d.Outcome == granter.Limited {
		s.Wait = int64(reserveWaitShare * float64(j.route.LatencyTarget.Milliseconds()))
	}
	s.Details = map[string]any{
		"asked": j.meta.PromptTokens + j.meta.MaxOutputTokens, "prepaid": j.account.PrepaidTokens, "held": d.Granted, "used": d.Used,
		"lent": d.Borrowed, "limit": d.Limit, "left": d.Remaining, "ledgerage": d.Age.Milliseconds(),
	}
}

// previewJob returns a request that is not sent, on a receiver whose state is a copy.
func (r *Receiver) previewJob(now time.Time, q previewer.Query, table *resolver.Table, service string) (*job, *previewCodec) {
	codec := &previewCodec{Codec: r.codec, meta: metaOf(q)}
	limits := PreviewLimits(noLimits{})
	if r.previews.Limits != nil {
		limits = r.previews.Limits()
	}
	guard := &previewGuard{Guard: r.guard, preview: r.previews.Guard.Preview}
	p := New(codec, r.dispatcher.clone(limits), previewBudgets{r.budgets, r.previews.Budgets.Preview}, nil,
		WithGuard(guard), WithStreams(&previewStreams{Streams: r.streams, preview: r.previews.Streams.PreviewVersions}), WithLog(zerolog.Nop()), WithScope(tally.NoopScope))
	p.table.Store(table)
	p.lastContact.Store(r.lastContact.Load())
	p.closing.Store(r.closing.Load())
	uri, err := url.ParseRequestURI(q.Path)
	if err != nil { // the query was not checked
		uri = &url.URL{}
	}
	method := q.Method
	if method == "" {
		method = http.MethodPost
	}
	req := (&http.Request{
		Method: method, Host: q.Host, URL: uri, RequestURI: q.Path, Header: make(http.Header), Body: io.NopCloser(strings.NewReader(q.Body)), ContentLength: int64(len(q.Body)),
	}).WithContext(context.Background())
	return &job{r: p, w: discardWriter{make(http.Header)}, req: req, arrived: now, table: table, previewed: service}, codec
}

// metaOf returns what the headers of the request would say.
func metaOf(q previewer.Query) RequestMeta {
	m := RequestMeta{Key: q.Key, Model: q.Model, Timeout: time.Duration(q.Timeout) * time.Millisecond, PromptTokens: q.PromptTokens(), MaxOutputTokens: q.Output}
	for _, p := range q.Parts {
		m.Parts = append(m.Parts, Part{ID: uint64(p.ID), Tokens: p.Tokens})
	}
	return m
}

// discardWriter is the response to a request that nobody has sent.
type discardWriter struct{ h http.Header }

func (w discardWriter) Header() http.Header          { return w.h }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

// previewCodec gives the headers of a query, and keeps the time of a refusal.
type previewCodec struct {
	Codec
	meta  RequestMeta
	after time.Duration
}

func (c *previewCodec) DecodeRequest(http.Header) (RequestMeta, error) { return c.meta, nil }

func (c *previewCodec) EncodeRefusal(_ http.Header, _ string, after time.Duration) { c.after = after }

// previewBudgets decides about a reservation without making it.
type previewBudgets struct {
	Budgets
	preview func(account string, n int64) granter.Decision
}

func (b previewBudgets) Reserve(_ context.Context, account string, n int64, _ time.Duration) granter.Decision {
	return b.preview(account, n)
}

func (previewBudgets) Settle(string, granter.Decision, int64) {}

// previewGuard checks requests without recording them, and keeps the verdict.
type previewGuard struct {
	Guard
	preview func(s quarantiner.Subject) quarantiner.Verdict
	verdict quarantiner.Verdict
}

func (g *previewGuard) Check(s quarantiner.Subject) quarantiner.Verdict {
	g.verdict = g.preview(s)
	return g.verdict
}

// describe adds what is quarantined to the step.
func (g *previewGuard) describe(s *previewer.Step) {
	if g.verdict.Outcome == quarantiner.Allowed {
		return
	}
	if g.verdict.Outcome == quarantiner.TrialDue {
		s.Verdict = previewer.Trial
	}
	s.Details = map[string]any{"fingerprint": g.verdict.Fingerprint}
	if g.verdict.Fingerprint.IsPart() {
		s.Details["part"] = partName(g.verdict.Key.Part)
	}
}

// previewStreams knows the versions at hand and asks nobody for others.
type previewStreams struct {
	Streams
	preview func(service string) ([]string, time.Duration)
	wait    time.Duration
}

func (s *previewStreams) Versions(_ context.Context, service string) (versions []string) {
	versions, s.wait = s.preview(service)
	return versions
}

// AppendCold implements [PreviewLimits].
func (noLimits) AppendCold(list []string, _ time.Time, _ string) []string { return list }

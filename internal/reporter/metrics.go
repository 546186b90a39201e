package reporter

// Names of the fleet's metrics. The last word is the unit, or "total" for counters.
const (
	Requests             = "requests_total"
	RequestSeconds       = "request_seconds"
	FirstTokenSeconds    = "first_token_seconds"
	TokenGapSeconds      = "token_gap_seconds"
	Tokens               = "tokens_total"
	InFlight             = "in_flight_requests"
	Refusals             = "refusals_total"
	Admissions           = "admissions_total"
	Retries              = "retries_total"
	Resumes              = "resumes_total"
	Reservations         = "reservations_total"
	OpenReservedTokens   = "open_reserved_tokens"
	MarkedTokens         = "marked_tokens"
	AllottedTokens       = "allotted_tokens"
	WithheldTokens       = "withheld_tokens"
	Charges              = "charges_total"
	UnbilledCharges      = "unbilled_charges"
	HeldShards           = "held_shards"
	JournalRecords       = "journal_records_total"
	JournalCommitSeconds = "journal_commit_seconds"
	Folds                = "folds_total"
	Recoveries           = "recoveries_total"
	RecoverySeconds      = "recovery_seconds"
	Claims               = "claims_total"
	PlatformCalls        = "platform_calls_total"
	PlatformCallSeconds  = "platform_call_seconds"
	StoreCalls           = "store_calls_total"
	NeighbourWatches     = "neighbour_watches_total"
	BundleVersion        = "bundle_version"
	BundleDelaySeconds   = "bundle_delay_seconds"
	Orders               = "orders_total"
	Drains               = "drains_total"
	Crashes              = "crashes_total"
	QuarantinedParts     = "quarantined_parts"
	QuarantinedRequests  = "quarantined_requests"
	TakeUps              = "takeups_total"
	UncertainTargets     = "uncertain_targets"
	UnsureStreams        = "unsure_streams_total"
	LimitedTargets       = "limited_targets"
	HeldBytes            = "held_bytes"
	WaitingBodies        = "waiting_bodies"
	UnreadBodies         = "unread_bodies_total"
	ClosedConnections    = "closed_connections_total"
	EvacuatedCentres     = "evacuated_centres"
	ColdTargets          = "cold_targets"
	UnprovenTokens       = "unproven_tokens"
)

// Kind is the type of a metric.
type Kind string

// Types of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes a metric. The table in docs/metrics.md has the same columns.
type Metric struct {
	Name string
	Kind Kind
	Unit string
	Tags []string
	Help string
}

// Metrics lists all metrics of the fleet.
var Metrics = []Metric{
	{Requests, Counter, "requests", []string{"service", "outcome"}, "Requests answered, by typed outcome."},
	{RequestSeconds, Histogram, "seconds", []string{"service", "outcome"}, "Time from request to the end of the answer."},
	{FirstTokenSeconds, Histogram, "seconds", []string{"model"}, "Time from request to the first token."},
	{TokenGapSeconds, Histogram, "seconds", []string{"model"}, "Time between tokens of a stream."},
	{Tokens, Counter, "tokens", []string{"model", "kind"}, "Prompt and output tokens billed."},
	{InFlight, Gauge, "requests", []string{"service"}, "Requests being answered."},
	{Refusals, Counter, "refusals", []string{"reason"}, "Requests refused as not run, by reason."},
	{Admissions, Counter, "requests", []string{"priority", "result"}, "Requests to engines that were admitted, or refused because targets are overloaded, by priority; exceeded: refused after their account had used up its share."},
	{Retries, Counter, "retries", []string{"reason"}, "Attempts after the first."},
	{Resumes, Counter, "resumes", nil, "Streams continued over a new connection."},
	{Reservations, Counter, "reservations", []string{"result"}, "Reservations asked of the holder."},
	{OpenReservedTokens, Gauge, "tokens", nil, "Tokens in open reservations."},
	{MarkedTokens, Gauge, "tokens", nil, "Tokens marked and not yet charged."},
	{AllottedTokens, Gauge, "tokens", nil, "Tokens allotted and not yet folded."},
	{WithheldTokens, Gauge, "tokens", nil, "Tokens withheld after the crash of a holder."},
	{Charges, Counter, "charges", []string{"result"}, "Charges received, as durable or duplicate."},
	{UnbilledCharges, Gauge, "charges", nil, "Charges that the holder has not confirmed."},
	{HeldShards, Gauge, "shards", nil, "Budget shards that this process holds."},
	{JournalRecords, Counter, "records", nil, "Journal records written."},
	{JournalCommitSeconds, Histogram, "seconds", nil, "Time of a journal commit."},
	{Folds, Counter, "folds", nil, "Folds of charges into shard objects."},
	{Recoveries, Counter, "recoveries", []string{"result"}, "Takeovers from a dead holder."},
	{RecoverySeconds, Histogram, "seconds", nil, "Time from takeover until all tokens are released."},
	{Claims, Counter, "claims", []string{"state"}, "Claims of non-idempotent calls, by state."},
	{PlatformCalls, Counter, "calls", []string{"kind", "result"}, "Calls to the platform, by read, write and watch."},
	{PlatformCallSeconds, Histogram, "seconds", []string{"kind"}, "Time of a call to the platform."},
	{StoreCalls, Counter, "calls", []string{"call", "object", "result", "way"}, "Calls to the store of the users' platform, by what they are for."},
	{NeighbourWatches, Counter, "watches", []string{"kind", "result"}, "Questions to the watcher of the data centre that replace watches of the store."},
	{BundleVersion, Gauge, "version", nil, "Bundle version in force."},
	{BundleDelaySeconds, Histogram, "seconds", nil, "Time from acceptance of a bundle until it is in force here."},
	{Orders, Counter, "orders", []string{"result"}, "Orders to engines."},
	{Drains, Counter, "drains", nil, "Drains begun."},
	{Crashes, Counter, "crashes", []string{"service"}, "Requests under which a target crashed before it had answered them whole."},
	{QuarantinedParts, Gauge, "parts", nil, "Prompt parts that are kept away from targets."},
	{QuarantinedRequests, Gauge, "requests", nil, "Requests that are kept away from targets."},
	{TakeUps, Counter, "streams", []string{"result"}, "Streams that callers take up again, by whether their origin is known and still serves."},
	{UncertainTargets, Gauge, "targets", nil, "Targets that may have restarted with another software version."},
	{UnsureStreams, Counter, "streams", []string{"result"}, "Streams that were sent to targets of uncertain version, and what became of them."},
	{LimitedTargets, Gauge, "targets", nil, "Targets that name a limit of requests."},
	{HeldBytes, Gauge, "bytes", nil, "Memory charged for bodies and answers of callers, and for answers to other instances."},
	{WaitingBodies, Gauge, "bodies", nil, "Request bodies that wait for memory."},
	{UnreadBodies, Counter, "bodies", []string{"reason"}, "Request bodies that were not read whole, by reason."},
	{ClosedConnections, Counter, "connections", nil, "Connections of clients that were closed for lack of descriptors."},
	{EvacuatedCentres, Gauge, "centres", nil, "Data centres that get no requests because they are evacuated."},
	{ColdTargets, Gauge, "targets", nil, "Targets that have just started and get few requests."},
	{UnprovenTokens, Gauge, "tokens", []string{"holder", "cause"}, "Tokens that count as spent although it is not known whether they are."},
}

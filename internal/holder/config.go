package holder

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"daisylane/internal/checker"
	"daisylane/internal/recoverer"
	"daisylane/internal/relayer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
)

// MaxFlushInterval limits the flush interval. Sides resend an unconfirmed charge after
// 12 s, so a longer interval would make each charge a duplicate.
const MaxFlushInterval = 10 * time.Second

// Config sets up a holder.
type Config struct {
	Instance          string        // name with incarnation
	Region            string        // region of this process
	Shards            int           // number of budget shards of the fleet
	JournalSlots      int           // number of journal slots
	MarkAheadFraction float64       // fraction of the unspent allotment to keep marked
	ReleasePolicy     string        // policy for sides that are gone, see package recoverer
	Regions           []string      // all regions of the deployment
	FoldInterval      time.Duration // interval at which charges are folded into the shard objects
	FlushInterval     time.Duration // longest time until a charge is written to the journal
	// ExpiryMargin is the time from a request's deadline to the expiry of its reservation.
	// 0 takes the default of package reclaimer.
	ExpiryMargin time.Duration
	// RevocationInterval is the shortest time between two rounds that revoke expired
	// reservations. 0 takes the default of package reclaimer.
	RevocationInterval time.Duration
}

// Check validates the configuration.
func (c Config) Check() error {
	var f checker.Validator
	f.Require(c.Instance != "", "instance", "must not be empty")
	f.Require(c.Region != "", "region", "must not be empty")
	checker.Range(&f, "shards", c.Shards, 1, 1<<16)
	checker.Range(&f, "slots", c.JournalSlots, 8, 1024)
	checker.Range(&f, "ahead", c.MarkAheadFraction, 0, 1)
	f.Require(c.ReleasePolicy == recoverer.ReleaseOperator || c.ReleasePolicy == recoverer.ReleaseGone, "release",
		"is %q, allowed is %q or %q", c.ReleasePolicy, recoverer.ReleaseOperator, recoverer.ReleaseGone)
	f.Require(len(c.Regions) > 0, "regions", "must not be empty")
	checker.Range(&f, "fold", c.FoldInterval, time.Second, time.Hour)
	checker.Range(&f, "flush", c.FlushInterval, 10*time.Millisecond, MaxFlushInterval)
	checker.Range(&f, "margin", c.ExpiryMargin, 0, time.Hour)
	checker.Range(&f, "round", c.RevocationInterval, 0, time.Hour)
	return f.Err()
}

// Platform is the part of the platform client that a holder uses.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
}

// Members is the membership view that a holder uses.
type Members interface {
	Self() watcher.Member
	Entries(region, centre string) []*watcher.Member
	Registered(role string) []watcher.Member
	Get(name string) (watcher.Member, bool)
	IsGone(name string) bool
	IsSuspected(name string) bool
}

// Option configures a holder.
type Option func(*Holder)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log zerolog.Logger) Option { return func(h *Holder) { h.log = log } }

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) Option { return func(h *Holder) { h.scope = scope } }

// WithRelay sends calls to other regions through the platform while no direct
// connection to them can be made.
func WithRelay(r *relayer.Relayer) Option { return func(h *Holder) { h.relay = r } }

// WithSealedHandler sets the function that is called when a successor has sealed this
// instance's journal. The process can no longer hold shards and should restart.
func WithSealedHandler(f func(sealer string)) Option { return func(h *Holder) { h.onSealed = f } }

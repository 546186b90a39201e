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

// MaxFlush bounds the flush interval. Sides send a charge again after 12 s, so a
// longer interval would make each charge a duplicate.
const MaxFlush = 10 * time.Second

// Config sets up a holder.
type Config struct {
	Instance string        // name with incarnation
	Region   string        // region of this process
	Shards   int           // number of budget shards of the fleet
	Slots    int           // slots of the journal
	Ahead    float64       // part of the unspent allotment that is marked ahead of use
	Release  string        // policy for sides that are gone, see package recoverer
	Regions  []string      // regions of the deployment
	Fold     time.Duration // interval of settling charges in the shard objects
	Flush    time.Duration // longest time until a charge is in the journal
	Margin   time.Duration // from a request's deadline to the end of its reservation, 0 takes the default of package reclaimer
	Round    time.Duration // shortest time between two rounds of ended reservations, 0 takes the default of package reclaimer
}

// Check validates the configuration.
func (c Config) Check() error {
	var f checker.Faults
	f.Require(c.Instance != "", "instance", "must not be empty")
	f.Require(c.Region != "", "region", "must not be empty")
	checker.Range(&f, "shards", c.Shards, 1, 1<<16)
	checker.Range(&f, "slots", c.Slots, 8, 1024)
	checker.Range(&f, "ahead", c.Ahead, 0, 1)
	f.Require(c.Release == recoverer.ReleaseOperator || c.Release == recoverer.ReleaseGone, "release",
		"is %q, allowed is %q or %q", c.Release, recoverer.ReleaseOperator, recoverer.ReleaseGone)
	f.Require(len(c.Regions) > 0, "regions", "must not be empty")
	checker.Range(&f, "fold", c.Fold, time.Second, time.Hour)
	checker.Range(&f, "flush", c.Flush, 10*time.Millisecond, MaxFlush)
	checker.Range(&f, "margin", c.Margin, 0, time.Hour)
	checker.Range(&f, "round", c.Round, 0, time.Hour)
	return f.Err()
}

// Platform is the part of the platform client that a holder uses.
type Platform interface {
	Get(ctx context.Context, key string) (storer.Item, error)
	Put(ctx context.Context, key string, body []byte, version uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]storer.Item, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storer.Item, uint64, error)
}

// Members is the membership view that a holder uses.
type Members interface {
	Self() watcher.Member
	Entries(region, centre string) []*watcher.Member
	Registered(role string) []watcher.Member
	Get(name string) (watcher.Member, bool)
	Gone(name string) bool
	Suspected(name string) bool
}

// Option configures a holder.
type Option func(*Holder)

// WithLogger sets the logger. The default discards events.
func WithLogger(log zerolog.Logger) Option { return func(h *Holder) { h.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option { return func(h *Holder) { h.scope = scope } }

// WithRelay lets calls to other regions go through the platform while the link
// to them is cut.
func WithRelay(r *relayer.Relayer) Option { return func(h *Holder) { h.relay = r } }

// WithSealed sets what happens when a successor has sealed this instance's
// journal. The process can't hold shards any more and should stop and restart.
func WithSealed(f func(sealer string)) Option { return func(h *Holder) { h.sealed = f } }

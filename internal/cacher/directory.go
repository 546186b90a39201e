package cacher

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"daisylane/internal/waiter"
)

const (
	// headerCentre and headerSender tell with each call to a peer, and the first one also
	// with its response, in which data centre an instance is. Ledgers don't, because
	// earlier releases reject those with further fields.
	headerCentre = "Centre"
	headerSender = "Sender"

	// introduceInterval is the interval at which a peer is asked for its data centre that
	// has not told it with another call.
	introduceInterval = time.Second
	introduceTimeout  = 400 * time.Millisecond
	// introducePause is the least time between two such questions to one peer.
	introducePause = 30 * time.Second
	// forgetTime is how long a peer is remembered that is not listed. A new one calls others
	// up to 15 s before all of them have seen its ledger.
	forgetTime   = time.Minute
	maxDirectory = 4096
)

// Directory knows which peers are in which data centre. It is safe for concurrent use.
type Directory struct {
	centre, addr string // own

	mu    sync.Mutex
	peers map[string]peer // by address
}

// peer is what is known of a peer.
type peer struct {
	centre  string // empty: unknown
	heardAt time.Time
	askedAt time.Time
}

// NewDirectory returns a directory of an instance in a data centre, with its address for
// peers.
func NewDirectory(centre, addr string) *Directory {
	return &Directory{centre: centre, addr: addr, peers: make(map[string]peer)}
}

// isNeighbour reports whether a peer is known to be in the own data centre.
func (d *Directory) isNeighbour(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.centre != "" && addr != d.addr && d.peers[addr].centre == d.centre
}

// record records the data centre that a peer names.
func (d *Directory) record(now time.Time, addr, centre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, known := d.peers[addr]
	if addr == "" || centre == "" || !known && len(d.peers) >= maxDirectory {
		return
	}
	p.centre, p.heardAt = centre, now
	d.peers[addr] = p
}

// unknown returns a peer whose data centre is not known, and which was not asked for it
// lately.
func (d *Directory) unknown(now time.Time, addrs []string) (addr string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, addr := range addrs {
		p, known := d.peers[addr]
		if p.centre == "" && addr != d.addr && (known || len(d.peers) < maxDirectory) && now.Sub(p.askedAt) >= introducePause {
			p.askedAt = now
			d.peers[addr] = p
			return addr, true
		}
	}
	return "", false
}

// forget drops the peers that are not among the given ones, unless they were heard or asked
// lately.
func (d *Directory) forget(now time.Time, addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		listed[addr] = true
	}
	maps.DeleteFunc(d.peers, func(addr string, p peer) bool {
		return !listed[addr] && now.Sub(p.heardAt) > forgetTime && now.Sub(p.askedAt) > forgetTime
	})
}

// Transport adds the own data centre to calls to peers, and records theirs.
func (d *Directory) Transport(base http.RoundTripper) http.RoundTripper {
	return peerTransport{d, base}
}

type peerTransport struct {
	directory *Directory
	base      http.RoundTripper
}

// RoundTrip implements [http.RoundTripper].
func (t peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set(headerCentre, t.directory.centre)
	req.Header.Set(headerSender, t.directory.addr)
	res, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("call peer: %w", err)
	}
	t.directory.record(time.Now(), req.URL.Host, res.Header.Get(headerCentre))
	return res, nil
}

// handler adds the own data centre to responses to peers, and records theirs.
func (d *Directory) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.record(time.Now(), r.Header.Get(headerSender), r.Header.Get(headerCentre))
		w.Header().Set(headerCentre, d.centre)
		next.ServeHTTP(w, r)
	})
}

// Run asks peers for their data centre until the context ends.
func (c *Cache) Run(ctx context.Context) {
	waiter.Every(ctx, introduceInterval, func(now time.Time) {
		peers, _ := c.ranker.Rank("")
		addrs := make([]string, len(peers))
		for i, j := range rand.Perm(len(peers)) {
			addrs[i] = peers[j].Addr
		}
		c.directory.forget(now, addrs)
		addr, ok := c.directory.unknown(now, addrs)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
		defer cancel()
		// Only the headers of the call and the response matter. A peer without a response
		// is asked again.
		if _, err := c.asker.Ask(ctx, addr, Ask{}); err != nil {
			c.log.Debug().Str("addr", addr).Err(err).Msg("peer does not name its data centre")
		}
	})
}

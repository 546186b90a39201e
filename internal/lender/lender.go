// Package lender transfers tokens between instances over HTTP: an instance that
// serves a request borrows the tokens for it from the home of the account.
//
// # Usage
//
//	http.Serve(l, lender.Handler(accountant))
//
//	c := lender.NewClient()
//	loan := granter.Loan{Account: "rider-app", Minimum: 20_000, Need: 20_000, Requested: 25_000}
//	reply, err := c.Borrow(ctx, peer, loan)
//
// After the store was restored from an older copy, peers tell what they remember of each
// other's grants. For this, each grant is announced to some of them before it is used.
//
// A loan whose response is lost is cancelled: the lender takes its tokens back, or refuses
// the request if it arrives later. Tokens that are returned without a response may be
// lost, but are never spent twice.
package lender

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/granter"
	"daisylane/internal/messenger"
	"daisylane/internal/throttler"
)

const (
	lendPath   = "/lend"
	returnPath = "/return"
	cancelPath = "/cancel"
	notePath   = "/note"
	greetPath  = "/greet"
	endPath    = "/end"
	permitPath = "/permit"
	coldPath   = "/cold"
	// callTimeout is a dial, a round trip and the time that the lender itself waits
	// for tokens.
	callTimeout  = 380 * time.Millisecond
	maxBodyBytes = 4 << 10
	// maxHandoverBytes has room for the grants of 300 instances in 40 accounts.
	maxHandoverBytes = 2 << 20
	// maxColdBytes has room for the reports of 1,024 cold targets.
	maxColdBytes = 256 << 10
	maxTokens    = 1 << 40
)

// ErrRefused means that the peer does not lend, because it is not ready or is stopping.
var ErrRefused = errors.New("peer does not lend")

// MayHaveRun reports whether a peer may have executed, or may still execute, a call that
// failed.
func MayHaveRun(err error) bool {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	return !notSent && !errors.Is(err, ErrRefused)
}

// Reply is the response to a [granter.Loan].
type Reply struct {
	Tokens  int64           `json:"tokens"` // tokens lent
	Outcome granter.Outcome `json:"outcome"`
	Usage   granter.Usage   `json:"usage,omitzero"` // of the lender, including the loan
}

// Check validates the numbers of tokens.
func (r Reply) Check() error {
	var f checker.Validator
	checker.Range(&f, "tokens", r.Tokens, 0, maxTokens)
	f.AddNested("usage", r.Usage.Check())
	return f.Err()
}

// TokenLender lends tokens to other instances and accepts returned ones.
type TokenLender interface {
	Lend(ctx context.Context, l granter.Loan) Reply
	CancelLoan(id string) int64
	AddReturned(account string, tokens int64)
	RecordNote(n granter.Note) bool
	RecordGreeting(m granter.Greeting) bool
	RecordHandover(h granter.Handover) bool
}

// PermitGranter gives out permits for targets with a limit.
type PermitGranter interface {
	GrantPermits(ctx context.Context, a throttler.Ask) throttler.Grant
	// ExchangeCold takes over which targets are cold, and replies with those that it knows.
	ExchangeCold(ctx context.Context, r throttler.ColdReports) throttler.ColdReports
}

// HandlerOption adds to what [Handler] serves.
type HandlerOption func(*http.ServeMux)

// WithPermits also serves requests for permits.
func WithPermits(pg PermitGranter) HandlerOption {
	return func(mux *http.ServeMux) {
		mux.HandleFunc("POST "+permitPath, handleJSON(pg.GrantPermits))
		mux.HandleFunc("POST "+coldPath, messenger.Handle(maxColdBytes, pg.ExchangeCold))
	}
}

// Handler serves loan and return requests of peers.
func Handler(tl TokenLender, opts ...HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+lendPath, handleJSON(tl.Lend))
	mux.HandleFunc("POST "+returnPath, handleJSON(func(_ context.Context, l granter.Loan) Reply {
		tl.AddReturned(l.Account, l.Requested)
		return Reply{Tokens: l.Requested, Outcome: granter.Reserved}
	}))
	mux.HandleFunc("POST "+cancelPath, handleJSON(func(_ context.Context, l granter.Loan) Reply {
		return Reply{Tokens: tl.CancelLoan(l.ID), Outcome: granter.Reserved}
	}))
	mux.HandleFunc("POST "+notePath, handleJSON(func(_ context.Context, n granter.Note) Reply { return replyTo(tl.RecordNote(n)) }))
	mux.HandleFunc("POST "+greetPath, handleJSON(func(_ context.Context, m granter.Greeting) Reply { return replyTo(tl.RecordGreeting(m)) }))
	mux.HandleFunc("POST "+endPath, messenger.Handle(maxHandoverBytes, func(_ context.Context, h granter.Handover) Reply { return replyTo(tl.RecordHandover(h)) }))
	for _, o := range opts {
		o(mux)
	}
	return mux
}

// replyTo returns the reply to a message, which says whether it was accepted.
func replyTo(accepted bool) Reply {
	if !accepted {
		return Reply{Outcome: granter.Unready}
	}
	return Reply{Outcome: granter.Reserved}
}

// handleJSON is [messenger.Handle] for requests of the usual size.
func handleJSON[Req, Res checker.Checker](serve func(context.Context, Req) Res) http.HandlerFunc {
	return messenger.Handle(maxBodyBytes, serve)
}

// Client borrows tokens from peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
	wrap func(http.RoundTripper) http.RoundTripper
}

// ClientOption changes a setting of a [Client].
type ClientOption func(*Client)

// WithTransport wraps the HTTP transport of the calls to peers.
func WithTransport(wrap func(http.RoundTripper) http.RoundTripper) ClientOption {
	return func(c *Client) { c.wrap = wrap }
}

// NewClient returns a client that keeps idle connections to peers.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{wrap: func(t http.RoundTripper) http.RoundTripper { return t }}
	for _, o := range opts {
		o(c)
	}
	c.http = messenger.NewClient(c.wrap)
	return c
}

// Borrow asks a peer for tokens. If the peer does not lend, the error is [ErrRefused].
func (c *Client) Borrow(ctx context.Context, peer granter.Lender, l granter.Loan) (Reply, error) {
	r, err := post[Reply](ctx, c, peer.Addr+lendPath, l)
	if err != nil {
		return Reply{}, err
	}
	if r.Outcome == granter.Unready {
		return Reply{}, fmt.Errorf("borrow from %s: %w", peer.Name, ErrRefused)
	}
	return r, nil
}

// Cancel makes a lender take back a loan without a response, or never make it. It returns
// the tokens taken back.
func (c *Client) Cancel(ctx context.Context, peer granter.Lender, l granter.Loan) (int64, error) {
	r, err := post[Reply](ctx, c, peer.Addr+cancelPath, granter.Loan{ID: l.ID, Account: l.Account})
	return r.Tokens, err
}

// Return returns unused borrowed tokens to their lender.
func (c *Client) Return(ctx context.Context, peer granter.Lender, account string, tokens int64) error {
	_, err := post[Reply](ctx, c, peer.Addr+returnPath, granter.Loan{Account: account, Requested: tokens})
	return err
}

// Remember tells a peer about a grant. If the peer does not remember it, the error is
// [ErrRefused].
func (c *Client) Remember(ctx context.Context, peer granter.Lender, n granter.Note) error {
	return c.tell(ctx, peer, notePath, n)
}

// Greet tells a peer about this instance. If the peer does not count it, the error is
// [ErrRefused].
func (c *Client) Greet(ctx context.Context, peer granter.Lender, m granter.Greeting) error {
	return c.tell(ctx, peer, greetPath, m)
}

// HandOver tells a peer what this process knew at its end. If the peer does not take it
// over, the error is [ErrRefused].
func (c *Client) HandOver(ctx context.Context, peer granter.Lender, h granter.Handover) error {
	return c.tell(ctx, peer, endPath, h)
}

// AskPermits asks a peer for permits to send requests to a target.
func (c *Client) AskPermits(ctx context.Context, peer granter.Lender, a throttler.Ask) (throttler.Grant, error) {
	return post[throttler.Grant](ctx, c, peer.Addr+permitPath, a)
}

// ExchangeCold tells a peer which targets are cold, and returns those that it knows.
func (c *Client) ExchangeCold(ctx context.Context, peer granter.Lender, r throttler.ColdReports) (throttler.ColdReports, error) {
	return post[throttler.ColdReports](ctx, c, peer.Addr+coldPath, r)
}

// tell sends a message that a peer accepts or refuses.
func (c *Client) tell(ctx context.Context, peer granter.Lender, path string, v any) error {
	r, err := post[Reply](ctx, c, peer.Addr+path, v)
	if err == nil && r.Outcome != granter.Reserved {
		return fmt.Errorf("%s to %s: %w", path, peer.Name, ErrRefused)
	}
	return err
}

// post sends a request to a peer and decodes the response.
func post[Res checker.Checker](ctx context.Context, c *Client, url string, v any) (Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return messenger.Post[Res](ctx, c.http, url, maxColdBytes, v)
}

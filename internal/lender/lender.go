// Package lender carries tokens between instances: an instance that serves a
// request asks the home of the account for the tokens it takes.
//
// # Usage
//
//	http.Serve(l, lender.Handler(accountant))
//
//	c := lender.NewClient()
//	got, err := c.Borrow(ctx, peer, granter.Loan{Account: "rider-app", Least: 20_000, Need: 20_000, Ask: 25_000})
//
// A call without an answer may have been carried out; then the tokens are lost,
// never spent twice.
package lender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/granter"
)

const (
	lendPath   = "/lend"
	returnPath = "/return"
	dialTime   = 150 * time.Millisecond // three round trips between regions
	callTime   = 300 * time.Millisecond // a round trip, a dial and the lender's own wait
	maxBody    = 4 << 10
	idlePeers  = 4 // kept connections for each peer
	keepTime   = 20 * time.Second
	maxTokens  = 1 << 40
)

// ErrRefused means that the peer has too few tokens or does not lend.
var ErrRefused = errors.New("peer refused")

// Reply is the answer to a loan.
type Reply struct {
	Tokens  int64           `json:"tokens"`
	Outcome granter.Outcome `json:"outcome"`
}

// Check validates a reply.
func (r Reply) Check() error {
	var f checker.Faults
	checker.Range(&f, "tokens", r.Tokens, 0, maxTokens)
	return f.Err()
}

// Bank has tokens to lend.
type Bank interface {
	Lend(ctx context.Context, l granter.Loan) granter.Decision
	Returned(account string, tokens int64)
}

// Handler serves loans of a bank.
func Handler(b Bank) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+lendPath, handle(func(ctx context.Context, l granter.Loan) Reply {
		d := b.Lend(ctx, l)
		if d.Outcome != granter.Reserved {
			return Reply{Outcome: d.Outcome}
		}
		return Reply{Tokens: d.Own + d.Lent, Outcome: d.Outcome}
	}))
	mux.HandleFunc("POST "+returnPath, handle(func(_ context.Context, l granter.Loan) Reply {
		b.Returned(l.Account, l.Ask)
		return Reply{Tokens: l.Ask, Outcome: granter.Reserved}
	}))
	return mux
}

// handle decodes and checks what a peer sends and encodes the answer.
func handle[Q checker.Checker, A checker.Checker](serve func(context.Context, Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q, err := checker.Decode[Q](body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := checker.Encode(serve(r.Context(), q))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data) // a peer that left gives the tokens up
	}
}

// Client asks peers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	d := net.Dialer{Timeout: dialTime}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idlePeers, IdleConnTimeout: keepTime, DisableCompression: true,
	}}}
}

// Borrow asks for tokens. It returns 0 if the peer has too few.
func (c *Client) Borrow(ctx context.Context, peer granter.Lender, l granter.Loan) (int64, error) {
	r, err := call[Reply](ctx, c, peer.Addr+lendPath, l)
	if err != nil {
		return 0, err
	}
	if r.Outcome == granter.Unready {
		return 0, fmt.Errorf("borrow from %s: %w", peer.Name, ErrRefused)
	}
	return r.Tokens, nil
}

// Return gives tokens back.
func (c *Client) Return(ctx context.Context, peer granter.Lender, account string, tokens int64) error {
	_, err := call[Reply](ctx, c, peer.Addr+returnPath, granter.Loan{Account: account, Ask: tokens})
	return err
}

func call[A checker.Checker](ctx context.Context, c *Client, url string, l granter.Loan) (answer A, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	data, err := json.Marshal(l)
	if err != nil {
		return answer, fmt.Errorf("encode loan: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(data))
	if err != nil {
		return answer, fmt.Errorf("make request: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return answer, fmt.Errorf("ask peer: %w", err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return answer, fmt.Errorf("read answer of peer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("ask peer: status %d: %s", res.StatusCode, bytes.TrimSpace(body))
	}
	answer, err = checker.Decode[A](body)
	if err != nil {
		return answer, fmt.Errorf("decode answer of peer: %w", err)
	}
	return answer, nil
}

package faker

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

// Booking is a stand-in for a plain service whose calls are not idempotent.
type Booking struct {
	mux *http.ServeMux

	mu     sync.Mutex
	runs   []BookingRun
	faults bookingState
}

// BookingRun is the record of one run.
type BookingRun struct {
	ID    string `json:"id"`    // request id
	State string `json:"state"` // running, done or died
	Body  any    `json:"body"`
}

// BookingFaults are the fault switches of a service. A nil field keeps its
// value. Each count breaks the connections of the next n calls.
type BookingFaults struct {
	Slow   *loader.Duration `json:"slow,omitempty"`   // time that a run takes
	Before *int             `json:"before,omitempty"` // nothing was run
	During *int             `json:"during,omitempty"` // the run is recorded as died
	After  *int             `json:"after,omitempty"`  // the run is done
}

// Check validates the switches.
func (s BookingFaults) Check() error {
	var f checker.Faults
	f.Require(s.Slow == nil || *s.Slow >= 0, "slow", "is negative")
	f.Require(s.Before == nil || *s.Before >= 0, "before", "is negative")
	f.Require(s.During == nil || *s.During >= 0, "during", "is negative")
	f.Require(s.After == nil || *s.After >= 0, "after", "is negative")
	return f.Err()
}

type bookingState struct {
	slow                  loader.Duration
	before, during, after int
}

type bookingBody map[string]any

// Check accepts any object.
func (bookingBody) Check() error { return nil }

// NewBooking returns a service without runs.
func NewBooking() *Booking {
	b := &Booking{mux: http.NewServeMux()}
	b.mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) {
		acceptOpen(func(w http.ResponseWriter, body bookingBody) { b.book(w, r, body) })(w, r)
	})
	b.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, b.Runs()) })
	b.mux.HandleFunc("POST /faults", accept(func(w http.ResponseWriter, f BookingFaults) {
		b.Set(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	return b
}

func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.mux.ServeHTTP(w, r) }

// Runs returns all runs since the start.
func (b *Booking) Runs() []BookingRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BookingRun{}, b.runs...)
}

// Set changes the fault switches.
func (b *Booking) Set(s BookingFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	assign(&b.faults.slow, s.Slow)
	assign(&b.faults.before, s.Before)
	assign(&b.faults.during, s.During)
	assign(&b.faults.after, s.After)
}

// book runs on even if the caller has gone.
func (b *Booking) book(w http.ResponseWriter, r *http.Request, body bookingBody) {
	if b.takes(&b.faults.before) {
		abort()
	}
	n, slow := b.begin(r.Header.Get("X-Request-Id"), body)
	if b.takes(&b.faults.during) {
		b.end(n, StateDied)
		abort()
	}
	time.Sleep(slow)
	b.end(n, StateDone)
	if b.takes(&b.faults.after) {
		abort()
	}
	reply(w, http.StatusOK, map[string]string{"booking": fmt.Sprintf("B-%d", n+1)})
}

func (b *Booking) begin(id string, body any) (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, BookingRun{ID: id, State: StateRunning, Body: body})
	return len(b.runs) - 1, b.faults.slow.Std()
}

func (b *Booking) end(n int, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[n].State = state
}

// takes uses up one of the calls that a fault switch counts.
func (b *Booking) takes(count *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

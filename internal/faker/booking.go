package faker

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisylane/internal/checker"
	"daisylane/internal/loader"
)

// Booking is a stand-in for a booking service whose calls are not idempotent.
type Booking struct {
	mux *http.ServeMux

	mu     sync.Mutex
	runs   []BookingRun
	faults bookingFaultState
}

// BookingRun records one run.
type BookingRun struct {
	ID    string `json:"id"`    // request id
	State string `json:"state"` // running, done or died
	Body  any    `json:"body"`
}

// BookingFaults are the fault switches of a booking service. A nil field leaves the
// current value unchanged. Each count closes the connections of the next n calls
// without a response.
type BookingFaults struct {
	RunTime       *loader.Duration `json:"slow,omitempty"`   // duration of a run
	FailBeforeRun *int             `json:"before,omitempty"` // before the call is run
	FailDuringRun *int             `json:"during,omitempty"` // during the run, which is recorded as died
	FailAfterRun  *int             `json:"after,omitempty"`  // after the run, which is recorded as done
}

// Check validates the fault switches.
func (s BookingFaults) Check() error {
	var f checker.Validator
	f.Require(s.RunTime == nil || *s.RunTime >= 0, "slow", "is negative")
	f.Require(s.FailBeforeRun == nil || *s.FailBeforeRun >= 0, "before", "is negative")
	f.Require(s.FailDuringRun == nil || *s.FailDuringRun >= 0, "during", "is negative")
	f.Require(s.FailAfterRun == nil || *s.FailAfterRun >= 0, "after", "is negative")
	return f.Err()
}

type bookingFaultState struct {
	runTime                                    loader.Duration
	failBeforeRun, failDuringRun, failAfterRun int
}

type bookingBody map[string]any

// Check accepts any JSON object.
func (bookingBody) Check() error { return nil }

// NewBooking returns a booking service without runs.
func NewBooking() *Booking {
	b := &Booking{mux: http.NewServeMux()}
	b.mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) {
		handleLenient(func(w http.ResponseWriter, body bookingBody) { b.book(w, r, body) })(w, r)
	})
	b.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Runs()) })
	b.mux.HandleFunc("POST /faults", handleStrict(func(w http.ResponseWriter, f BookingFaults) {
		b.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	return b
}

func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.mux.ServeHTTP(w, r) }

// Runs returns all runs in the order of their start.
func (b *Booking) Runs() []BookingRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]BookingRun{}, b.runs...)
}

// SetFaults updates the fault switches.
func (b *Booking) SetFaults(s BookingFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	setIfPresent(&b.faults.runTime, s.RunTime)
	setIfPresent(&b.faults.failBeforeRun, s.FailBeforeRun)
	setIfPresent(&b.faults.failDuringRun, s.FailDuringRun)
	setIfPresent(&b.faults.failAfterRun, s.FailAfterRun)
}

// book runs a booking to its end even if the caller disconnects.
func (b *Booking) book(w http.ResponseWriter, r *http.Request, body bookingBody) {
	if b.consumeFault(&b.faults.failBeforeRun) {
		abortConnection()
	}
	n, runTime := b.beginRun(r.Header.Get("X-Request-Id"), body)
	if b.consumeFault(&b.faults.failDuringRun) {
		b.endRun(n, StateDied)
		abortConnection()
	}
	time.Sleep(runTime)
	b.endRun(n, StateDone)
	if b.consumeFault(&b.faults.failAfterRun) {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, map[string]string{"booking": fmt.Sprintf("B-%d", n+1)})
}

func (b *Booking) beginRun(id string, body any) (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, BookingRun{ID: id, State: StateRunning, Body: body})
	return len(b.runs) - 1, b.faults.runTime.Std()
}

func (b *Booking) endRun(n int, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[n].State = state
}

// consumeFault decrements the counter of a fault switch. It reports false if the
// counter is already zero.
func (b *Booking) consumeFault(count *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

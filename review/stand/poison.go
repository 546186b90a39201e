package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"] = func(w *world) error { return poison(w, 2, true) }
	cases["unframed"] = func(w *world) error { return poison(w, 1, false) }
}

const (
	poisonMachines = 4
	poisonRunners  = 9
	poisonPart     = "deadbeef01"
	// downTime is how long a crashed runner is down.
	downTime = 2 * time.Second
	// fifth is the number of the crash from which the fleet has to know the part.
	fifth = 5
)

// end ends the runner as the end of a process does: what it has written arrives, then its
// connections close. It reports false if the runner has ended before.
func (r *runner) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stop:
		return false
	default:
	}
	close(r.stop)
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	return true
}

// poison plays requests with a part of a prompt under which each runner crashes after it
// has written some events, among sound requests. If framed is not set, answers have neither
// a length nor chunks.
func poison(w *world, events int, framed bool) error {
	var mu sync.Mutex
	var crashes []time.Duration
	late := 0
	serve := func(r *run) bool {
		bad := strings.Contains(r.req.Header.Get("Daisylane-Prompt-Prefix"), poisonPart)
		mu.Lock()
		if n := len(crashes); bad && n >= fifth && w.now() > crashes[fifth-1]+stableWindow {
			late++
		}
		w.note("%s runs %s, with the part: %v; %d crashes so far", r.runner.id, r.id, bad, len(crashes))
		mu.Unlock()
		framing, format := "Connection: close", "%[2]s"
		if framed {
			framing, format = "Transfer-Encoding: chunked", "%[1]x\r\n%[2]s\r\n"
		}
		if r.head(http.StatusOK, "Content-Type: text/event-stream", framing) != nil {
			return false
		}
		for n := 1; n <= 10; n++ {
			time.Sleep(20 * time.Millisecond)
			e := fmt.Sprintf("id: %d\ndata: piece %d by %s %s\n\n", n, n, r.runner.id, r.version)
			if _, err := fmt.Fprintf(r.w, format, len(e), e); err != nil {
				return false
			}
			if bad && w.trouble && n == events {
				time.Sleep(5 * time.Millisecond)
				if r.runner.end() {
					mu.Lock()
					crashes = append(crashes, w.now())
					mu.Unlock()
					w.note("%s crashes under %s after event %d", r.runner.id, r.id, n)
					time.AfterFunc(downTime, func() { _ = r.runner.start("v1") })
				}
				return false
			}
		}
		if framed {
			_, err := io.WriteString(r.w, "0\r\n\r\n")
			return err == nil
		}
		return false
	}
	for n := range poisonRunners {
		if _, err := w.addRunner(fmt.Sprintf("i-pool-%d", n+1), pool, "v1", serve); err != nil {
			return err
		}
	}
	w.publish()
	if err := w.startMachines(poisonMachines); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	var wg sync.WaitGroup
	for i := range 800 {
		time.Sleep(50 * time.Millisecond)
		r, m := w.streamRequest("/summary/", "t1", 1000, 40), w.machines[rand.IntN(poisonMachines)]
		if i%10 == 0 {
			// No two of these are alike: their last part and their body differ.
			r.header["Daisylane-Prompt-Prefix"] = fmt.Sprintf("5c1e0001:500,%s:300,%s:200", poisonPart, r.id)
			r.body += r.id
		}
		wg.Go(func() {
			a := send(newTransport(), m, r)
			w.note("client got %s: %v", r.id, a)
		})
	}
	wg.Wait()
	w.note("%d crashes; %d requests with the part reached runners later than %v after the fifth", len(crashes), late, stableWindow)
	if late > 3 {
		w.breaks("BUDGET: %d requests with a part that crashes runners reached runners later than %v after the fifth crash", late, stableWindow)
	}
	return nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cut"] = cutAnswers }

const (
	cutRunners  = 3
	cutMachines = 1
	// cutUsers is the usual number of users, cutBurst that in a burst, 1.67 times as many.
	cutUsers = 9
	cutBurst = 15
	// pieceTime is how long a runner takes for each of the pieces of a list if it has no
	// other request. With n requests it takes n times as long.
	pieceTime  = 4 * time.Millisecond
	listBytes  = 512 << 10
	listPieces = 16
	// burstTime is the length of a burst.
	burstTime = 3 * time.Second
)

// cutAnswers plays users that read long lists from three runners. With trouble, more users
// come for three seconds.
func cutAnswers(w *world) error {
	var running sync.Map // *atomic.Int64 by runner
	serve := func(r *run) bool {
		if r.req.URL.Query().Get("list") == "" {
			return r.plain("one")
		}
		v, _ := running.LoadOrStore(r.runner.id, new(atomic.Int64))
		n := v.(*atomic.Int64)
		n.Add(1)
		defer n.Add(-1)
		began := time.Now()
		w.note("%s runs %s, %d at once", r.runner.id, r.id, n.Load())
		if r.head(http.StatusOK, fmt.Sprintf("Content-Length: %d", listBytes)) != nil {
			return false
		}
		for piece := range listPieces {
			time.Sleep(time.Duration(n.Load()) * pieceTime)
			if _, err := r.w.Write(make([]byte, listBytes/listPieces)); err != nil {
				w.note("%s: the connection of %s was closed after %d of %d pieces and %v", r.runner.id, r.id, piece, listPieces, time.Since(began))
				return false
			}
		}
		return true
	}
	for n := range cutRunners {
		if _, err := w.addRunner(fmt.Sprintf("i-app-%d", n+1), app, "v1", serve); err != nil {
			return err
		}
	}
	w.publish()
	if err := w.startMachines(cutMachines); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	var cut, whole atomic.Int64
	user := func(m *machine, end time.Time) {
		t := newTransport()
		for ; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			one := w.plainRequest(http.MethodGet, "/lookup/", "t1")
			if a := send(t, m, one); !a.complete || a.status != http.StatusOK {
				w.note("client got %s (one): %v", one.id, a)
				continue
			}
			// The connection is kept, and the list is asked for on it.
			r := w.plainRequest(http.MethodGet, "/lookup/", "t1")
			r.path += "?list=all"
			a := send(t, m, r)
			w.note("client got %s (list): reused connection %v, %v", r.id, a.reused, a)
			switch {
			case a.err != nil && a.reused:
				cut.Add(1)
			case a.err == nil && a.status == http.StatusOK:
				whole.Add(1)
			}
		}
	}
	var wg sync.WaitGroup
	start := func(users int, end time.Time) {
		for n := range users {
			wg.Go(func() { user(w.machines[n%cutMachines], end) })
		}
	}
	start(cutUsers, time.Now().Add(20*time.Second))
	time.Sleep(8 * time.Second)
	if w.trouble {
		w.note("%d users more for %v", cutBurst-cutUsers, burstTime)
		start(cutBurst-cutUsers, time.Now().Add(burstTime))
	}
	wg.Wait()
	w.note("%d lists were cut, %d came whole", cut.Load(), whole.Load())
	if n := cut.Load(); n > 3 {
		w.breaks("LOST: %d requests from kept connections were passed on to a sound runner, and the connection was closed without a whole answer", n)
	}
	return nil
}

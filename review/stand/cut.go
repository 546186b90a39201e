package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut"] = cutAnswers }

const (
	cutRunners = 7
	// pieceTime is how long a runner works on each of the pieces of a list, slowFactor how
	// many times as long a slow one does.
	pieceTime  = 8 * time.Millisecond
	slowFactor = 4
	listBytes  = 512 << 10
	listPieces = 16
)

// cutAnswers plays clients that read long lists from seven runners, of which one turns
// slow.
func cutAnswers(w *world) error {
	var mu sync.Mutex
	slow := ""
	whole := make(map[string]time.Duration) // how long the runner would have taken
	serve := func(r *run) bool {
		if r.req.URL.Query().Get("list") == "" {
			return r.plain("one")
		}
		mu.Lock()
		pause := pieceTime
		if r.runner.id == slow {
			pause *= slowFactor
		}
		whole[r.id] = listPieces * pause
		mu.Unlock()
		w.note("%s runs %s", r.runner.id, r.id)
		if r.head(http.StatusOK, fmt.Sprintf("Content-Length: %d", listBytes)) != nil {
			return false
		}
		for n := range listPieces {
			time.Sleep(pause)
			if _, err := r.w.Write(make([]byte, listBytes/listPieces)); err != nil {
				w.note("%s: the connection of %s was closed after %d of %d pieces", r.runner.id, r.id, n, listPieces)
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
	if err := w.startMachines(1); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	if w.trouble {
		mu.Lock()
		slow = w.runners[0].id
		mu.Unlock()
		w.note("%s works %d times as long", slow, slowFactor)
	}
	var wg sync.WaitGroup
	cut := 0
	for range 4 {
		wg.Go(func() {
			t := newTransport()
			for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				small := w.plainRequest(http.MethodGet, "/lookup/", "t1")
				if a := send(t, w.machines[0], small); !a.complete || a.status != http.StatusOK {
					w.note("client got %s (one): %v", small.id, a)
					continue
				}
				// The connection is kept, and the list is asked for on it.
				r := w.plainRequest(http.MethodGet, "/lookup/", "t1")
				r.path += "?list=all"
				a := send(t, w.machines[0], r)
				w.note("client got %s (list): reused connection %v, %v", r.id, a.reused, a)
				mu.Lock()
				if a.err != nil && a.reused {
					cut++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	w.note("%d lists were cut", cut)
	if cut > 3 {
		w.breaks("LOST: %d requests from kept connections were passed on to a sound runner, and the connection was closed without a whole answer", cut)
	}
	return nil
}

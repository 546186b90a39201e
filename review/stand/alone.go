package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["alone"] = alone }

const (
	aloneMachines = 4
	// dayLength is how long the traffic lasts.
	dayLength = 90 * time.Second
	// alonePrepaid is 1.3 times what the tenant uses on the whole day, as on the site.
	alonePrepaid = 420_000
)

// alone plays four entries of which three leave for good, one after the other, by SIGTERM.
// Clients go to those that are left.
func alone(w *world) error {
	for n := range 9 {
		if _, err := w.addRunner(fmt.Sprintf("i-pool-%d", n+1), pool, "v1", func(r *run) bool {
			w.note("%s runs %s", r.runner.id, r.id)
			return r.stream(10, 30*time.Millisecond)
		}); err != nil {
			return err
		}
	}
	for n := range 3 {
		if _, err := w.addRunner(fmt.Sprintf("i-app-%d", n+1), app, "v1", func(r *run) bool {
			w.note("%s runs %s", r.runner.id, r.id)
			return r.plain("ok")
		}); err != nil {
			return err
		}
	}
	w.prepaid["t1"] = alonePrepaid
	w.publish()
	if err := w.startMachines(aloneMachines); err != nil {
		return err
	}
	type kind struct {
		name         string
		sent, served int
	}
	kinds := []*kind{{name: "plan"}, {name: "book"}, {name: "lookup"}}
	var mu sync.Mutex
	inUse := aloneMachines
	client := func(k *kind) {
		mu.Lock()
		m := w.machines[rand.IntN(inUse)]
		mu.Unlock()
		var r request
		switch k.name {
		case "plan":
			r = w.streamRequest("/plan/", "t1", 500, 40)
		case "book":
			r = w.plainRequest(http.MethodPost, "/book/", "t1")
			r.body = "slot"
		default:
			r = w.plainRequest(http.MethodGet, "/lookup/", "t1")
		}
		a := send(newTransport(), m, r)
		w.note("client got %s (%s) from %s: %v", r.id, k.name, m.name, a)
		mu.Lock()
		defer mu.Unlock()
		k.sent++
		if a.status == http.StatusOK && a.complete {
			k.served++
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, k := range kinds {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					wg.Go(func() { client(k) })
				}
			}
		})
	}
	end := time.After(dayLength)
	time.Sleep(2 * time.Second)
	if w.trouble {
		for n := aloneMachines - 1; n > 0; n-- {
			mu.Lock()
			inUse = n
			mu.Unlock()
			m := w.machines[n]
			m.signal(syscall.SIGTERM)
			w.note("%s leaves for good", m.name)
			<-m.exited
		}
	}
	<-end
	close(stop)
	wg.Wait()
	sent, served := 0, 0
	for _, k := range kinds {
		sent, served = sent+k.sent, served+k.served
		w.note("%s: %d of %d served", k.name, k.served, k.sent)
	}
	all := float64(served) / float64(sent)
	for _, k := range kinds {
		if share := float64(k.served) / float64(k.sent); share < all/4 {
			w.breaks("Starved: %s is served at a share of %.3f, all requests at %.3f", k.name, share, all)
		}
	}
	return nil
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

const (
	drillMachines = 4
	drillPrepaid  = 3_000_000
	drillPrompt   = 500
	drillOutput   = 40
	// copyAge is how old the copy of the store is when the rolling restart begins, rollLead
	// how much later the store goes away, awayFor how long it is away.
	copyAge  = time.Second
	rollLead = 3 * time.Second
	awayFor  = time.Second
	// rollGap is the time between two SIGTERMs.
	rollGap = time.Second
	// stableWindow is the bound stable_window_ms.
	stableWindow = 4 * time.Second
)

// drill plays a rolling restart of four entries. With trouble, the store goes away in the
// midst of it and comes back from a copy of some seconds ago. Two tenants use a small part of
// what they have prepaid.
func drill(w *world) error {
	for n := range 9 {
		if _, err := w.addRunner(fmt.Sprintf("i-pool-%d", n+1), pool, "v1", func(r *run) bool {
			w.note("%s runs %s of %s", r.runner.id, r.id, r.req.Header.Get("Daisylane-Tenant"))
			return r.stream(drillOutput/stride, 30*time.Millisecond)
		}); err != nil {
			return err
		}
	}
	w.prepaid["t1"], w.prepaid["t2"] = drillPrepaid, drillPrepaid
	w.publish()
	if err := w.startMachines(drillMachines); err != nil {
		return err
	}
	var mu sync.Mutex
	var touchFrom time.Duration // from when on all machines are in touch, 0: the disruption is still to come
	used := map[string]int{}    // tokens, the prompt and the output of each request that was answered
	sent, denied, served, after := 0, 0, 0, 0
	client := func() {
		m, tenant := w.machines[rand.IntN(drillMachines)], []string{"t1", "t2"}[rand.IntN(2)]
		r := w.streamRequest("/plan/", tenant, drillPrompt, drillOutput)
		at := w.now()
		a := send(newTransport(), m, r)
		w.note("client got %s of %s from %s: %v", r.id, tenant, m.name, a)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if len(a.events) > 0 {
			used[tenant] += drillPrompt + len(a.events)*stride
		}
		if touchFrom == 0 || at < touchFrom {
			return
		}
		after++
		if a.status == http.StatusOK && a.complete {
			served++
		}
		if a.status >= 300 && a.status < 500 && used[tenant] < drillPrepaid/2 {
			denied++
		}
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				wg.Go(client)
			}
		}
	})
	time.Sleep(17 * time.Second)
	c := w.store.copyState()
	time.Sleep(copyAge)
	var rolling sync.WaitGroup
	rolling.Go(func() {
		for n, m := range w.machines {
			time.Sleep(min(1, time.Duration(n)) * rollGap)
			rolling.Go(func() {
				w.note("%s gets SIGTERM", m.name)
				m.signal(syscall.SIGTERM)
				<-m.exited
				time.Sleep(100 * time.Millisecond)
				if err := m.start(); err != nil {
					w.note("%v", err)
				}
				w.note("%s starts again", m.name)
			})
		}
	})
	if w.trouble {
		time.Sleep(rollLead)
		w.note("the store is away")
		w.store.setAway(true)
		time.Sleep(awayFor)
		w.store.restore(c)
		w.store.setAway(false)
		w.note("the store is back from a copy that is %v old", copyAge+rollLead+awayFor)
	}
	rolling.Wait()
	mu.Lock()
	touchFrom = w.now() + stableWindow
	mu.Unlock()
	time.Sleep(35 * time.Second)
	close(stop)
	wg.Wait()
	w.note("tokens used %v of %d each; %d requests, %d of them sent when all machines were in touch again: %d served, %d ended with a 4xx", used, drillPrepaid, sent, after, served, denied)
	if denied > 5+sent/500 {
		w.breaks("DENIED: %d of %d requests were ended with a 4xx at machines in touch, though their tenants had used %v of %d tokens", denied, sent, used, drillPrepaid)
	}
	return nil
}

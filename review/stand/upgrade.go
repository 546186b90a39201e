package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = upgradeInPlace }

const (
	upgradeRunners = 18
	upgradeEvents  = 24
	upgradeGap     = 50 * time.Millisecond
	// outage is how long the store is silent, as in the platform_down of the site.
	outage = 4500 * time.Millisecond
)

// upgradeInPlace plays three of eighteen runners that crash, start again under their ids with
// another software version, and crash once more. With trouble, the store is silent
// meanwhile.
func upgradeInPlace(w *world) error {
	serve := func(r *run) bool {
		w.note("%s %s runs %s after event %q", r.runner.id, r.version, r.id, r.req.Header.Get("Last-Event-Id"))
		return r.stream(upgradeEvents, upgradeGap)
	}
	for n := range upgradeRunners {
		if _, err := w.addRunner(fmt.Sprintf("i-pool-%d", n+1), pool, "v1", serve); err != nil {
			return err
		}
	}
	w.publish()
	if err := w.startMachines(4); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	mixed, sent := 0, 0
	count := func(n *int) {
		mu.Lock()
		defer mu.Unlock()
		*n++
	}
	// A client takes a stream that broke off up once more, at any machine.
	client := func() {
		first := w.streamRequest("/summary/", "t1", 1000, upgradeEvents*stride)
		var versions []string
		last := 0
		for attempt := range 2 {
			m, r := w.machines[rand.IntN(len(w.machines))], first
			if attempt > 0 {
				r.id, r.header = w.newID(), maps.Clone(first.header)
				r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(last), first.id
			}
			a := send(newTransport(), m, r)
			for _, e := range a.events {
				if v := e[strings.LastIndexByte(e, ' ')+1:]; !slices.Contains(versions, v) {
					versions = append(versions, v)
				}
			}
			last = max(last, a.lastID)
			w.note("client got %s of stream %s from %s: %v; last event %d; versions so far %v", a.id, first.id, m.name, a, last, versions)
			if a.complete || last == 0 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if len(versions) > 1 {
			w.note("stream %s holds events of %v", first.id, versions)
			count(&mixed)
		}
	}
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(6+rand.IntN(10)) * time.Millisecond):
				count(&sent)
				wg.Go(client)
			}
		}
	})
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.note("the store is silent")
		w.store.setAway(true)
		time.AfterFunc(outage, func() {
			w.store.setAway(false)
			w.note("the store answers again")
		})
	}
	time.Sleep(200 * time.Millisecond)
	upgraded := w.runners[:3]
	for _, up := range []time.Duration{3600 * time.Millisecond, 4 * time.Second} {
		for _, r := range upgraded {
			w.note("%s crashes", r.id)
			r.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, r := range upgraded {
			if err := r.start("v2"); err != nil {
				return err
			}
			w.note("%s starts again with v2", r.id)
		}
		time.Sleep(up)
	}
	close(stop)
	wg.Wait()
	w.note("%d of %d streams hold events of two versions", mixed, sent)
	if mixed > 2 {
		w.breaks("ORDER: %d streams hold events from runners of two software versions", mixed)
	}
	return nil
}

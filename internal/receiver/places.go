package receiver

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"daisylane/internal/follower"
	"daisylane/internal/resolver"
	"daisylane/internal/restrictor"
)

// placesError means that a service has no target where the request may be served.
type placesError struct {
	cause     Cause
	opensIn   time.Duration // expected time until there is one
	elsewhere int           // ready targets where it may not be served
}

func (e placesError) Error() string {
	return fmt.Sprintf("none of %d ready targets may serve the request: %s", e.elsewhere, e.cause)
}

// permitted returns the targets that are in the places and not evacuated. The caller must hold the lock.
func (d *Dispatcher) permitted(targets []follower.Target, places restrictor.Places) []follower.Target {
	if !places.Restricted() && (d.evacuations == nil || !d.evacuations.Any()) {
		return targets
	}
	var list []follower.Target
	for _, t := range targets {
		if _, evacuated := d.evacuatedSince(t.Centre); !evacuated && places.Allows(d.regions[t.Centre]) {
			list = append(list, t)
		}
	}
	return list
}

// Permits reports whether a request that is bound to the places may be sent to a target now.
func (d *Dispatcher) Permits(t follower.Target, places restrictor.Places) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.permitted([]follower.Target{t}, places)) > 0
}

// CheckPlaces returns an error if the places or evacuations exclude each target of a service.
func (d *Dispatcher) CheckPlaces(now time.Time, service *resolver.Service, places restrictor.Places) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.checkPlaces(now, service, places, d.readyNodes(service, places))
}

// checkPlaces is CheckPlaces, given the targets in the places. The caller must hold the lock.
func (d *Dispatcher) checkPlaces(now time.Time, service *resolver.Service, places restrictor.Places, n serviceNodes) error {
	if len(n.targets) > 0 {
		return nil
	}
	ready := d.roster.Ready(service.Name)
	switch {
	case !d.exist(places):
		return placesError{OutsideRegions, unknownRegionDelay, len(ready)}
	case len(ready) == 0:
		return nil // it has no target anywhere
	}
	err := placesError{OutsideRegions, regionDelay, len(ready)}
	for _, t := range ready {
		if since, evacuated := d.evacuatedSince(t.Centre); evacuated && places.Allows(d.regions[t.Centre]) {
			age := min(max(now.Sub(since), minEvacuatedDelay), maxEvacuatedDelay)
			if err.cause == OutsideRegions || age < err.opensIn {
				err.cause, err.opensIn = Evacuated, age
			}
		}
	}
	return err
}

// evacuatedSince returns since when a data centre is known to be evacuated, and whether it is.
// The caller must hold the lock.
func (d *Dispatcher) evacuatedSince(centre string) (time.Time, bool) {
	if d.evacuations == nil {
		return time.Time{}, false
	}
	return d.evacuations.Since(centre)
}

// WithEvacuations makes the dispatcher keep to evacuations of data centres. It is not ready
// until they are listed.
func WithEvacuations() DispatcherOption {
	return func(d *Dispatcher) { d.evacuations = restrictor.NewEvacuations() }
}

// ChangeEvacuations calls a function with the evacuations while it holds the lock, and returns
// the data centres that are evacuated since, and those that no longer are. The function must
// not retain the evacuations. [WithEvacuations] must be set.
func (d *Dispatcher) ChangeEvacuations(change func(*restrictor.Evacuations)) (begun, ended []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.evacuations.Centres()
	change(d.evacuations)
	after := d.evacuations.Centres()
	begun, ended = without(after, before), without(before, after)
	if len(begun)+len(ended) > 0 {
		clear(d.nodes)
	}
	if len(ended) > 0 {
		// Before a request can be sent there: the targets may have become cold.
		d.limits.Reopen(d.roster.In(ended))
	}
	return begun, ended
}

// without returns the elements of a that b lacks.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// Ready reports whether it is known to which data centres requests may be sent.
func (d *Dispatcher) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations == nil || d.evacuations.Listed()
}

// exist reports whether a data centre is in the places.
func (d *Dispatcher) exist(places restrictor.Places) bool {
	if !places.Restricted() {
		return true
	}
	for _, region := range d.regions {
		if places.Allows(region) {
			return true
		}
	}
	return false
}

// allowedPlaces returns where the request may be served by the configuration that is in
// force now, which may be a later one than at its arrival. What is gone from the
// configuration meanwhile binds the request as before.
func (j *job) allowedPlaces() restrictor.Places {
	table := j.r.table.Load()
	if table == j.placesTable {
		return j.places
	}
	p, route, account := restrictor.Places{}, j.route, j.bound
	if now, ok := table.Route(j.req.Host, j.req.URL.EscapedPath()); ok {
		if !now.Uses(j.service.Name) {
			p = p.WithRegions(route.AllowedRegions) // the service is one of the former route
		}
		route = now
	}
	if account != nil {
		if now, ok := table.AccountByName(account.Name); ok {
			account = now
		}
		p = p.WithRegions(account.AllowedRegions)
	}
	j.places, j.placesTable = p.WithRegions(route.AllowedRegions), table
	return j.places
}

// candidates returns the services that may serve the request: one, unless the caller takes up
// a stream whose service is not known yet.
func (j *job) candidates() []*resolver.Service {
	if !j.takesUp() {
		return []*resolver.Service{j.service}
	}
	var list []*resolver.Service
	for _, s := range j.route.Shares {
		if service, ok := j.table.Service(s.Service); ok && s.Weight > 0 {
			list = append(list, service)
		}
	}
	return list
}

// checkPlaces refuses the request if it may be served by no target of the services. It returns
// false if it refused the request.
func (j *job) checkPlaces(services ...*resolver.Service) bool {
	var misplaced placesError
	for _, s := range services {
		err, ok := j.r.dispatcher.CheckPlaces(time.Now(), s, j.allowedPlaces()).(placesError)
		if !ok {
			return true
		}
		misplaced = err
	}
	return j.refusePlaces(misplaced)
}

// refusePlaces ends a request that no target may serve. It returns false, for use as a result
// by callers.
func (j *job) refusePlaces(err placesError) bool {
	j.summary.failure = err
	if j.stream.started || j.summary.mayHaveRun {
		j.fail(err.cause, err)
		return false
	}
	return j.refuse(http.StatusServiceUnavailable, err.cause, jitter(err.opensIn))
}

// Package endpoints keeps what an instance knows about the endpoints that the
// platform lists: which may get new work, which have failed lately, and how
// busy they are.
package endpoints

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// FirstEjection is how long an endpoint gets no work after a failure to
	// reach it; each further one in a row doubles it, up to maxEjection.
	FirstEjection = 300 * time.Millisecond
	maxEjection   = 2400 * time.Millisecond
	// lapseGrace is how long after the platform's return an entry that
	// lapsed meanwhile is still believed: by then a living one is listed again.
	lapseGrace = 2 * time.Second
	// goneEjection is how long an endpoint gets no work at whose address
	// another process answers: a listing of it comes sooner if it lives.
	goneEjection = 5 * time.Second
	// toldLife is how long another instance's failure to reach an endpoint
	// keeps work from it.
	toldLife = 800 * time.Millisecond
	// maxToldShare is the share of all endpoints above which the word of
	// another instance that it cannot reach them is not believed.
	maxToldShare = 0.4
	// errorWeight is the weight of a new sample in the failure average.
	errorWeight = 0.1
)

// Listing is an endpoint as the platform lists it.
type Listing struct {
	Name       ident.Endpoint
	Service    ident.Service
	DataCentre ident.DataCentre
	Address    string
	Slots      int
	Leaving    bool
	// Born tells successive processes of one name apart.
	Born int64
}

// Load is an endpoint's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Endpoint is what is known about one back end.
type Endpoint struct {
	Listing
	// Running counts this instance's requests at the endpoint.
	Running int
	// Elsewhere counts the requests that other instances have there, by
	// their last pings.
	Elsewhere int
	// Failing is the moving share of failed requests.
	Failing float64
	// Millis is the moving average of the time to the answer.
	Millis float64

	load         Load
	loadAt       time.Time
	ejectedUntil time.Time
	failures     int
	lapsedAt     time.Time
	// answeredAt is when the endpoint last answered this instance, failedAt
	// when it last could not be reached, and toldUntil until when the word of
	// others that they could not reach it holds.
	answeredAt time.Time
	failedAt   time.Time
	toldUntil  time.Time
}

// Book lists the endpoints by service.
type Book struct {
	byName    map[ident.Endpoint]*Endpoint
	byService map[ident.Service][]*Endpoint
	byAddress map[string]*Endpoint
	// troubleUntil is when entries that lapsed during the platform's outage
	// have to be back; zero while there was none.
	troubled     bool
	troubleUntil time.Time
	// doubtUntil is the same by another instance's word.
	doubtUntil time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{byName: map[ident.Endpoint]*Endpoint{}} }

// List adds an endpoint or changes what is listed of it. It returns true when
// the endpoint is new or another process than before.
func (b *Book) List(l Listing) bool {
	e := b.byName[l.Name]
	fresh := e == nil || e.Address != l.Address || e.Service != l.Service || e.Born != l.Born
	if fresh {
		e = &Endpoint{}
		b.byName[l.Name] = e
	}
	e.Listing = l
	e.lapsedAt = time.Time{}
	b.index()
	return fresh
}

// Drop takes in that an entry is gone. If that is doubtful, since the entry may
// have lapsed in an outage of the platform, an endpoint that was not leaving is
// kept for a while.
func (b *Book) Drop(now time.Time, name ident.Endpoint, doubtful bool) {
	e := b.byName[name]
	if e == nil {
		return
	}
	if !e.Leaving && doubtful {
		e.lapsedAt = now
		return
	}
	delete(b.byName, name)
	b.index()
}

// PlatformLost takes in that the platform does not answer.
func (b *Book) PlatformLost() { b.troubled = true }

// PlatformBack takes in that the platform answers again.
func (b *Book) PlatformBack(now time.Time) {
	if !b.troubled {
		return
	}
	b.troubled = false
	b.troubleUntil = now.Add(lapseGrace)
}

// Troubled reports whether the platform does not answer this instance.
func (b *Book) Troubled() bool { return b.troubled }

// InTrouble reports whether entries may have lapsed in an outage of the
// platform that this instance went through.
func (b *Book) InTrouble(now time.Time) bool { return b.troubled || now.Before(b.troubleUntil) }

// Doubt takes in that entries may have lapsed, by another instance's word.
func (b *Book) Doubt(now time.Time, left time.Duration) {
	b.doubtUntil = now.Add(min(left, lapseGrace))
}

// Confirm drops an endpoint whose removal was doubtful, and reports whether
// there was one.
func (b *Book) Confirm(name ident.Endpoint) bool {
	e := b.byName[name]
	if e == nil || e.lapsedAt.IsZero() {
		return false
	}
	delete(b.byName, name)
	b.index()
	return true
}

// Sweep drops the entries that lapsed and are not back.
func (b *Book) Sweep(now time.Time) []ident.Endpoint {
	if b.InTrouble(now) || now.Before(b.doubtUntil) {
		return nil
	}
	var dropped []ident.Endpoint
	for _, name := range value.SortedKeys(b.byName) {
		if e := b.byName[name]; !e.lapsedAt.IsZero() {
			delete(b.byName, name)
			dropped = append(dropped, name)
		}
	}
	if len(dropped) > 0 {
		b.index()
	}
	return dropped
}

func (b *Book) index() {
	b.byService = map[ident.Service][]*Endpoint{}
	b.byAddress = map[string]*Endpoint{}
	for _, name := range value.SortedKeys(b.byName) {
		e := b.byName[name]
		b.byService[e.Service] = append(b.byService[e.Service], e)
		b.byAddress[e.Address] = e
	}
}

// Lookup returns the named endpoint, or nil.
func (b *Book) Lookup(name ident.Endpoint) *Endpoint { return b.byName[name] }

// At returns the endpoint with an address, or nil.
func (b *Book) At(address string) *Endpoint { return b.byAddress[address] }

// Listed returns all endpoints of a service by name.
func (b *Book) Listed(s ident.Service) []*Endpoint { return b.byService[s] }

// Count returns the number of known endpoints.
func (b *Book) Count() int { return len(b.byName) }

// Candidates returns the endpoints of a service that may get new work: not
// leaving, not excluded, and within reach as far as is known. Those that only
// others could not reach are taken if there is no better one.
func (b *Book) Candidates(now time.Time, s ident.Service, excluded value.Set[ident.Endpoint]) []*Endpoint {
	var usable, told []*Endpoint
	for _, e := range b.byService[s] {
		switch {
		case e.Leaving || excluded.Has(e.Name) || now.Before(e.ejectedUntil):
		case now.Before(e.toldUntil):
			told = append(told, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return told
	}
	return usable
}

// Ejected reports whether the endpoint gets no work after failures.
func (e *Endpoint) Ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil) || now.Before(e.toldUntil)
}

// Unreached returns how long ago each endpoint could not be reached, by this
// instance or by others, for those where that was a short while ago and this
// one has not heard of them since.
func (b *Book) Unreached(now time.Time) map[ident.Endpoint]time.Duration {
	var failed map[ident.Endpoint]time.Duration
	for name, e := range b.byName {
		at := e.failedAt
		if told := e.toldUntil.Add(-toldLife); told.After(at) {
			at = told
		}
		if age := now.Sub(at); age < toldLife && at.After(e.answeredAt) {
			if failed == nil {
				failed = map[ident.Endpoint]time.Duration{}
			}
			failed[name] = age
		}
	}
	return failed
}

// Told takes in that another instance could not reach endpoints. An answer to
// this instance since then goes before it. Who can reach few endpoints is cut
// off itself, so that its word says nothing.
func (b *Book) Told(now time.Time, failed map[ident.Endpoint]time.Duration) {
	if float64(len(failed)) > maxToldShare*float64(len(b.byName)) {
		return
	}
	for name, age := range failed {
		e := b.byName[name]
		if e == nil {
			continue
		}
		if at := now.Add(-age); at.After(e.answeredAt) {
			e.toldUntil = at.Add(toldLife)
		}
	}
}

// Unreachable takes in that the endpoint could not be reached or broke off.
func (e *Endpoint) Unreachable(now time.Time) {
	e.failedAt = now
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(FirstEjection<<min(e.failures, 8), maxEjection))
	e.failures++
}

// Replaced takes in that another process answers at the endpoint's address:
// the endpoint is gone.
func (e *Endpoint) Replaced(now time.Time) {
	e.failedAt = now
	e.ejectedUntil = now.Add(goneEjection)
}

// Answered takes in a response and what it said of the endpoint's work.
func (e *Endpoint) Answered(now time.Time, failed bool, took time.Duration, load Load) {
	e.failures = 0
	e.answeredAt = now
	e.ejectedUntil, e.toldUntil = time.Time{}, time.Time{}
	sample := 0.0
	if failed {
		sample = 1
	}
	e.Failing += errorWeight * (sample - e.Failing)
	millis := float64(took) / float64(time.Millisecond)
	if e.Millis == 0 {
		e.Millis = millis
	}
	e.Millis += errorWeight * (millis - e.Millis)
	if load.Slots > 0 {
		e.load, e.loadAt = load, now
	}
}

// reportLife is the age at which an endpoint's report says nothing any more.
const reportLife = time.Second

// Busy estimates the requests at the endpoint: the own ones, those that other
// instances told of, and the endpoint's report while it is fresh.
func (e *Endpoint) Busy(now time.Time) int {
	busy := e.Running + e.Elsewhere
	if !e.loadAt.IsZero() && now.Sub(e.loadAt) < reportLife {
		busy = max(busy, e.load.Running+e.load.Waiting)
	}
	return busy
}

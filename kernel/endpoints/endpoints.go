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
	// BaseEjectionTime is how long an endpoint gets no work after a failure to
	// reach it; each further one in a row doubles it, up to maxEjection.
	BaseEjectionTime = 300 * time.Millisecond
	maxEjection      = 2400 * time.Millisecond
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
	// StartedUnixMillis tells successive processes of one name apart.
	StartedUnixMillis int64
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
	// OwnRequests counts this instance's requests at the endpoint.
	OwnRequests int
	// PeerRequests counts the requests that other instances have there, by
	// their last pings.
	PeerRequests int
	// FailureShare is the moving share of failed requests.
	FailureShare float64
	// LatencyMillis is the moving average of the time to the answer.
	LatencyMillis float64

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

// Directory lists the endpoints by service.
type Directory struct {
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

// NewDirectory returns an empty book.
func NewDirectory() *Directory { return &Directory{byName: map[ident.Endpoint]*Endpoint{}} }

// Upsert adds an endpoint or changes what is listed of it. It returns true when
// the endpoint is new or another process than before.
func (b *Directory) Upsert(l Listing) bool {
	e := b.byName[l.Name]
	fresh := e == nil || e.Address != l.Address || e.Service != l.Service || e.StartedUnixMillis != l.StartedUnixMillis
	if fresh {
		e = &Endpoint{}
		b.byName[l.Name] = e
	}
	e.Listing = l
	e.lapsedAt = time.Time{}
	b.index()
	return fresh
}

// Remove takes in that an entry is gone. If that is doubtful, since the entry may
// have lapsed in an outage of the platform, an endpoint that was not leaving is
// kept for a while.
func (b *Directory) Remove(now time.Time, name ident.Endpoint, doubtful bool) {
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

// MarkPlatformUnavailable takes in that the platform does not answer.
func (b *Directory) MarkPlatformUnavailable() { b.troubled = true }

// MarkPlatformAvailable takes in that the platform answers again.
func (b *Directory) MarkPlatformAvailable(now time.Time) {
	if !b.troubled {
		return
	}
	b.troubled = false
	b.troubleUntil = now.Add(lapseGrace)
}

// PlatformUnavailable reports whether the platform does not answer this instance.
func (b *Directory) PlatformUnavailable() bool { return b.troubled }

// InOutageWindow reports whether entries may have lapsed in an outage of the
// platform that this instance went through.
func (b *Directory) InOutageWindow(now time.Time) bool {
	return b.troubled || now.Before(b.troubleUntil)
}

// DelayPurge takes in that entries may have lapsed, by another instance's word.
func (b *Directory) DelayPurge(now time.Time, left time.Duration) {
	b.doubtUntil = now.Add(min(left, lapseGrace))
}

// ConfirmRemoval drops an endpoint whose removal was doubtful, and reports whether
// there was one.
func (b *Directory) ConfirmRemoval(name ident.Endpoint) bool {
	e := b.byName[name]
	if e == nil || e.lapsedAt.IsZero() {
		return false
	}
	delete(b.byName, name)
	b.index()
	return true
}

// PurgeRemoved drops the entries that lapsed and are not back.
func (b *Directory) PurgeRemoved(now time.Time) []ident.Endpoint {
	if b.InOutageWindow(now) || now.Before(b.doubtUntil) {
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

func (b *Directory) index() {
	b.byService = map[ident.Service][]*Endpoint{}
	b.byAddress = map[string]*Endpoint{}
	for _, name := range value.SortedKeys(b.byName) {
		e := b.byName[name]
		b.byService[e.Service] = append(b.byService[e.Service], e)
		b.byAddress[e.Address] = e
	}
}

// Lookup returns the named endpoint, or nil.
func (b *Directory) Lookup(name ident.Endpoint) *Endpoint { return b.byName[name] }

// ByAddress returns the endpoint with an address, or nil.
func (b *Directory) ByAddress(address string) *Endpoint { return b.byAddress[address] }

// ByService returns all endpoints of a service by name.
func (b *Directory) ByService(s ident.Service) []*Endpoint { return b.byService[s] }

// Count returns the number of known endpoints.
func (b *Directory) Count() int { return len(b.byName) }

// Candidates returns the endpoints of a service that may get new work: not
// leaving, not excluded, and within reach as far as is known. Those that only
// others could not reach are taken if there is no better one.
func (b *Directory) Candidates(now time.Time, s ident.Service, excluded value.Set[ident.Endpoint]) []*Endpoint {
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

// RecentlyUnreachable returns how long ago each endpoint could not be reached, by this
// instance or by others, for those where that was a short while ago and this
// one has not heard of them since.
func (b *Directory) RecentlyUnreachable(now time.Time) map[ident.Endpoint]time.Duration {
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

// MergeUnreachable takes in that another instance could not reach endpoints. An answer to
// this instance since then goes before it. Who can reach few endpoints is cut
// off itself, so that its word says nothing.
func (b *Directory) MergeUnreachable(now time.Time, failed map[ident.Endpoint]time.Duration) {
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

// MarkUnreachable takes in that the endpoint could not be reached or broke off.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.failedAt = now
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(BaseEjectionTime<<min(e.failures, 8), maxEjection))
	e.failures++
}

// MarkReplaced takes in that another process answers at the endpoint's address:
// the endpoint is gone.
func (e *Endpoint) MarkReplaced(now time.Time) {
	e.failedAt = now
	e.ejectedUntil = now.Add(goneEjection)
}

// RecordAnswer takes in a response and what it said of the endpoint's work.
func (e *Endpoint) RecordAnswer(now time.Time, failed bool, took time.Duration, load Load) {
	e.failures = 0
	e.answeredAt = now
	e.ejectedUntil, e.toldUntil = time.Time{}, time.Time{}
	sample := 0.0
	if failed {
		sample = 1
	}
	e.FailureShare += errorWeight * (sample - e.FailureShare)
	millis := float64(took) / float64(time.Millisecond)
	if e.LatencyMillis == 0 {
		e.LatencyMillis = millis
	}
	e.LatencyMillis += errorWeight * (millis - e.LatencyMillis)
	if load.Slots > 0 {
		e.load, e.loadAt = load, now
	}
}

// reportLife is the age at which an endpoint's report says nothing any more.
const reportLife = time.Second

// EstimatedInFlight estimates the requests at the endpoint: the own ones, those that other
// instances told of, and the endpoint's report while it is fresh.
func (e *Endpoint) EstimatedInFlight(now time.Time) int {
	busy := e.OwnRequests + e.PeerRequests
	if !e.loadAt.IsZero() && now.Sub(e.loadAt) < reportLife {
		busy = max(busy, e.load.Running+e.load.Waiting)
	}
	return busy
}

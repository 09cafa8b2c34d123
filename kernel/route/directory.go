// Package route keeps what an instance knows about endpoints and chooses one for each
// call of package node. Its counterpart for package gateway is package endpoints. The
// routing policies are registered by name, including a naive one as the baseline, so
// that they can be compared on the same traffic.
package route

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// latencyWeight is the weight of a new sample in the exponential moving
	// average of call times.
	latencyWeight = 0.2
	// ejectAfterFailures is the number of consecutive failures that ejects an
	// endpoint.
	ejectAfterFailures = 3
	// baseEjectionTime is the length of an endpoint's first ejection; each
	// further one without a success in between doubles it, up to
	// maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 30 * time.Second
	// maxPrefixes bounds the prompt prefixes remembered for an endpoint.
	maxPrefixes = 512
	// maxListLag bounds the delay with which the platform's list shows a change.
	maxListLag = time.Minute
)

// Listing is an endpoint as the platform lists it.
type Listing struct {
	Name       ident.Endpoint   `json:"name"`
	Service    ident.Service    `json:"service"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Address    string           `json:"address"`
	Leaving    bool             `json:"leaving,omitempty"`
}

// Load is an endpoint's own report of the calls that it is running and that are waiting
// there.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Endpoint is what an instance knows about one endpoint.
type Endpoint struct {
	Listing
	// InFlight counts this instance's calls to the endpoint.
	InFlight int
	// LatencyMillis is the moving average of the durations of successful calls;
	// zero before the first one.
	LatencyMillis float64

	// load is the latest load report, and inFlightAtReport this instance's calls
	// in flight when it arrived.
	load             Load
	inFlightAtReport int
	loadReportedAt   time.Time
	// lastProgressAt is when the endpoint last completed a call successfully or
	// got a call while it had none from this instance.
	lastProgressAt      time.Time
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// prefixUsedAt holds the time of this instance's last call with each prefix.
	prefixUsedAt map[uint64]time.Time
	// leavingUntil is until when an endpoint that said that it is leaving gets
	// no new work, whatever the list says.
	leavingUntil time.Time
}

// Directory holds the known endpoints.
type Directory struct {
	byService map[ident.Service][]*Endpoint
	byName    map[ident.Endpoint]*Endpoint
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byService: map[ident.Service][]*Endpoint{}, byName: map[ident.Endpoint]*Endpoint{}}
}

// Update replaces the list of endpoints. The state of an endpoint that keeps its
// address is preserved, including that it said it is leaving: the list may lag behind.
func (d *Directory) Update(list []Listing) {
	endpoints := make(map[ident.Endpoint]*Endpoint, len(list))
	services := map[ident.Service][]*Endpoint{}
	for _, l := range list {
		e := d.byName[l.Name]
		if e == nil || e.Address != l.Address {
			e = &Endpoint{prefixUsedAt: map[uint64]time.Time{}}
		}
		e.Listing = l
		endpoints[l.Name] = e
		services[l.Service] = append(services[l.Service], e)
	}
	d.byName = endpoints
	d.byService = services
}

// Lookup returns the named endpoint, or nil.
func (d *Directory) Lookup(name ident.Endpoint) *Endpoint { return d.byName[name] }

// Services returns the names of the known services, sorted.
func (d *Directory) Services() []ident.Service { return value.SortedKeys(d.byService) }

// ByService returns all endpoints of a service in list order.
func (d *Directory) ByService(s ident.Service) []*Endpoint { return d.byService[s] }

// Candidates returns the endpoints of a service that may get new work: those that are
// not leaving, excluded or ejected. If more than half of them are ejected, the cause
// is probably not the endpoints, and the ejected ones are returned too.
func (d *Directory) Candidates(now time.Time, s ident.Service, excluded value.Set[ident.Endpoint]) []*Endpoint {
	var usable, ejected []*Endpoint
	for _, e := range d.byService[s] {
		if e.Leaving || now.Before(e.leavingUntil) || excluded.Has(e.Name) {
			continue
		}
		if now.Before(e.ejectedUntil) {
			ejected = append(ejected, e)
			continue
		}
		usable = append(usable, e)
	}
	if len(ejected) > len(usable) {
		return append(usable, ejected...)
	}
	return usable
}

// MarkLeaving records that an endpoint said that it is leaving. The endpoint gets no
// new work for maxListLag; by then the list shows it as leaving.
func (d *Directory) MarkLeaving(now time.Time, name ident.Endpoint) {
	if e := d.byName[name]; e != nil {
		e.leavingUntil = now.Add(maxListLag)
	}
}

// RecordLoad records an endpoint's load report.
func (d *Directory) RecordLoad(now time.Time, name ident.Endpoint, l Load) {
	if e := d.byName[name]; e != nil {
		e.load = l
		e.inFlightAtReport = e.InFlight
		e.loadReportedAt = now
	}
}

// RecordStart records the start of a call and its prompt prefix, if that is not zero.
func (e *Endpoint) RecordStart(now time.Time, prefix uint64) {
	if e.InFlight == 0 {
		e.lastProgressAt = now
	}
	e.InFlight++
	if prefix == 0 {
		return
	}
	if len(e.prefixUsedAt) >= maxPrefixes {
		clear(e.prefixUsedAt)
	}
	e.prefixUsedAt[prefix] = now
}

// RecordSuccess records that a call succeeded, and its duration.
func (e *Endpoint) RecordSuccess(now time.Time, took time.Duration) {
	e.InFlight--
	e.lastProgressAt = now
	e.consecutiveFailures = 0
	e.ejections = 0
	millis := float64(took) / float64(time.Millisecond)
	if e.LatencyMillis == 0 {
		e.LatencyMillis = millis
		return
	}
	e.LatencyMillis += latencyWeight * (millis - e.LatencyMillis)
}

// RecordFailure records that a call failed. After ejectAfterFailures consecutive
// failures each further one ejects the endpoint again.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.InFlight--
	e.consecutiveFailures++
	if e.consecutiveFailures < ejectAfterFailures {
		return
	}
	e.consecutiveFailures = ejectAfterFailures - 1
	e.ejectedUntil = now.Add(min(baseEjectionTime<<min(e.ejections, 10), maxEjectionTime))
	e.ejections++
}

// StalledMillis returns the time for which the endpoint has had calls of this instance
// without completing one; zero if it has none. It reveals a slow endpoint before its
// first slow reply arrives.
func (e *Endpoint) StalledMillis(now time.Time) float64 {
	if e.InFlight == 0 {
		return 0
	}
	return float64(now.Sub(e.lastProgressAt)) / float64(time.Millisecond)
}

// RecordCancellation records that a call was cancelled, which does not affect what is
// known about the endpoint's speed and failures.
func (e *Endpoint) RecordCancellation() { e.InFlight-- }

// HasCachedPrefix reports whether the endpoint probably has the prefix in its cache:
// whether this instance made a call with it within the given age.
func (e *Endpoint) HasCachedPrefix(now time.Time, prefix uint64, age time.Duration) bool {
	at, ok := e.prefixUsedAt[prefix]
	return ok && now.Sub(at) <= age
}

// EstimatedInFlight estimates the number of calls at the endpoint: this instance's own,
// plus those of other instances by the endpoint's last load report. The weight of the
// report falls linearly with its age.
func (e *Endpoint) EstimatedInFlight(now time.Time) float64 {
	ownCalls := float64(e.InFlight)
	age := now.Sub(e.loadReportedAt)
	if e.loadReportedAt.IsZero() || age > loadReportTTL {
		return ownCalls
	}
	weight := 1 - float64(age)/float64(loadReportTTL)
	peerCalls := float64(e.load.Running + e.load.Waiting - e.inFlightAtReport)
	return ownCalls + max(peerCalls, 0)*weight
}

// loadReportTTL is the age from which on an endpoint's load report is ignored.
const loadReportTTL = 10 * time.Second

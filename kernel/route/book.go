// Package route keeps what an instance knows about endpoints and chooses one
// for each call. Policies register by name, the naive one among them, so that
// they can be compared on the same traffic.
package route

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// ejectAfter is the number of failures in a row that ejects an endpoint.
	ejectAfter = 3
	// firstEjection is the length of an endpoint's first ejection; each
	// further one doubles it, up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 30 * time.Second
	// maxPrefixes bounds the prompt prefixes remembered for an endpoint.
	maxPrefixes = 512
	// listLag is how far the platform's instance list may lag behind.
	listLag = time.Minute
)

// Listing is an endpoint as the platform's instance list shows it.
type Listing struct {
	Name       ident.Endpoint   `json:"name"`
	Service    ident.Service    `json:"service"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	Address    string           `json:"address"`
	Leaving    bool             `json:"leaving,omitempty"`
}

// Load is an endpoint's own report of its work.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Endpoint is what is known about one back end.
type Endpoint struct {
	Listing
	// InFlight counts this instance's calls to the endpoint.
	InFlight int
	// LatencyMillis is the moving average of call times; zero when unknown.
	LatencyMillis float64

	load         Load
	loadInFlight int
	loadAt       time.Time
	// quietSince is when the endpoint last finished a call, or got the first
	// of those that it has not finished.
	quietSince   time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	prefixes     map[uint64]time.Time
	// declinesUntil is set by an endpoint's own word that it is leaving.
	declinesUntil time.Time
}

// Directory lists the endpoints by service.
type Directory struct {
	services  map[ident.Service][]*Endpoint
	endpoints map[ident.Endpoint]*Endpoint
}

// NewDirectory returns an empty book.
func NewDirectory() *Directory {
	return &Directory{services: map[ident.Service][]*Endpoint{}, endpoints: map[ident.Endpoint]*Endpoint{}}
}

// Update takes over an instance list. What is known about an endpoint that
// stays is kept, also that it declines new work: the list lags.
func (b *Directory) Update(list []Listing) {
	endpoints := make(map[ident.Endpoint]*Endpoint, len(list))
	services := map[ident.Service][]*Endpoint{}
	for _, l := range list {
		e := b.endpoints[l.Name]
		if e == nil || e.Address != l.Address {
			e = &Endpoint{prefixes: map[uint64]time.Time{}}
		}
		e.Listing = l
		endpoints[l.Name] = e
		services[l.Service] = append(services[l.Service], e)
	}
	b.endpoints = endpoints
	b.services = services
}

// Lookup returns the named endpoint, or nil.
func (b *Directory) Lookup(name ident.Endpoint) *Endpoint { return b.endpoints[name] }

// Services returns the names of the known services in order.
func (b *Directory) Services() []ident.Service { return value.SortedKeys(b.services) }

// Endpoints returns all endpoints of a service in list order.
func (b *Directory) Endpoints(s ident.Service) []*Endpoint { return b.services[s] }

// Candidates returns the endpoints of a service that may get new work: not
// leaving, not excluded, not ejected. Ejection is capped: when more than half
// of a service is ejected the evidence points elsewhere, and all are used.
func (b *Directory) Candidates(now time.Time, s ident.Service, excluded value.Set[ident.Endpoint]) []*Endpoint {
	var usable, ejected []*Endpoint
	for _, e := range b.services[s] {
		if e.Leaving || now.Before(e.declinesUntil) || excluded.Has(e.Name) {
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

// MarkLeaving stops new work to an endpoint that said it is leaving, for
// longer than the list can lag.
func (b *Directory) MarkLeaving(now time.Time, name ident.Endpoint) {
	if e := b.endpoints[name]; e != nil {
		e.declinesUntil = now.Add(listLag)
	}
}

// RecordLoad takes over an endpoint's load report.
func (b *Directory) RecordLoad(now time.Time, name ident.Endpoint, l Load) {
	if e := b.endpoints[name]; e != nil {
		e.load = l
		e.loadInFlight = e.InFlight
		e.loadAt = now
	}
}

// RecordStart counts a call and remembers its prompt prefix.
func (e *Endpoint) RecordStart(now time.Time, prefix uint64) {
	if e.InFlight == 0 {
		e.quietSince = now
	}
	e.InFlight++
	if prefix == 0 {
		return
	}
	if len(e.prefixes) >= maxPrefixes {
		clear(e.prefixes)
	}
	e.prefixes[prefix] = now
}

// RecordSuccess ends a call and feeds the moving average.
func (e *Endpoint) RecordSuccess(now time.Time, took time.Duration) {
	e.InFlight--
	e.quietSince = now
	e.failures = 0
	e.ejections = 0
	millis := float64(took) / float64(time.Millisecond)
	if e.LatencyMillis == 0 {
		e.LatencyMillis = millis
		return
	}
	e.LatencyMillis += latencyWeight * (millis - e.LatencyMillis)
}

// RecordFailure ends a call; failures in a row eject the endpoint for a while.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.InFlight--
	e.failures++
	if e.failures < ejectAfter {
		return
	}
	e.failures = ejectAfter - 1
	e.ejectedUntil = now.Add(min(firstEjection<<min(e.ejections, 10), maxEjection))
	e.ejections++
}

// StalledMillis is how long calls have been waiting without any being finished.
// It shows a slow endpoint before its first slow reply does.
func (e *Endpoint) StalledMillis(now time.Time) float64 {
	if e.InFlight == 0 {
		return 0
	}
	return float64(now.Sub(e.quietSince)) / float64(time.Millisecond)
}

// RecordCancellation ends a call that says nothing about the endpoint.
func (e *Endpoint) RecordCancellation() { e.InFlight-- }

// HasCachedPrefix reports whether the endpoint's prefix cache probably holds the
// prefix, from this instance's own calls within the given age.
func (e *Endpoint) HasCachedPrefix(now time.Time, prefix uint64, age time.Duration) bool {
	at, ok := e.prefixes[prefix]
	return ok && now.Sub(at) <= age
}

// EstimatedInFlight estimates the work at the endpoint: the lagging report corrected by
// what this instance has started or ended since, and never below its own.
func (e *Endpoint) EstimatedInFlight(now time.Time) float64 {
	own := float64(e.InFlight)
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || age > maxReportAge {
		return own
	}
	trust := 1 - float64(age)/float64(maxReportAge)
	others := float64(e.load.Running + e.load.Waiting - e.loadInFlight)
	return own + max(others, 0)*trust
}

// maxReportAge is the age at which a load report says nothing any more.
const maxReportAge = 10 * time.Second

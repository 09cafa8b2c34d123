// Package endpoints keeps what an instance knows about the endpoints that the
// platform lists: which of them may get new work, which have failed recently, and how
// loaded they are. Package gateway uses it; package route is its counterpart for
// package node. Removals during a platform outage are not trusted at once: the
// listings may have expired only because the endpoints could not renew them.
package endpoints

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// BaseEjectionTime is how long an endpoint gets no work after a failure to
	// reach it; each further failure in a row doubles it, up to maxEjectionTime.
	BaseEjectionTime = 300 * time.Millisecond
	maxEjectionTime  = 2400 * time.Millisecond
	// outageGrace is how long after the end of a platform outage an endpoint
	// whose listing expired during the outage is kept: by then an endpoint that
	// is up has been listed again.
	outageGrace = 2 * time.Second
	// replacedEjectionTime is how long an endpoint gets no work after another
	// process answered at its address. If the endpoint is up at another
	// address, its new listing arrives sooner.
	replacedEjectionTime = 5 * time.Second
	// peerReportTTL is how long an endpoint gets no work after another instance
	// failed to reach it.
	peerReportTTL = 800 * time.Millisecond
	// maxPeerReportShare is the share of all endpoints above which another
	// instance's report that it cannot reach them is ignored.
	maxPeerReportShare = 0.4
	// sampleWeight is the weight of a new sample in the exponential moving
	// averages.
	sampleWeight = 0.1
)

// Listing is an endpoint as the platform lists it.
type Listing struct {
	Name       ident.Endpoint
	Service    ident.Service
	DataCentre ident.DataCentre
	Address    string
	Slots      int
	Leaving    bool
	// StartedUnixMillis is the start time of the endpoint's process. It tells
	// successive processes of the same name apart.
	StartedUnixMillis int64
	// Version is the version of the endpoint's software; empty if the listing names none.
	Version ident.SoftwareVersion
	// ColdFor is how much longer the process is cold; nil if the listing does not tell.
	ColdFor *time.Duration
	// Sequence rises with what the process says of itself.
	Sequence int64
}

// Process identifies the process that the listing is about.
func (l Listing) Process() ident.EndpointProcess {
	return ident.EndpointProcess{Endpoint: l.Name, StartedUnixMillis: l.StartedUnixMillis}
}

// Load is an endpoint's own report of its requests: how many it is running and
// how many are waiting there, and how many it can run at once.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes there at present, 100 being the usual time; zero
	// if the endpoint does not report it.
	WorkPercent int
}

// Endpoint is what an instance knows about one endpoint.
type Endpoint struct {
	Listing
	// OwnRequests counts this instance's requests at the endpoint.
	OwnRequests int
	// PeerRequests counts the requests of other instances at the endpoint, by
	// their last pings.
	PeerRequests int
	// FailureShare is the moving average of the share of responses in which the
	// endpoint reports an error of its own.
	FailureShare float64
	// LatencyMillis is the moving average of the time to the response; zero
	// before the first response.
	LatencyMillis float64
	// UsualLatencyMillis is the moving average of the time to the response, each divided by
	// the work factor that came with it.
	UsualLatencyMillis float64
	// ReportsWork is set once a load report of the process has had a work figure.
	ReportsWork bool

	load           Load
	loadReportedAt time.Time
	// workTold is the newest work figure that another instance has seen, at workToldAt.
	workTold            int
	workToldAt          time.Time
	ejectedUntil        time.Time
	consecutiveFailures int
	// unconfirmedUntil is when the endpoint counts as gone if its listing has
	// disappeared from the platform, but perhaps only because of an outage;
	// otherwise zero.
	unconfirmedUntil time.Time
	// lastResponseAt is when the endpoint last responded to this instance.
	lastResponseAt time.Time
	// unreachableAt is when this instance last failed to reach the endpoint.
	unreachableAt time.Time
	// peerReportUntil is when the latest report of another instance that it
	// could not reach the endpoint expires.
	peerReportUntil time.Time
	// said is what the process has said of itself; never nil.
	said *statements
}

// Directory holds the known endpoints, indexed by name, service and address.
type Directory struct {
	byName    map[ident.Endpoint]*Endpoint
	byService map[ident.Service][]*Endpoint
	byAddress map[string]*Endpoint
	// statements holds what processes have said of themselves, listed or not.
	statements map[ident.EndpointProcess]*statements
	inOutage   bool
	// partitioned holds the data centres that this instance can probably not
	// reach.
	partitioned value.Set[ident.DataCentre]
	// evacuated holds the data centres that the operator evacuates; their endpoints get nothing.
	evacuated value.Set[ident.DataCentre]
	// onDeparted is called with the listing of each process that is listed no more.
	onDeparted func(Listing)
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byName: map[ident.Endpoint]*Endpoint{}, statements: map[ident.EndpointProcess]*statements{}, onDeparted: func(Listing) {}}
}

// OnDeparted sets a function that is called with the listing of each process that is not listed any
// more, also because another one has its name.
func (d *Directory) OnDeparted(f func(Listing)) { d.onDeparted = f }

// remove removes an endpoint; rebuildIndexes has to follow.
func (d *Directory) remove(e *Endpoint) {
	delete(d.byName, e.Name)
	d.onDeparted(e.Listing)
}

// Upsert adds an endpoint or updates its listing. It returns true when the
// endpoint is new or is another process than before.
func (d *Directory) Upsert(l Listing) bool {
	e := d.byName[l.Name]
	isNew := e == nil || e.Address != l.Address || e.Service != l.Service || e.StartedUnixMillis != l.StartedUnixMillis
	if isNew {
		if e != nil {
			d.onDeparted(e.Listing)
		}
		e = &Endpoint{}
		d.byName[l.Name] = e
	}
	e.Listing = l
	e.said = d.statements[l.Process()]
	if e.said == nil {
		e.said = &statements{}
	}
	e.unconfirmedUntil = time.Time{}
	d.rebuildIndexes()
	return isNew
}

// Remove handles the disappearance of an endpoint's listing from the platform. It
// removes the endpoint if it was leaving or the removal is confirmed, with
// unconfirmedFor zero. Otherwise the listing may have expired only because of a
// platform outage: the endpoint stays usable for that time, at most outageGrace,
// unless Upsert lists it again or ConfirmRemoval removes it.
func (d *Directory) Remove(now time.Time, name ident.Endpoint, unconfirmedFor time.Duration) {
	e := d.byName[name]
	if e == nil {
		return
	}
	if !e.IsLeaving() && unconfirmedFor > 0 {
		if e.unconfirmedUntil.IsZero() {
			e.unconfirmedUntil = now.Add(min(unconfirmedFor, outageGrace))
		}
		return
	}
	d.remove(e)
	d.rebuildIndexes()
}

// MarkPlatformUnavailable records that the platform does not answer this instance.
func (d *Directory) MarkPlatformUnavailable() { d.inOutage = true }

// MarkPlatformAvailable records that the platform answers this instance.
func (d *Directory) MarkPlatformAvailable() { d.inOutage = false }

// PlatformUnavailable reports whether the platform does not answer this instance.
func (d *Directory) PlatformUnavailable() bool { return d.inOutage }

// ConfirmRemoval removes the named endpoint if its removal was unconfirmed, and
// reports whether it was.
func (d *Directory) ConfirmRemoval(name ident.Endpoint) bool {
	e := d.byName[name]
	if e == nil || e.unconfirmedUntil.IsZero() {
		return false
	}
	d.remove(e)
	d.rebuildIndexes()
	return true
}

// PostponeRemovals lets unconfirmed removals wait for outageGrace from now on,
// because no instance has contact with the platform.
func (d *Directory) PostponeRemovals(now time.Time) {
	for _, e := range d.byName {
		if !e.unconfirmedUntil.IsZero() {
			e.unconfirmedUntil = now.Add(outageGrace)
		}
	}
}

// PurgeRemoved removes the endpoints whose removal has been unconfirmed for long
// enough, and returns their names.
func (d *Directory) PurgeRemoved(now time.Time) []ident.Endpoint {
	var purged []ident.Endpoint
	for name, e := range d.byName {
		if !e.unconfirmedUntil.IsZero() && !now.Before(e.unconfirmedUntil) {
			d.remove(e)
			purged = append(purged, name)
		}
	}
	if len(purged) > 0 {
		slices.Sort(purged)
		d.rebuildIndexes()
	}
	return purged
}

func (d *Directory) rebuildIndexes() {
	d.byService = map[ident.Service][]*Endpoint{}
	d.byAddress = map[string]*Endpoint{}
	for _, name := range value.SortedKeys(d.byName) {
		e := d.byName[name]
		d.byService[e.Service] = append(d.byService[e.Service], e)
		d.byAddress[e.Address] = e
	}
}

// Lookup returns the named endpoint, or nil.
func (d *Directory) Lookup(name ident.Endpoint) *Endpoint { return d.byName[name] }

// ByAddress returns the endpoint at an address, or nil.
func (d *Directory) ByAddress(address string) *Endpoint { return d.byAddress[address] }

// ByService returns all endpoints of a service, sorted by name.
func (d *Directory) ByService(s ident.Service) []*Endpoint { return d.byService[s] }

// Outside returns the endpoints of a service in data centres that are not permitted.
func (d *Directory) Outside(s ident.Service, permits func(ident.DataCentre) bool) value.Set[ident.Endpoint] {
	outside := value.NewSet[ident.Endpoint]()
	for _, e := range d.byService[s] {
		if !permits(e.DataCentre) {
			outside.Add(e.Name)
		}
	}
	return outside
}

// InDataCentre returns the endpoints of all services in a data centre.
func (d *Directory) InDataCentre(dataCentre ident.DataCentre) []*Endpoint {
	var found []*Endpoint
	for _, e := range d.byName {
		if e.DataCentre == dataCentre {
			found = append(found, e)
		}
	}
	return found
}

// Count returns the number of known endpoints.
func (d *Directory) Count() int { return len(d.byName) }

// Candidates returns the endpoints of a service that may get new work: those that
// are not evacuated, leaving, excluded or ejected and want no rest. Endpoints that only other
// instances could not reach or have to leave alone, or that are in a partitioned
// data centre, are returned if there are no others.
func (d *Directory) Candidates(now time.Time, s ident.Service, excluded value.Set[ident.Endpoint]) []*Endpoint {
	return d.filterCandidates(now, d.byService[s], excluded)
}

// PoolCandidates returns the endpoints of a pool that may get new work, by the same
// rules as Candidates.
func (d *Directory) PoolCandidates(now time.Time, pool ident.Pool) []*Endpoint {
	return d.filterCandidates(now, d.poolMembers(pool), nil)
}

// poolMembers returns all endpoints of a pool.
func (d *Directory) poolMembers(pool ident.Pool) []*Endpoint {
	if pool.DataCentre == "" {
		return d.byService[pool.Service]
	}
	var members []*Endpoint
	for _, e := range d.byService[pool.Service] {
		if e.DataCentre == pool.DataCentre {
			members = append(members, e)
		}
	}
	return members
}

func (d *Directory) filterCandidates(now time.Time, all []*Endpoint, excluded value.Set[ident.Endpoint]) []*Endpoint {
	var usable, doubtful []*Endpoint
	for _, e := range all {
		switch {
		case d.Evacuated(e) || e.Withheld(now) || excluded.Has(e.Name) || now.Before(e.ejectedUntil):
		case now.Before(e.peerReportUntil) || now.Before(e.said.avoidUntil) || d.partitioned.Has(e.DataCentre):
			doubtful = append(doubtful, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return doubtful
	}
	return usable
}

// SetPartitioned sets the data centres that this instance can probably not
// reach.
func (d *Directory) SetPartitioned(dataCentres value.Set[ident.DataCentre]) {
	d.partitioned = dataCentres
}

// SetEvacuated sets the data centres whose endpoints get nothing.
func (d *Directory) SetEvacuated(dataCentres value.Set[ident.DataCentre]) { d.evacuated = dataCentres }

// Evacuated reports whether an endpoint is in an evacuated data centre.
func (d *Directory) Evacuated(e *Endpoint) bool { return d.evacuated.Has(e.DataCentre) }

// InPartition reports whether an endpoint is in a partitioned data centre.
func (d *Directory) InPartition(e *Endpoint) bool { return d.partitioned.Has(e.DataCentre) }

// Ejected reports whether the endpoint gets no work because this or another
// instance recently failed to reach it.
func (e *Endpoint) Ejected(now time.Time) bool {
	return now.Before(e.ejectedUntil) || now.Before(e.peerReportUntil)
}

// RecentlyUnreachable returns the endpoints that this or another instance failed to
// reach within the last peerReportTTL and that have not responded to this instance
// since, with the time since that failure. It returns nil if there are none.
func (d *Directory) RecentlyUnreachable(now time.Time) map[ident.Endpoint]time.Duration {
	var ages map[ident.Endpoint]time.Duration
	for name, e := range d.byName {
		at := e.unreachableAt
		if reported := e.peerReportUntil.Add(-peerReportTTL); reported.After(at) {
			at = reported
		}
		if age := now.Sub(at); age < peerReportTTL && at.After(e.lastResponseAt) {
			if ages == nil {
				ages = map[ident.Endpoint]time.Duration{}
			}
			ages[name] = age
		}
	}
	return ages
}

// MergeUnreachable merges another instance's report of the endpoints that it could
// not reach, with the time since each failure. A later response to this instance
// takes precedence. The report is ignored if it has a large share of all endpoints:
// then the other instance itself is probably partitioned from them.
func (d *Directory) MergeUnreachable(now time.Time, ages map[ident.Endpoint]time.Duration) {
	if float64(len(ages)) > maxPeerReportShare*float64(len(d.byName)) {
		return
	}
	for name, age := range ages {
		e := d.byName[name]
		if e == nil {
			continue
		}
		if at := now.Add(-age); at.After(e.lastResponseAt) {
			e.peerReportUntil = at.Add(peerReportTTL)
		}
	}
}

// MarkUnreachable records that the endpoint could not be reached or broke an
// exchange off, and ejects it. Failures during an ejection do not extend it.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.unreachableAt = now
	if now.Before(e.ejectedUntil) {
		return
	}
	e.ejectedUntil = now.Add(min(BaseEjectionTime<<min(e.consecutiveFailures, 8), maxEjectionTime))
	e.consecutiveFailures++
}

// Readmit ends an ejection whose cause was not the endpoint.
func (e *Endpoint) Readmit() {
	e.consecutiveFailures = 0
	e.ejectedUntil, e.unreachableAt = time.Time{}, time.Time{}
}

// RespondedSince reports whether the endpoint has responded to this instance after a time.
func (e *Endpoint) RespondedSince(at time.Time) bool { return e.lastResponseAt.After(at) }

// MarkReplaced records that another process answers at the endpoint's address, which
// means that the endpoint is gone, and ejects the endpoint.
func (e *Endpoint) MarkReplaced(now time.Time) {
	e.unreachableAt = now
	e.ejectedUntil = now.Add(replacedEjectionTime)
}

// RecordResponse records a response, whether the endpoint reports an error of its own
// in it, the time that it took, and the load report that came with it. It ends any
// ejection.
func (e *Endpoint) RecordResponse(now time.Time, errorResponse bool, took time.Duration, load Load) {
	e.consecutiveFailures = 0
	e.lastResponseAt = now
	e.ejectedUntil, e.peerReportUntil = time.Time{}, time.Time{}
	sample := 0.0
	if errorResponse {
		sample = 1
	}
	e.FailureShare += sampleWeight * (sample - e.FailureShare)
	millis := float64(took) / float64(time.Millisecond)
	if e.LatencyMillis == 0 {
		e.LatencyMillis = millis
	}
	e.LatencyMillis += sampleWeight * (millis - e.LatencyMillis)
	if load != (Load{}) {
		e.load, e.loadReportedAt = load, now
	}
	if load.WorkPercent > 0 {
		e.ReportsWork = true
		millis = millis * usualWorkPercent / float64(load.WorkPercent)
	}
	if e.UsualLatencyMillis == 0 {
		e.UsualLatencyMillis = millis
	}
	e.UsualLatencyMillis += sampleWeight * (millis - e.UsualLatencyMillis)
}

const (
	// usualWorkPercent is the work figure of an endpoint where work takes the usual time.
	usualWorkPercent = 100
	// workTTL is the age from which on a work figure is ignored: it changes many times a
	// second.
	workTTL = 500 * time.Millisecond
)

// MergeWork merges a work figure that another instance has seen. The newest figure counts.
func (e *Endpoint) MergeWork(at time.Time, percent int) {
	if percent > 0 && at.After(e.loadReportedAt) && at.After(e.workToldAt) {
		e.workTold, e.workToldAt = percent, at
	}
}

// WorkFactor returns how much longer than usual work takes at the endpoint, by its latest load
// report here or at another instance. It returns false if that has no such figure or is too old.
func (e *Endpoint) WorkFactor(now time.Time) (float64, bool) {
	percent, at := e.load.WorkPercent, e.loadReportedAt
	if e.workToldAt.After(at) {
		percent, at = e.workTold, e.workToldAt
	}
	if percent <= 0 || now.Sub(at) >= workTTL {
		return 1, false
	}
	return float64(percent) / usualWorkPercent, true
}

// loadReportTTL is the age from which on an endpoint's load report is ignored.
const loadReportTTL = time.Second

// EstimatedInFlight estimates the number of requests at the endpoint: the sum over
// all instances or the endpoint's own recent report, whichever is larger.
func (e *Endpoint) EstimatedInFlight(now time.Time) int {
	inFlight := e.OwnRequests + e.PeerRequests
	if !e.loadReportedAt.IsZero() && now.Sub(e.loadReportedAt) < loadReportTTL {
		inFlight = max(inFlight, e.load.Running+e.load.Waiting)
	}
	return inFlight
}

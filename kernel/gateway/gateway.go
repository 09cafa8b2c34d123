// Package gateway is the kernel of an entry instance on a users' platform:
// which requests are taken on, in which order their stages are made, where
// they are sent, what a failure proves and what the caller is told. It has no
// socket, goroutine or clock. Events come in through its methods, which its
// owner serializes; effects go out through the functions in Output; time
// comes from the timer service.
package gateway

import (
	"math/rand/v2"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// RequestHandle names a caller's request within this instance.
type RequestHandle uint64

// Output are the gateway's effects.
type Output struct {
	// NextStep tells the edge what to do next with a request.
	NextStep func(RequestHandle, Step)
	// CancelAttempt ends the exchange that a request has with an endpoint.
	CancelAttempt func(RequestHandle)
	// SendToPeer sends a message to an instance. Delivery is best effort.
	SendToPeer func(to membership.Address, m message.Envelope)
	// LogEvent is one log line.
	LogEvent func(name string, fields ...any)
	// StartCall, Free and Inspect call stage endpoints.
	StartCall       func(batching.Call)
	FreeResults     func(address string, handles []message.ResultHandle)
	InspectEndpoint func(ident.Endpoint, string)
}

// DecodedRecord is what a record of the platform says.
type DecodedRecord struct {
	// Catalog is set for a configuration, Listing for an endpoint.
	Catalog *published.Catalog
	Listing *endpoints.Listing
	// Endpoint names the entry of an endpoint, also when it is removed.
	Endpoint ident.Endpoint
}

// RetryLimits are the deployment's figures that decisions depend on.
type RetryLimits struct {
	// Ratio and RetrySlack make up the retry budget of the fleet: in
	// each RetryWindow a service may get RetryRatio times its requests plus
	// RetrySlack arrivals beyond the first of each request.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Config sets up a Gateway.
type Config struct {
	Self   membership.Member
	Seeds  []string
	Retry  RetryLimits
	Random *rand.Rand
	Timers *timer.Service
	// DecodeRecord reads a record of the platform. An error names a record that
	// cannot be used; it changes nothing.
	DecodeRecord func(replica.Record) (DecodedRecord, error)
	Output       Output
}

const (
	// tickPeriod is how often queues and outstanding pieces are looked over.
	tickPeriod = 100 * time.Millisecond
	// maxRecordsPerMessage bounds the records in one message to another instance.
	maxRecordsPerMessage = 200
)

// Gateway decides for one entry instance.
type Gateway struct {
	config      Config
	timers      *timer.Service
	random      *rand.Rand
	out         Output
	records     *replica.Store
	catalog     *published.Catalog
	directory   *endpoints.Book
	members     *membership.Table
	batcher     *batching.Batcher
	retryBudget *retryBudget
	crashes     *crashTracker

	requests map[RequestHandle]*request
	// longestTimeout is the longest that callers of a route have shown.
	longestTimeout    map[published.RouteName]time.Duration
	requestsByID      map[ident.RequestID]*request
	shuttingDown      bool
	shutdownStartedAt time.Time
	// peerRequests holds the counts of running requests by member, and fleet the
	// totals that a core member of a large fleet told.
	peerRequests    map[ident.Instance]map[ident.Endpoint]int
	fleetRequests   map[ident.Endpoint]int
	fleetRequestsAt time.Time
	// reportedAlive is the number of living instances by a core member's word.
	reportedAlive   int
	reportedAliveAt time.Time
	// cachedPong is the latest answer to a ping.
	cachedPong   *message.Ping
	cachedPongAt time.Time
	// batcherCache caches who batches for a service until the next tick, or until
	// what it follows from changes.
	batcherCache map[ident.Service]ident.Instance
	// laggingPeers tells since when members have lacked records.
	laggingPeers map[ident.Instance]peerLag
	// batchingSince are the services that this instance batches for, and words what
	// other members said of theirs.
	batchingSince   map[ident.Service]time.Time
	batcherStatuses map[ident.Instance]map[ident.Service]batcherStatus
	startedAt       time.Time
	// platformContacts tells when each instance last heard from the platform.
	platformContacts map[ident.Instance]platformContact
	// unconfirmedUntil is until when removals that this instance read are doubtful.
	unconfirmedUntil time.Time
	counters         Counters
}

// Counters are the gateway's totals.
type Counters struct {
	Arrived, Relayed, Retried, Resumed, CallersLeft, TimedOut, Refused, MayHaveRun int
	PiecesResubmitted, PiecesMoved, InputsRemade, RecordsRejected                  int
}

// NewGateway returns a gateway that knows no configuration yet.
func NewGateway(c Config) *Gateway {
	g := &Gateway{
		config:           c,
		timers:           c.Timers,
		random:           c.Random,
		out:              c.Output,
		records:          replica.NewStore(),
		directory:        endpoints.NewBook(),
		members:          membership.NewTable(membership.Config{Self: c.Self, Seeds: c.Seeds}),
		requests:         map[RequestHandle]*request{},
		longestTimeout:   map[published.RouteName]time.Duration{},
		requestsByID:     map[ident.RequestID]*request{},
		peerRequests:     map[ident.Instance]map[ident.Endpoint]int{},
		batchingSince:    map[ident.Service]time.Time{},
		batcherStatuses:  map[ident.Instance]map[ident.Service]batcherStatus{},
		startedAt:        c.Timers.Now(),
		platformContacts: map[ident.Instance]platformContact{},
		batcherCache:     map[ident.Service]ident.Instance{},
		laggingPeers:     map[ident.Instance]peerLag{},
	}
	g.retryBudget = newRetryBudget(c.Retry)
	g.crashes = newCrashTracker()
	g.batcher = batching.NewBatcher(batching.Config{
		Timers:  c.Timers,
		Book:    g.directory,
		Batches: g.batchesOf,
		Backlog: g.queueWait,
		Output: batching.Output{
			Run:     c.Output.StartCall,
			Free:    c.Output.FreeResults,
			Inspect: c.Output.InspectEndpoint,
			Results: func(to ident.Instance, r message.StageResults) {
				g.sendToMember(to, message.Envelope{StageResults: &r})
			},
			Taken: func(to ident.Instance, t message.StageTaken) {
				g.sendToMember(to, message.Envelope{StageTaken: &t})
			},
			Event: c.Output.LogEvent,
		},
	})
	g.timers.After(0, g.pingTargets)
	g.timers.Every(membership.PingPeriod, g.pingTargets)
	g.timers.Every(tickPeriod, g.tick)
	return g
}

func (g *Gateway) now() time.Time { return g.timers.Now() }

// Ready reports whether the instance should get new connections.
func (g *Gateway) Ready() bool {
	return g.catalog != nil && g.directory.Count() > 0 && !g.shuttingDown
}

// Catalog returns the configuration in force, or nil.
func (g *Gateway) Catalog() *published.Catalog { return g.catalog }

// Counters returns the totals.
func (g *Gateway) Counters() Counters { return g.counters }

// BatchStats returns the totals of the batcher.
func (g *Gateway) BatchStats() batching.Stats { return g.batcher.Stats() }

// InFlight returns the number of requests that have no answer yet.
func (g *Gateway) InFlight() int { return len(g.requests) }

// AliveCount returns the number of instances within reach of this one or, in a
// large fleet, of a core member, the own one included.
func (g *Gateway) AliveCount() int {
	living := len(g.members.Living(g.now()))
	if g.now().Sub(g.reportedAliveAt) <= fleetReportTTL {
		living = max(living, g.reportedAlive)
	}
	return living
}

// AsOf returns the platform's revision up to which all records are known.
func (g *Gateway) AsOf() replica.Revision { return g.records.AsOf() }

// BeginShutdown begins a planned stop: the instance is not ready any more, and others
// take over what it batches for.
func (g *Gateway) BeginShutdown() {
	g.shuttingDown = true
	g.shutdownStartedAt = g.now()
	g.members.Leave()
	clear(g.batcherCache)
	g.cachedPong = nil
	g.pingAll()
	g.updateBatchingClaims(g.now())
}

// RefuseUnsent ends a planned stop's requests that have not been sent to an
// endpoint: there is no time left for them here, but elsewhere.
func (g *Gateway) RefuseUnsent() {
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		if r.mayHaveRun || r.firstEventSent || r.attempt != nil && r.attempt.written {
			continue
		}
		g.answer(r, NotRun, shutdownRetryAfter, "the instance is stopping")
		g.out.CancelAttempt(h)
	}
}

// Reload takes settings over that changed while the process runs.
func (g *Gateway) Reload(seeds []string, b RetryLimits) {
	g.members.SetSeeds(seeds)
	g.config.Retry = b
	g.retryBudget.limits = b
}

// Batcher gives the edge access to the batcher's events.
func (g *Gateway) Batcher() *batching.Batcher { return g.batcher }

func (g *Gateway) tick() {
	now := g.now()
	for _, name := range g.directory.Sweep(now) {
		g.out.LogEvent("endpointLapsed", "endpoint", name)
	}
	if g.catalog == nil {
		return
	}
	clear(g.batcherCache)
	g.updatePeerRequests(now)
	for _, s := range value.SortedKeys(g.catalog.Services) {
		if g.batcher.Waiting(s) > 0 {
			g.batcher.Dispatch(s)
		}
	}
	g.updateBatchingClaims(now)
	g.resubmitLostPieces(now)
	g.crashes.expireBrokenExchanges(now)
}

// HandlePlatformUnavailable takes in that the platform cannot be read.
func (g *Gateway) HandlePlatformUnavailable() { g.directory.PlatformLost() }

// HandlePlatformAvailable takes in that the platform can be read again.
func (g *Gateway) HandlePlatformAvailable() { g.directory.PlatformBack(g.now()) }

// applyRecords puts records that are news in force. Removals are doubtful around an
// outage of the platform that the reader of the records went through.
func (g *Gateway) applyRecords(news []replica.Record, source string, doubtful bool) {
	changed := value.NewSet[ident.Service]()
	for _, r := range news {
		c, err := g.config.DecodeRecord(r)
		if err != nil {
			g.counters.RecordsRejected++
			g.out.LogEvent("recordRejected", "record", r.Key, "revision", r.Revision, "reason", err)
			if c.Endpoint != "" {
				g.directory.Drop(g.now(), c.Endpoint, false)
			}
			continue
		}
		switch {
		case c.Catalog != nil:
			g.applyCatalog(c.Catalog, r.Revision, source)
		case c.Listing != nil:
			old := g.directory.Lookup(c.Listing.Name)
			fresh := g.directory.List(*c.Listing)
			if fresh && old != nil {
				g.crashes.recordEndpointGone(g.now(), old.Name, old.Service)
			}
			changed.Add(c.Listing.Service)
			if fresh || c.Listing.Leaving {
				g.out.LogEvent("endpointListed", "endpoint", c.Listing.Name, "service", c.Listing.Service, "leaving", c.Listing.Leaving, "revision", r.Revision, "source", source)
			}
		case c.Endpoint != "" && r.Removed:
			if e := g.directory.Lookup(c.Endpoint); e != nil {
				g.crashes.recordEndpointGone(g.now(), e.Name, e.Service)
				g.out.LogEvent("endpointRemoved", "endpoint", c.Endpoint, "revision", r.Revision, "source", source)
			}
			g.directory.Drop(g.now(), c.Endpoint, doubtful)
		}
	}
	for _, s := range changed.Sorted() {
		g.batcher.Dispatch(s)
	}
}

func (g *Gateway) applyCatalog(c *published.Catalog, revision replica.Revision, source string) {
	if g.catalog != nil && c.Version <= g.catalog.Version {
		g.out.LogEvent("configurationIgnored", "version", c.Version, "inForce", g.catalog.Version)
		return
	}
	g.catalog = c
	g.out.LogEvent("configured", "version", c.Version, "revision", revision, "source", source, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
}

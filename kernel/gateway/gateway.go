// Package gateway makes the decisions of an entry instance on a users'
// platform: which requests it admits, in which order their stages run, which
// endpoint a request is sent to, whether a failed attempt is retried, and what
// the caller is told. It has no socket, goroutine or clock, so tests run it
// under virtual time. Events arrive through its methods, whose calls the owner
// serializes; effects leave through the functions in Output; Config.Timers is
// the only source of time.
package gateway

import (
	"math/rand/v2"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/departures"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/eras"
	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/published"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/retrybudget"
	"anvilcross/kernel/stagepools"
	"anvilcross/kernel/survey"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
	"anvilcross/kernel/warmup"
)

// RequestHandle identifies a caller's request within this instance. Request ids
// come from callers and need not be unique.
type RequestHandle uint64

// Output holds the functions through which the gateway acts. None of them may
// call back into the gateway.
type Output struct {
	// NextStep tells the entry server, which serves the callers' connections, what
	// to do next with a request.
	NextStep func(RequestHandle, Step)
	// CancelAttempt aborts the request's current exchange with an endpoint.
	CancelAttempt func(RequestHandle)
	// SendToPeer sends a message to another instance. Delivery is best effort.
	SendToPeer func(to membership.PeerAddress, m message.Envelope)
	// LogEvent writes one log line; fields alternates keys and values.
	LogEvent func(name string, fields ...any)
	// RecordEstimate records the estimated and the actual time to a first event; it may be nil.
	RecordEstimate func(s ident.Service, expected, took time.Duration)
	// StartCall starts a call to a stage endpoint, FreeResults frees results at
	// the endpoint with the given address, and InspectEndpoint asks an endpoint,
	// given with its address, for its free result capacity.
	StartCall       func(batching.Call)
	FreeResults     func(address string, handles []message.ResultHandle)
	InspectEndpoint func(ident.Endpoint, string)
	// CheckEndpoint connects to the endpoint with the given address and closes the
	// connection. HandleEndpointChecked is always called with the result.
	CheckEndpoint func(ident.Endpoint, string)
	// ListPrompts asks a model endpoint, given with its address, which prompt parts it
	// holds. Its answer comes through HandlePrompts.
	ListPrompts func(ident.Endpoint, string)
	// ReadHistory reads the platform's history up to a revision. HandleHistory is called with it.
	ReadHistory func(upTo replica.Revision)
	// QueryHealth asks the process of an endpoint, given with its address and the path of
	// its health checks, whether it is cold. An answer comes through HandleNotice.
	QueryHealth func(p ident.EndpointProcess, address, path string)
}

// DecodedRecord is the content of one record of the platform. All fields are
// empty for a record of a kind that the gateway does not use.
type DecodedRecord struct {
	// Catalog is set for a configuration, Listing for an endpoint that exists.
	Catalog *published.Catalog
	Listing *endpoints.Listing
	// Endpoint is set for every endpoint record, including removals and records
	// that cannot be decoded.
	Endpoint ident.Endpoint
	// Evacuated is set for the record of a data centre's evacuation, including removals.
	Evacuated ident.DataCentre
}

// RetryLimits sets the retry budget of the whole fleet.
type RetryLimits = retrybudget.Limits

// Config sets up a Gateway.
type Config struct {
	Self  membership.Member
	Seeds []string
	Retry RetryLimits
	// Regions holds the region of each data centre.
	Regions evacuation.Regions
	// Admission sets where requests with stages are admitted.
	Admission AdmissionPolicy
	Random    *rand.Rand
	Timers    *timer.Scheduler
	// DecodeRecord decodes a record of the platform. A record that it rejects
	// with an error is logged and ignored, except that the endpoint it names is
	// dropped.
	DecodeRecord func(replica.Record) (DecodedRecord, error)
	// HistorySpan is the time for which the platform keeps the history of its records.
	HistorySpan time.Duration
	// Placement says where endpoints are chosen by estimate; empty for placement.Auto.
	Placement placement.Mode
	// StopLimit is the time from BeginShutdown until EndUnfinished; zero for no limit.
	StopLimit time.Duration
	Output    Output
}

const (
	// tickPeriod is the interval of the periodic checks: unconfirmed removals of
	// endpoints, queues, batching claims and outstanding pieces.
	tickPeriod = 100 * time.Millisecond
	// maxRecordsPerMessage limits the records in one message to another
	// instance.
	maxRecordsPerMessage = 200
)

// Gateway makes the decisions of one entry instance. Its methods must not be
// called concurrently.
type Gateway struct {
	config    Config
	timers    *timer.Scheduler
	random    *rand.Rand
	out       Output
	records   *replica.Store
	eras      *eras.Tracker
	catalog   *published.Catalog
	directory *endpoints.Directory
	members   *membership.Table
	batcher   *batching.Batcher
	placement *placement.Table
	// unevenEngines is set if endpoints of a route with prompts report how long work takes.
	unevenEngines bool
	retryBudget   *retrybudget.Budget
	crashes       *crashTracker

	// limits holds the rate limits that endpoints name, warmup those of cold ones. lender leases this instance's share of
	// them to an issuer, and issuer issues the permits of the shares leased to this one.
	limits    *ratelimit.Table
	warmup    *warmup.Table
	lender    *ratelimit.Lender
	issuer    *ratelimit.Issuer
	permits   *permitClient
	fleetSize membership.ReportedSize
	throttle  *ratelimit.Throttle

	// origins holds which software versions began the streams that this instance keeps,
	// and lookups those that it asks for. survey asks endpoints for the prompts they hold, and
	// departures holds the endpoint processes that have left. firstAsOf is the revision of the
	// first list.
	origins    *origin.Table
	lookups    *originLookups
	survey     *survey.Survey
	departures *departures.Table
	firstAsOf  replica.Revision

	requests map[RequestHandle]*request
	// longestTimeout is the longest timeout that a caller of each route has
	// sent.
	longestTimeout    map[published.RouteName]time.Duration
	requestsByID      map[ident.RequestID]*request
	shuttingDown      bool
	shutdownStartedAt time.Time
	// peerRequests counts the requests that each other instance has running at
	// each endpoint. fleetRequests holds the totals of the whole fleet, as a
	// core member of a large fleet last reported them.
	peerRequests    map[ident.Instance]map[ident.Endpoint]int
	fleetRequests   map[ident.Endpoint]int
	fleetRequestsAt time.Time
	// reportedAlive is the number of alive instances that a core member of a
	// large fleet last reported.
	reportedAlive   int
	reportedAliveAt time.Time
	// pingRounds counts the rounds of pings.
	pingRounds int
	// cachedPong is the latest answer to a ping; it is reused for pongCacheTTL.
	cachedPong   *message.Ping
	cachedPongAt time.Time
	// batcherCache holds the instance that batches for a pool. It is cleared
	// on each tick and when one of its inputs changes.
	batcherCache map[ident.Pool]ident.Instance
	// redirects holds the batchers that other instances named for pools.
	redirects map[ident.Pool]redirect
	// partitioned holds the data centres that this instance can probably not
	// reach.
	partitioned value.Set[ident.DataCentre]
	// poolCache holds the division into pools; nil when it has to be computed.
	poolCache *stagepools.Map
	// evacuations holds the evacuated data centres. evacuationsChanged is set while a change
	// of them has not been applied.
	evacuations        *evacuation.Table
	evacuationsChanged bool
	// firstRecordsAt is when this instance first got the record of an endpoint.
	firstRecordsAt time.Time
	// recordsOfferedAt is when a member first reported that it has records, while
	// this instance has none.
	recordsOfferedAt time.Time
	// recordsReceivedAt is when a member last sent records that this instance lacked.
	recordsReceivedAt time.Time
	// behindSince is when this instance first heard of records that it lacks, behindRevision the
	// revision that it heard of; the time is zero while it has all that it has heard of.
	behindSince    time.Time
	behindRevision replica.Revision
	// askingIn holds the data centres of which a member will be asked for records that
	// this instance lacks.
	askingIn value.Set[ident.DataCentre]
	// isStandby is set if this instance is the standby reader of its data centre.
	isStandby bool
	// laggingPeers holds the members that lack records this instance has.
	laggingPeers map[ident.Instance]peerLag
	// batchingSince holds the pools that this instance batches for, and
	// batcherStatuses what other members last reported of theirs.
	batchingSince   map[ident.Pool]time.Time
	batcherStatuses map[ident.Instance]map[ident.Pool]receivedStatus
	startedAt       time.Time
	// platformContacts holds when each instance last read from the platform.
	platformContacts map[ident.Instance]platformContact
	// outageUntil is the time until which removals that this instance reads are
	// unconfirmed: an outage of the platform may have caused them.
	outageUntil time.Time
	// loggedReading is the cause of reading the platform that was last logged.
	loggedReading readingCause
	// paths holds the services to which this instance has no path, and pathReports what
	// others report of theirs. forwardsTo counts the requests in progress that are
	// forwarded to each member, forwardedIn those that others have forwarded to this one.
	paths       *paths.Table
	pathReports map[ident.Instance]pathReport
	// reportedPathMembers holds members that have no lost path, as a core member of a large
	// fleet last reported them.
	reportedPathMembers value.Set[ident.Instance]
	pathMembersAt       time.Time
	forwardsTo          map[ident.Instance]int
	forwardedIn         int
	counters            Counters
}

// Counters holds the gateway's totals since the process started. Each is
// reported as a metric. Recomputes counts how often a request had lost
// results to compute again.
type Counters struct {
	Arrived, Relayed, Retried, Resumed, CallersLeft, TimedOut, Refused, MayHaveRun int
	PiecesResubmitted, PiecesMoved, PiecesRedirected, Recomputes, RecordsRejected  int
	MessagesRejected                                                               int
	// PermitsIssued and PermitsDenied count this instance's decisions as the issuer,
	// PermitsTimedOut the requests for permits without a reply.
	PermitsIssued, PermitsDenied, PermitsTimedOut int
	// ColdPermitsIssued and ColdPermitsDenied count its decisions for cold endpoints, and
	// HealthQueries the questions to endpoints whether they are cold.
	ColdPermitsIssued, ColdPermitsDenied, HealthQueries int
	// AttemptsWithheld counts the attempts of which no byte was written because their
	// endpoint had come to want no requests.
	AttemptsWithheld int
	// PathsLost counts the losses of the path to a service, Forwarded the attempts to have
	// another instance serve a request.
	PathsLost, Forwarded int
}

// NewGateway returns a gateway without a configuration and starts its timers.
func NewGateway(c Config) *Gateway {
	g := &Gateway{
		config:           c,
		timers:           c.Timers,
		random:           c.Random,
		out:              c.Output,
		records:          replica.NewStore(),
		eras:             eras.NewTracker(),
		directory:        endpoints.NewDirectory(),
		members:          membership.NewTable(membership.Config{Self: c.Self, Seeds: c.Seeds}),
		requests:         map[RequestHandle]*request{},
		longestTimeout:   map[published.RouteName]time.Duration{},
		requestsByID:     map[ident.RequestID]*request{},
		peerRequests:     map[ident.Instance]map[ident.Endpoint]int{},
		batchingSince:    map[ident.Pool]time.Time{},
		batcherStatuses:  map[ident.Instance]map[ident.Pool]receivedStatus{},
		startedAt:        c.Timers.Now(),
		platformContacts: map[ident.Instance]platformContact{},
		batcherCache:     map[ident.Pool]ident.Instance{},
		laggingPeers:     map[ident.Instance]peerLag{},
		askingIn:         value.NewSet[ident.DataCentre](),
		redirects:        map[ident.Pool]redirect{},
		loggedReading:    noReading,
		partitioned:      value.NewSet[ident.DataCentre](),
		evacuations:      evacuation.NewTable(),
		paths:            paths.NewTable(),
		pathReports:      map[ident.Instance]pathReport{},
		forwardsTo:       map[ident.Instance]int{},
	}
	askPlacer := func(to ident.Instance, r placement.Request) {
		g.sendToMember(to, message.Envelope{PlacementRequest: &r})
	}
	g.placement = placement.NewTable(placement.Config{Mode: c.Placement, Random: c.Random, Directory: g.directory, RecordOutcome: c.Output.RecordEstimate, Client: placement.ClientConfig{Timers: c.Timers, LogEvent: c.Output.LogEvent, Send: askPlacer}})
	g.limits = ratelimit.NewTable()
	g.warmup = warmup.NewTable(warmup.Config{Profile: g.coldProfile})
	g.lender = ratelimit.NewLender(g.startedAt)
	g.issuer = ratelimit.NewIssuer(ratelimit.IssuerConfig{Self: c.Self.Name, Incarnation: c.Self.Incarnation, StartedAt: g.startedAt})
	g.permits = g.newPermitClient()
	g.throttle = ratelimit.NewThrottle()
	g.origins = origin.NewTable(origin.TableConfig{Retention: originRetention, MaxStreams: maxOrigins})
	g.lookups = newOriginLookups()
	g.departures = departures.NewTable(departures.Config{Retention: departureRetention})
	g.directory.OnDeparted(func(l endpoints.Listing) { g.departures.Record(g.now(), departures.NewProcess(l)) })
	g.survey = g.newSurvey()
	g.retryBudget = retrybudget.NewBudget(c.Retry)
	g.crashes = newCrashTracker()
	g.batcher = batching.NewBatcher(batching.Config{
		Timers:       c.Timers,
		Directory:    g.directory,
		BatchProfile: func(s ident.Service) *published.BatchProfile { return g.catalog.BatchProfile(s) },
		QueueWait:    g.queueWait,
		MayCall:      g.mayCall,

		PipelineAdmission: g.pipelineAdmission,
		CallTimeRatio:     g.callTimeRatio,

		Output: batching.Output{
			StartCall:       g.startCall,
			FreeResults:     g.freeResults,
			InspectEndpoint: g.inspectEndpoint,
			SendResults: func(to ident.Instance, r message.StageResults) {
				g.sendToMember(to, message.Envelope{StageResults: &r})
			},
			SendInputsFetched: func(to ident.Instance, f message.StageInputsFetched) {
				g.sendToMember(to, message.Envelope{StageInputsFetched: &f})
			},
			SuspectEndpoint: g.suspectPath,
			LogEvent:        c.Output.LogEvent,
		},
	})
	g.timers.After(0, g.pingTargets)
	g.timers.Every(membership.BasePingPeriod, g.pingTargets)
	g.timers.Every(tickPeriod, g.tick)
	g.timers.Every(pathProbePeriod, g.probePaths)
	return g
}

func (g *Gateway) now() time.Time { return g.timers.Now() }

// Ready reports whether the instance should receive new connections.
func (g *Gateway) Ready() bool {
	return g.catalog != nil && g.directory.Count() > 0 && !g.shuttingDown
}

// Catalog returns the configuration in force, or nil.
func (g *Gateway) Catalog() *published.Catalog { return g.catalog }

// Counters returns the totals.
func (g *Gateway) Counters() Counters { return g.counters }

// Placement returns what is known for placing requests.
func (g *Gateway) Placement() *placement.Table { return g.placement }

// BatchStats returns the totals of the batcher.
func (g *Gateway) BatchStats() batching.Stats { return g.batcher.Stats() }

// InFlight returns the number of requests that are not finished.
func (g *Gateway) InFlight() int { return len(g.requests) }

// AliveCount returns the number of alive instances, including this one. In a
// large fleet it is the larger of the own count and the one that a core member
// last reported.
func (g *Gateway) AliveCount() int {
	alive := len(g.members.AliveMembers(g.now()))
	if g.now().Sub(g.reportedAliveAt) <= fleetReportTTL {
		alive = max(alive, g.reportedAlive)
	}
	return alive
}

// AsOf returns the platform's revision up to which this instance has all
// records.
func (g *Gateway) AsOf() replica.Revision { return g.records.AsOf() }

// RecordCount returns the number of the platform's records that this instance has.
// It is the same at all instances that have them up to the same revision.
func (g *Gateway) RecordCount() int { return g.records.Count() }

// Reload applies settings that may change while the process runs.
func (g *Gateway) Reload(seeds []string, limits RetryLimits, mode placement.Mode) {
	g.placement.SetMode(mode)
	g.members.SetSeeds(seeds)
	g.config.Retry = limits
	g.retryBudget.SetLimits(limits)
}

// SetRegions sets the region of each data centre.
func (g *Gateway) SetRegions(regions evacuation.Regions) { g.config.Regions = regions }

// Batcher returns the batcher, to which the owner reports the outcomes of stage
// calls.
func (g *Gateway) Batcher() *batching.Batcher { return g.batcher }

// tick runs the periodic checks.
func (g *Gateway) tick() {
	now := g.now()
	reading := g.readingCause(now)
	g.logReading(now, reading)
	if reading == noReading {
		g.endForeignOutage()
	}
	g.settleRemovals(now)
	g.settleListings(now)
	g.updateWarmup(now)
	g.updateLimits(now)
	g.directory.ExpireStatements(now)
	g.placement.Expire(now, g.members.PingPeriod())
	g.origins.Expire(now)
	g.survey.Expire(now)
	g.departures.Expire(now)
	if g.catalog == nil {
		return
	}
	g.poolCache = nil
	clear(g.batcherCache)
	g.updateUnevenEngines()
	g.updatePartitions(now)
	g.paths.Forget(func(s ident.Service) bool { return g.catalog.Services[s] != nil })
	g.updatePeerRequests(now)
	g.batcher.DispatchAll()
	g.batcher.ForgetUnlisted()
	g.updateBatchingClaims(now)
	g.returnEvacuatedPieces()
	g.resubmitLostPieces(now)
	g.recordWhole(g.crashes.expireBrokenExchanges(now))
	g.updateQuarantine(now)
	g.refuseLate()
}

// HandlePlatformUnavailable handles the start of a platform outage: the
// platform does not answer this instance.
func (g *Gateway) HandlePlatformUnavailable() { g.directory.MarkPlatformUnavailable() }

// HandlePlatformAvailable handles the end of a platform outage.
func (g *Gateway) HandlePlatformAvailable() { g.directory.MarkPlatformAvailable() }

// applyRecords applies records that are new to this instance. If unconfirmedFor
// is above zero, the reader of the records has gone through a platform outage, and
// for that time a removal may only be an entry that expired because its endpoint
// could not renew it.
func (g *Gateway) applyRecords(updates []replica.Record, source string, unconfirmedFor time.Duration) {
	changedServices := value.NewSet[ident.Service]()
	for _, r := range updates {
		decoded, err := g.config.DecodeRecord(r)
		if err != nil {
			g.counters.RecordsRejected++
			g.out.LogEvent("recordRejected", "record", r.Key, "revision", r.Revision, "reason", err)
			if decoded.Endpoint != "" {
				g.directory.Remove(g.now(), decoded.Endpoint, 0)
			}
			continue
		}
		switch {
		case decoded.Catalog != nil:
			g.applyConfiguration(decoded.Catalog, r, source)
		case decoded.Listing != nil:
			if g.applyListing(*decoded.Listing, r.Revision, source) {
				changedServices.Add(decoded.Listing.Service)
			}
		case decoded.Evacuated != "":
			g.recordEvacuation(decoded.Evacuated, r, source, unconfirmedFor)
		case decoded.Endpoint != "" && r.Removed:
			g.applyRemoval(decoded.Endpoint, r.Revision, source, unconfirmedFor)
		}
	}
	if asOf := g.records.AsOf(); asOf > 0 && !g.departures.Begun() {
		g.departures.Begin(g.now())
		g.firstAsOf = asOf
	}
	g.poolCache = nil
	g.applyEvacuations()
	for _, s := range changedServices.Sorted() {
		g.batcher.DispatchService(s)
	}
}

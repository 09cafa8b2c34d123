package gateway

import (
	"time"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/progress"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// PromptPart is a part of a prompt, in order from its start. Requests whose
// prompts begin alike share the ids of their first parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerRequest is a caller's request, received completely.
type CallerRequest struct {
	ID   ident.RequestID
	Host string
	Path string
	// Key is the caller's API key; it may be empty.
	Key string
	// Timeout is how long the caller waits for the answer, or zero if it did
	// not say.
	Timeout time.Duration
	// PieceCounts holds the number of pieces of each stage of the route.
	PieceCounts []int
	// PieceKey is the input of the stages that depend on no other stage.
	PieceKey string
	Prompt   []PromptPart
	// PromptTokens and OutputTokens are the length of the prompt and the expected one of the
	// answer; zero if the caller did not say.
	PromptTokens, OutputTokens int
	// LastEventID is set if the request takes up a stream that broke off after that event,
	// and Resumes is the id of the request that brought its first event.
	LastEventID string
	Resumes     ident.RequestID
	// Forwarded is set if another instance has forwarded the request.
	Forwarded *Forwarding
	// Digest is a hash of the target, the caller's key and the body. It
	// identifies a request that is sent again under a new id.
	Digest ident.Digest
}

// AttemptID numbers the attempts of a request, from 1. A report on an attempt
// that is no longer the current one is ignored.
type AttemptID int

// attempt is one sending of a request to an endpoint.
type attempt struct {
	id       AttemptID
	endpoint ident.Endpoint
	// member is the instance to which the request is forwarded; endpoint is empty then.
	member ident.Instance
	// dataCentre is that of the endpoint.
	dataCentre ident.DataCentre
	address    string
	// version is that of the endpoint's software.
	version   ident.SoftwareVersion
	startedAt time.Time
	// permitted is set if the endpoint had a rate limit and a permit was issued.
	permitted bool
	// firstEventAt is when the first event of its stream was relayed; zero before.
	// lastEventAt is when a later one was last reported.
	firstEventAt, lastEventAt time.Time
	// written is set once the first byte may have reached the endpoint, withheld if none
	// was written because the endpoint had come to want no requests.
	written  bool
	withheld bool
	// responseStarted is set once the head of a usable response has arrived, and workPercent
	// is the work figure in it.
	responseStarted bool
	workPercent     int
	// choice is the choice of the endpoint; empty if that was not by estimate.
	choice placement.Choice
	// timeoutTimer ends the attempt if no response starts in time; nil if the
	// request may not be sent to another endpoint.
	timeoutTimer *timer.Timer
}

// request is the state of a caller's request until it is finished.
type request struct {
	handle    RequestHandle
	incoming  CallerRequest
	route     *published.Route
	service   ident.Service
	workspace *published.Workspace
	// bound restricts the regions of the request's endpoints.
	bound     evacuation.Bound
	arrivedAt time.Time
	// deadline is when the request times out: after the caller's timeout, but at
	// most the route's. The request is ended timeoutMargin earlier.
	deadline time.Time
	// dueAt is the time after which the request misses its latency objective.
	// abandonAt is the time at which the caller gives up if it has received
	// nothing. The due time and the deadline of stage work are derived from them.
	dueAt        time.Time
	abandonAt    time.Time
	timeoutTimer *timer.Timer
	stages       progress.Stages
	attempt      *attempt
	attemptCount AttemptID
	// sends counts the attempts, except those that failed as NotSent or
	// InputsGone.
	sends int
	// declines counts the attempts that failed as Declined or Replaced,
	// unsentAttempts those that failed as NotSent.
	declines       int
	unsentAttempts int
	recomputes     int
	// brokenAttempts counts the attempts that failed as Broken.
	brokenAttempts int
	mayHaveRun     bool
	// firstEventSent is set once the caller has received the beginning of a
	// response: the first event of a stream, or a part of a large response.
	firstEventSent bool
	// partlyRelayed is set if that is a part of a response other than a stream, which no
	// other endpoint can go on with.
	partlyRelayed bool
	// timeToFirstEvent is the time from the request's arrival to the first
	// event of its stream.
	timeToFirstEvent time.Duration
	// lastEventID is the id of the last event that the caller has.
	lastEventID string
	// suspects is what may make endpoints crash that begin to run the request.
	suspects []ident.PromptPart
	// probes is the quarantined suspect in spite of which the request may run once; empty if
	// none is.
	probes   ident.PromptPart
	excluded value.Set[ident.Endpoint]
	// choice is the latest choice of an endpoint by estimate.
	choice placement.Choice
	// askedPlacer is set once the placer has been asked about the present attempt,
	// awaitsPlacement while the request waits for it, and placed is the endpoint that it named.
	askedPlacer, awaitsPlacement bool
	placed                       ident.EndpointProcess
	preferredDataCentre          ident.DataCentre
	finished                     bool
	// origin is the service and the software version that began the stream; its version
	// is empty if no event has been sent, or if the endpoint named none. awaitsOrigin is
	// set while the origin of a stream that is taken up is looked up.
	origin       origin.Origin
	awaitsOrigin bool
	// awaitsPermit is set while the request waits for a permit, and granted is the
	// process of an endpoint for which it has one.
	awaitsPermit bool
	granted      ident.EndpointProcess
	// awaitsPath is set while the request waits for the result of a check of the path to its
	// service.
	awaitsPath bool
	// triedMembers are the instances to which the request has been forwarded.
	// countedForwarded is set if it counts as a forwarded request in progress here.
	triedMembers     value.Set[ident.Instance]
	countedForwarded bool
}

const (
	// unconfiguredRetryAfter is the Retry-After of requests that arrive before
	// the configuration is known. Reading it takes about as long.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the Retry-After of requests that no endpoint can serve.
	// By then an ejected endpoint is tried again.
	busyRetryAfter = 700 * time.Millisecond
	// firstTryTimeoutShare is the smallest timeout that a caller's first
	// try is assumed to have, as a share of the longest timeout on its route:
	// the timeouts of first tries differ by up to a fifth.
	firstTryTimeoutShare = 0.8
	// defaultCallerTimeout applies to callers that send no timeout.
	defaultCallerTimeout = 60 * time.Second
	// timeoutMargin is how long before its timeout a request is ended, so that
	// the answer reaches the caller in time.
	timeoutMargin = 20 * time.Millisecond
)

// HandleRequest admits a request or answers it at once. The entry server chooses
// the handle, which must not have been used before.
func (g *Gateway) HandleRequest(h RequestHandle, incoming CallerRequest) {
	now := g.now()
	g.counters.Arrived++
	r := &request{handle: h, incoming: incoming, arrivedAt: now, suspects: newSuspects(incoming), excluded: value.NewSet[ident.Endpoint](), triedMembers: value.NewSet[ident.Instance]()}
	g.requests[r.handle] = r
	if !g.admit(r) {
		return
	}
	g.requestsByID[incoming.ID] = r
	timeout := incoming.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	timeout = min(timeout, r.route.Timeout)
	r.deadline = now.Add(timeout)
	r.abandonAt = now.Add(min(timeout, r.route.AbandonAfter()))
	if r.takesUp() {
		r.lastEventID = incoming.LastEventID
	}
	r.dueAt = now.Add(r.route.LatencyObjective - g.estimateWaited(r.route, incoming.Timeout))
	if r.takesUp() {
		// The objective was about the first event, which the caller has.
		r.dueAt = r.abandonAt
	}
	r.timeoutTimer = g.timers.After(timeout-timeoutMargin, func() { g.handleTimeout(r) })
	if g.refuseForwarded(r) || g.refuseStopping(r) {
		return
	}
	g.recordPartUse(r)
	g.out.LogEvent("arrived", "request", incoming.ID, "route", r.route.Name, "workspace", r.workspaceName(), "service", r.service, "version", g.catalog.Version, "patience", timeout, "pieces", incoming.PieceCounts, "prompt", loggedParts(sharedParts(incoming.Prompt)), "lastEvent", incoming.LastEventID, "resumes", incoming.Resumes, "forwardedBy", r.forwardedBy())
	if g.paths.Lost(r.service) && g.forward(r) {
		return
	}
	g.countArrival(now, r)
	g.setUpStages(r)
	if g.refuseEvacuated(r) {
		return
	}
	if len(r.stages.Services()) > 0 && g.pools().Divided && r.preferredDataCentre == "" {
		g.answer(r, NotRun, busyRetryAfter, noStageCentre)
		return
	}
	if g.limitsRefuse(r) {
		g.answer(r, NotRun, g.noEndpointRetryAfter(r), "all endpoints have rate limits without room")
		return
	}
	if g.restsRefuse(r) {
		g.answer(r, NotRun, g.noEndpointRetryAfter(r), "all endpoints want no requests")
		return
	}
	if need := g.minStageTime(r); need > r.abandonAt.Sub(now) {
		g.answer(r, NotRun, 0, "the stages take longer than the caller waits")
		return
	}
	if r.takesUp() {
		g.lookUpOrigin(r)
	}
	g.advance(r)
}

// countArrival counts a request, unless it has been sent to endpoints by another instance.
func (g *Gateway) countArrival(now time.Time, r *request) {
	if f := r.incoming.Forwarded; f != nil {
		r.sends = f.Sends
	}
	if r.sends == 0 {
		g.retryBudget.CountRequest(now, r.service)
	}
}

// forwardedBy returns the instance that has forwarded the request; empty if none has.
func (r *request) forwardedBy() ident.Instance {
	if r.incoming.Forwarded == nil {
		return ""
	}
	return r.incoming.Forwarded.By
}

// estimateWaited estimates how long the caller has already waited: one that
// sends a request again gives it a shorter timeout, so the difference to the
// longest timeout on the route is time spent on earlier tries.
func (g *Gateway) estimateWaited(r *published.Route, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	longest := max(g.longestTimeout[r.Name], timeout)
	g.longestTimeout[r.Name] = longest
	return max(time.Duration(firstTryTimeoutShare*float64(longest))-timeout, 0)
}

// workspaceName returns the name of the caller's workspace; empty if the route
// needs no key.
func (r *request) workspaceName() ident.Workspace {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// admit finds the request's route, workspace and service. It reports false if
// the request may not run; it has been answered then.
func (g *Gateway) admit(r *request) bool {
	if g.catalog == nil {
		g.answer(r, NotRun, unconfiguredRetryAfter, "no configuration yet")
		return false
	}
	route := g.catalog.MatchRoute(r.incoming.Host, r.incoming.Path)
	if route == nil {
		g.answer(r, UnknownRoute, 0, "no route")
		return false
	}
	r.route = route
	if g.catalog.RequiresKey() && !route.Public {
		r.workspace = g.catalog.WorkspaceByKey(r.incoming.Key)
		if r.workspace == nil {
			g.answer(r, UnknownKey, 0, "no workspace holds the key")
			return false
		}
	}
	if g.hasQuarantinedPart(r) && !g.takeProbe(r) {
		g.answer(r, Quarantined, 0, quarantinedPartReason)
		return false
	}
	r.service = g.pickService(route)
	r.bound = evacuation.NewBound(route.AllowedRegions, r.workspace.Regions())
	return true
}

// pickService returns one of a route's services at random, by weight.
func (g *Gateway) pickService(r *published.Route) ident.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := g.random.IntN(total)
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Service
		}
		n -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// answer finishes a request with the gateway's own answer. If a part of a
// stream has been relayed, the answer is BrokenOff instead.
func (g *Gateway) answer(r *request, a Answer, retryAfter time.Duration, reason string) {
	if r.finished {
		return
	}
	if r.firstEventSent {
		a = BrokenOff
	}
	switch a {
	case NotRun:
		g.counters.Refused++
	case TimedOut:
		g.counters.TimedOut++
	case MayHaveRun:
		g.counters.MayHaveRun++
	}
	g.out.LogEvent("answered", "request", r.incoming.ID, "answer", a, "reason", reason, "after", g.now().Sub(r.arrivedAt), "sends", r.sends, "retryAfter", retryAfter)
	step := Step{Answer: a, RetryAfter: retryAfter, Reason: reason, Elsewhere: g.servedElsewhere(r, a), NoPath: g.lacksOwnPath(r)}
	g.finish(r)
	g.out.NextStep(r.handle, step)
}

// fail answers a request that can no longer be served. It does nothing while the request has an
// attempt, which has all that it needs: only the end of that, or of the request's time, decides.
func (g *Gateway) fail(r *request, retryAfter time.Duration, reason string) {
	switch {
	case r.attempt != nil:
		g.out.LogEvent("failureIgnored", "request", r.incoming.ID, "reason", reason, "endpoint", r.attempt.endpoint, "member", r.attempt.member, "written", r.attempt.written)
	case r.mayHaveRun:
		g.answer(r, MayHaveRun, retryAfter, reason)
	default:
		g.answer(r, NotRun, retryAfter, reason)
	}
}

// finish removes a request and frees the stage results that it holds.
func (g *Gateway) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	g.timers.Stop(r.timeoutTimer)
	g.endAttempt(r)
	if r.countedForwarded {
		g.forwardedIn--
	}
	g.releaseAll(r)
	delete(g.requests, r.handle)
	if g.requestsByID[r.incoming.ID] == r {
		delete(g.requestsByID, r.incoming.ID)
	}
}

// end answers a request and cancels its current attempt, if any.
func (g *Gateway) end(r *request, a Answer, retryAfter time.Duration, reason string) {
	running := r.attempt != nil
	g.answer(r, a, retryAfter, reason)
	if running {
		g.out.CancelAttempt(r.handle)
	}
}

// mayRun reports whether the request has run, or may still: an endpoint may have
// received it.
func (r *request) mayRun() bool { return r.mayHaveRun || r.attempt != nil && r.attempt.written }

// handleTimeout answers a request whose timeout has passed.
func (g *Gateway) handleTimeout(r *request) {
	switch {
	case r.finished:
	case r.mayRun():
		g.end(r, TimedOut, 0, "the route's time is over")
	default:
		g.end(r, NotRun, busyRetryAfter, "the route's time is over, never sent")
	}
}

// HandleCallerLeft finishes a request whose caller has closed the connection.
func (g *Gateway) HandleCallerLeft(h RequestHandle) {
	r := g.requests[h]
	if r == nil {
		return
	}
	g.counters.CallersLeft++
	g.out.LogEvent("callerLeft", "request", r.incoming.ID, "after", g.now().Sub(r.arrivedAt), "begun", r.firstEventSent)
	running := r.attempt != nil
	g.finish(r)
	if running {
		g.out.CancelAttempt(h)
	}
}

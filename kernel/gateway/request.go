package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// CallerRequest is a caller's request as it came in, whole.
type CallerRequest struct {
	ID   ident.RequestID
	Host string
	Path string
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits for the answer; zero if it did
	// not say.
	Timeout time.Duration
	// PieceCounts is the number of pieces of each stage.
	PieceCounts []int
	PieceKey    string
	Prompt      []PromptPart
	// Digest is the hash of path, caller and body, by which a request is
	// recognised that comes again under a new id.
	Digest ident.Digest
}

// Answer is what the gateway itself tells a caller.
type Answer int

// The answers.
const (
	// NotRun means that the request has not run and will not.
	NotRun Answer = iota
	// UnknownRoute means that no route matches.
	UnknownRoute
	// UnknownKey means that no workspace holds the key.
	UnknownKey
	// Quarantined means that the content crashes endpoints; it was not run.
	Quarantined
	// MayHaveRun means that an endpoint got the request and its answer is lost.
	MayHaveRun
	// TimedOut means that the route's time is over; the request may have run.
	TimedOut
	// BrokenOff ends an answer that had begun, visibly incomplete.
	BrokenOff
)

// String returns the answer's name for logs.
func (a Answer) String() string {
	return [...]string{"notRun", "unknownRoute", "unknownKey", "quarantined", "mayHaveRun", "timedOut", "brokenOff"}[a]
}

// Send asks the edge to send a request to an endpoint.
type Send struct {
	// Attempt numbers the attempts of a request; reports name it.
	Attempt   AttemptID
	Endpoint  ident.Endpoint
	Address   string
	Workspace ident.Workspace
	// Remaining is how long the endpoint may work.
	Remaining time.Duration
	// Inputs are the stage results that a model endpoint fetches.
	Inputs []message.ResultHandle
	// Stream is set when events are passed on as they come; other answers
	// are collected before they are passed on.
	Stream bool
	// Repeatable requests may be lost in the close of a connection.
	Repeatable bool
	// LastEventID is the last event that the caller got from an earlier attempt.
	LastEventID string
	// HeadSent is set when the answer's head was sent by an earlier attempt.
	HeadSent bool
}

// Step is what the edge does next: send to an endpoint, or answer.
type Step struct {
	Send *Send
	// Answer is used if Send is nil.
	Answer     Answer
	RetryAfter time.Duration
	Reason     string
}

// AttemptID numbers the attempts of a request, so that a late report of an
// earlier one is not taken for the current one's.
type AttemptID int

type attempt struct {
	id        AttemptID
	endpoint  ident.Endpoint
	startedAt time.Time
	// written is set once the first byte may have reached the endpoint.
	written bool
	// responseStarted is set once the endpoint's answer was passed on in part.
	responseStarted bool
	timeout         *timer.Subscription
}

type stageState struct {
	stage        published.Stage
	pieceCount   int
	handles      []message.ResultHandle
	missingCount int
	// inputsFetched counts the pieces whose inputs were fetched.
	inputsFetched value.Set[int]
	// capacityLow is set if the results take room that is short.
	capacityLow bool
	submitted   bool
	released    bool
	// recompute is set if results were lost that the batcher may still know.
	recompute bool
	// batcher is the batcher that has the pieces, with its process.
	batcher            ident.Instance
	batcherIncarnation ident.Incarnation
	submittedAt        time.Time
	// hasDependents is set if another stage needs the results.
	hasDependents bool
}

type request struct {
	handle    RequestHandle
	incoming  CallerRequest
	route     *published.Route
	service   ident.Service
	workspace *published.Workspace
	arrivedAt time.Time
	deadline  time.Time
	// latencyDeadline is when the request is late, and useful when its caller gives
	// up if nothing has come by then.
	latencyDeadline time.Time
	abandonAt       time.Time
	timeoutTimer    *timer.Subscription
	stages          []stageState
	attempt         *attempt
	attemptCount    AttemptID
	// sends counts the endpoints that may have run the request.
	sends             int
	declines          int
	unreachedAttempts int
	recomputes        int
	mayHaveRun        bool
	firstEventSent    bool
	// timeToFirstEvent is the time from the arrival to the first event.
	timeToFirstEvent    time.Duration
	lastEventID         string
	excluded            value.Set[ident.Endpoint]
	preferredDataCentre ident.DataCentre
	finished            bool
}

const (
	// unconfiguredRetryAfter is what a caller is told that came before the
	// configuration was known: about the time that it takes to read it.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is what a caller is told that finds no endpoint: the
	// time after which an ejected endpoint is tried again.
	busyRetryAfter = 700 * time.Millisecond
	// firstAttemptTimeoutShare is the least patience of a first attempt, against the
	// longest on its route: callers' deadlines differ by a fifth.
	firstAttemptTimeoutShare = 0.8
	// streamAcceptTime is how long a stopping instance takes long requests on: the
	// balancer may send some for two seconds, and they have to end before the
	// stop does.
	streamAcceptTime = 2200 * time.Millisecond
	// shutdownRetryAfter is what a caller is told whom another instance can
	// serve at once.
	shutdownRetryAfter = 50 * time.Millisecond
	// defaultCallerTimeout is used for callers that name no deadline.
	defaultCallerTimeout = 60 * time.Second
	// timeoutMargin is how much sooner than the route's timeout a request is
	// ended, so that the answer is there at the timeout.
	timeoutMargin = 20 * time.Millisecond
)

// HandleRequest takes a request on, or answers it at once. The edge chooses the
// handle; it must be new.
func (g *Gateway) HandleRequest(h RequestHandle, a CallerRequest) {
	now := g.now()
	g.counters.Arrived++
	r := &request{handle: h, incoming: a, arrivedAt: now, excluded: value.NewSet[ident.Endpoint]()}
	g.requests[r.handle] = r
	if !g.admit(r) {
		return
	}
	g.requestsByID[a.ID] = r
	patience := a.Timeout
	if patience <= 0 {
		patience = defaultCallerTimeout
	}
	patience = min(patience, r.route.Timeout)
	r.deadline = now.Add(patience)
	r.abandonAt = now.Add(min(patience, r.route.GivenUpAfter()))
	r.latencyDeadline = now.Add(r.route.Objective - g.estimateWaited(r.route, a.Timeout))
	r.timeoutTimer = g.timers.After(patience-timeoutMargin, func() { g.handleTimeout(r) })
	g.retryBudget.countRequest(now, r.service)
	g.out.LogEvent("arrived", "request", a.ID, "route", r.route.Name, "workspace", r.workspaceName(), "service", r.service, "version", g.catalog.Version, "patience", patience, "pieces", a.PieceCounts)
	g.setUpStages(r)
	if need := g.minStageTime(r); need > r.abandonAt.Sub(now) {
		g.answer(r, NotRun, 0, "the stages take longer than the caller waits")
		return
	}
	g.advance(r)
}

// estimateWaited estimates for how long a caller has waited before this attempt, from
// the longest patience that callers of the route have shown.
func (g *Gateway) estimateWaited(r *published.Route, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	longest := max(g.longestTimeout[r.Name], patience)
	g.longestTimeout[r.Name] = longest
	return max(time.Duration(firstAttemptTimeoutShare*float64(longest))-patience, 0)
}

func (r *request) workspaceName() ident.Workspace {
	if r.workspace == nil {
		return ""
	}
	return r.workspace.Name
}

// admit checks route and key.
func (g *Gateway) admit(r *request) bool {
	if g.catalog == nil {
		g.answer(r, NotRun, unconfiguredRetryAfter, "no configuration yet")
		return false
	}
	route := g.catalog.Match(r.incoming.Host, r.incoming.Path)
	if route == nil {
		g.answer(r, UnknownRoute, 0, "no route")
		return false
	}
	r.route = route
	if g.catalog.Closed() && !route.Public {
		r.workspace = g.catalog.Holder(r.incoming.Key)
		if r.workspace == nil {
			g.answer(r, UnknownKey, 0, "no workspace holds the key")
			return false
		}
	}
	if g.shuttingDown && route.Kind == published.Stream && g.now().Sub(g.shutdownStartedAt) > streamAcceptTime {
		g.answer(r, NotRun, shutdownRetryAfter, "the instance is stopping")
		return false
	}
	if g.crashes.isPoison(g.now(), r.incoming.Digest) {
		g.answer(r, Quarantined, 0, "the content has crashed the endpoints that ran it")
		return false
	}
	r.service = g.pickService(route)
	return true
}

// pickService draws one of a route's services by weight.
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

// answer ends a request with the gateway's own words.
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
	g.finish(r)
	g.out.NextStep(r.handle, Step{Answer: a, RetryAfter: retryAfter, Reason: reason})
}

// finish takes a request off the books and gives back what it holds.
func (g *Gateway) finish(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	g.timers.Stop(r.timeoutTimer)
	g.endAttempt(r)
	g.releaseAll(r)
	delete(g.requests, r.handle)
	if g.requestsByID[r.incoming.ID] == r {
		delete(g.requestsByID, r.incoming.ID)
	}
}

// handleTimeout ends a request whose time is over.
func (g *Gateway) handleTimeout(r *request) {
	if r.finished {
		return
	}
	running := r.attempt != nil
	if r.mayHaveRun || running && r.attempt.written {
		g.answer(r, TimedOut, 0, "the route's time is over")
	} else {
		g.answer(r, NotRun, busyRetryAfter, "the route's time is over, never sent")
	}
	if running {
		g.out.CancelAttempt(r.handle)
	}
}

// HandleCallerLeft takes in that the caller closed its connection.
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

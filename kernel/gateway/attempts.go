package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/published"
)

// AttemptFailure is how an attempt at an endpoint failed.
type AttemptFailure int

// The failures.
const (
	// Unreached means that nothing was written to the endpoint.
	Unreached AttemptFailure = iota
	// Declined means that the endpoint said that it did not run the request.
	Declined
	// Replaced means that another endpoint has the address now.
	Replaced
	// InputsGone means that a stage result does not exist any more; the
	// request has not run.
	InputsGone
	// Broken means that the exchange broke; the request may have run.
	Broken
	// InvalidResponse means that the answer is not usable; the request has run.
	InvalidResponse
)

// String returns the failure's name for logs.
func (f AttemptFailure) String() string {
	return [...]string{"unreached", "declined", "replaced", "inputsGone", "broken", "spoiled"}[f]
}

const (
	// attemptTimeoutFactor and hedgeFloor tell when a safe request that got no answer
	// is sent elsewhere: well beyond the endpoint's usual time.
	attemptTimeoutFactor = 4.0
	minAttemptTimeout    = 150 * time.Millisecond
	// maxUnreachedAttempts bounds the endpoints that a request tries to reach: a third
	// of a large service may be gone at once, and those look the least busy.
	maxUnreachedAttempts = 24
	// maxDeclinedAttempts bounds the endpoints that may decline a request: each of
	// these arrivals counts against the retry budget.
	maxDeclinedAttempts = 4
)

// dispatch sends a request to an endpoint, or ends it if there is none.
func (g *Gateway) dispatch(r *request) {
	now := g.now()
	e := g.chooseEndpoint(r)
	if e == nil {
		g.answer(r, g.failureAnswer(r), busyRetryAfter, "no endpoint can take it")
		return
	}
	r.attemptCount++
	r.attempt = &attempt{id: r.attemptCount, endpoint: e.Name, startedAt: now}
	r.sends++
	e.Running++
	g.startAttemptTimeout(r, e)
	g.out.LogEvent("sent", "request", r.incoming.ID, "endpoint", e.Name, "endpointCentre", e.DataCentre, "busy", e.Busy(now), "after", now.Sub(r.arrivedAt), "send", r.sends, "resume", r.lastEventID)
	g.out.NextStep(r.handle, Step{Send: &Send{
		Attempt:     r.attemptCount,
		Endpoint:    e.Name,
		Address:     e.Address,
		Workspace:   r.workspaceName(),
		Remaining:   r.deadline.Sub(now),
		Inputs:      r.finalInputs(),
		Stream:      r.route.Kind == published.Stream,
		Repeatable:  r.route.Repeatable(),
		LastEventID: r.lastEventID,
		HeadSent:    r.firstEventSent,
	}})
}

// startAttemptTimeout gives up on a repeatable request that stays without an answer, so
// that another endpoint can serve it in time.
func (g *Gateway) startAttemptTimeout(r *request, e *endpoints.Endpoint) {
	if !r.route.Repeatable() || r.sends >= r.route.MaxAttempts {
		return
	}
	wait := max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*e.Millis*float64(time.Millisecond)))
	if r.route.Kind == published.Stream {
		wait = max(wait, r.route.Objective)
	}
	a := r.attempt
	a.timeout = g.timers.After(wait, func() {
		if r.attempt != a || a.responseStarted {
			return
		}
		e.Unreachable(g.now())
		g.out.LogEvent("attemptSilent", "request", r.incoming.ID, "endpoint", a.endpoint, "waited", wait)
		g.retryOrEnd(r, Broken, "no answer within "+wait.String())
		g.out.CancelAttempt(r.handle)
	})
}

// endAttempt takes the current attempt off the books.
func (g *Gateway) endAttempt(r *request) {
	a := r.attempt
	if a == nil {
		return
	}
	r.attempt = nil
	g.timers.Stop(a.timeout)
	if e := g.directory.Lookup(a.endpoint); e != nil {
		e.Running = max(e.Running-1, 0)
	}
}

// requestOfAttempt returns the request if the attempt is its present one, else nil.
func (g *Gateway) requestOfAttempt(h RequestHandle, id AttemptID) *request {
	r := g.requests[h]
	if r == nil || r.attempt == nil || r.attempt.id != id {
		return nil
	}
	return r
}

// BeginWrite is asked by the edge right before the first byte of an attempt
// goes out. Once it has said yes, the request may have run; if it says no, the
// gateway may have told the caller meanwhile that the request has not run.
func (g *Gateway) BeginWrite(h RequestHandle, id AttemptID) bool {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return false
	}
	r.attempt.written = true
	return true
}

// HandleResponseHead takes in that an endpoint's usable answer has begun.
func (g *Gateway) HandleResponseHead(h RequestHandle, id AttemptID, failed bool, load endpoints.Load) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	now := g.now()
	if e := g.directory.Lookup(r.attempt.endpoint); e != nil {
		e.Answered(now, failed, now.Sub(r.attempt.startedAt), load)
		g.crashes.recordResponse(e.Name)
	}
	r.attempt.responseStarted = true
}

// HandleFirstEvent takes in that the first part of a stream went on to the caller: the
// endpoint has read its inputs.
func (g *Gateway) HandleFirstEvent(h RequestHandle, id AttemptID) {
	if r := g.requestOfAttempt(h, id); r != nil {
		if !r.firstEventSent {
			r.timeToFirstEvent = g.now().Sub(r.arrivedAt)
		}
		r.firstEventSent = true
		g.releaseAll(r)
	}
}

// RetryErrorResponse reports whether a request that an endpoint answered with a failure
// of its own is sent once more, in place of passing that answer on.
func (g *Gateway) RetryErrorResponse(h RequestHandle, id AttemptID) bool {
	r := g.requestOfAttempt(h, id)
	if r == nil || r.route.Kind != published.Safe || r.sends >= r.route.MaxAttempts {
		return false
	}
	r.excluded.Add(r.attempt.endpoint)
	if g.chooseEndpoint(r) == nil || !g.retryBudget.tryTake(g.now(), r.service, g.AliveCount()) {
		return false
	}
	g.counters.Retried++
	r.mayHaveRun = true
	g.out.LogEvent("attemptFailed", "request", r.incoming.ID, "endpoint", r.attempt.endpoint, "failure", "endpointError", "after", g.now().Sub(r.attempt.startedAt))
	g.endAttempt(r)
	g.dispatch(r)
	return true
}

// Delivery describes an answer that went to its caller whole.
type Delivery struct {
	Status int
	// Events is the number of a stream's events, and LongestGap the longest
	// pause between two of them.
	Events     int
	LongestGap time.Duration
}

// HandleDelivery takes in that the whole answer went to the caller.
func (g *Gateway) HandleDelivery(h RequestHandle, id AttemptID, d Delivery) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	g.counters.Relayed++
	g.out.LogEvent("relayed", "request", r.incoming.ID, "route", r.route.Name, "status", d.Status, "after", g.now().Sub(r.arrivedAt), "firstAfter", r.timeToFirstEvent, "objective", r.route.Objective, "events", d.Events, "longestGap", d.LongestGap, "sends", r.sends)
	g.finish(r)
}

// HandleFailure takes in that an attempt brought no usable answer. Resume is the last
// event that went on to the caller.
func (g *Gateway) HandleFailure(h RequestHandle, id AttemptID, f AttemptFailure, resume, detail string) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	if resume != "" {
		r.lastEventID = resume
	}
	g.retryOrEnd(r, f, detail)
}

// retryOrEnd decides what follows a failed attempt.
func (g *Gateway) retryOrEnd(r *request, f AttemptFailure, detail string) {
	now := g.now()
	a := r.attempt
	e := g.directory.Lookup(a.endpoint)
	g.out.LogEvent("attemptFailed", "request", r.incoming.ID, "endpoint", a.endpoint, "failure", f, "detail", detail, "after", now.Sub(a.startedAt))
	g.endAttempt(r)
	provedNotRun := f != Broken && f != InvalidResponse
	switch {
	case e == nil:
	case f == Replaced:
		e.Replaced(now)
	case f == Unreached || f == Broken:
		e.Unreachable(now)
	}
	switch {
	case f == Broken:
		g.crashes.recordBroken(now, a.endpoint, r.incoming.Digest)
	case e != nil && (f == Unreached || f == Replaced):
		g.crashes.recordEndpointGone(now, e.Name, e.Service)
	}
	r.mayHaveRun = r.mayHaveRun || !provedNotRun
	if f == InputsGone {
		r.sends--
		g.recomputeFinalInputs(r)
		return
	}
	if !g.allowRetry(r, f) {
		g.answer(r, g.failureAnswer(r), busyRetryAfter, "attempt "+f.String())
		return
	}
	g.counters.Retried++
	r.excluded.Add(a.endpoint)
	if r.finalInputsReleased() {
		g.recomputeFinalInputs(r)
		return
	}
	g.dispatch(r)
}

// allowRetry reports whether a failed request may be sent to another endpoint.
func (g *Gateway) allowRetry(r *request, f AttemptFailure) bool {
	switch f {
	case Unreached:
		r.sends--
		r.unreachedAttempts++
		return r.unreachedAttempts <= maxUnreachedAttempts && g.now().Before(r.abandonAt)
	case Declined, Replaced:
		r.declines++
		return r.declines <= maxDeclinedAttempts && g.retryBudget.tryTake(g.now(), r.service, g.AliveCount())
	}
	if !r.route.Repeatable() || r.sends >= r.route.MaxAttempts {
		return false
	}
	if !r.deadline.After(g.now()) {
		return false
	}
	if !g.retryBudget.tryTake(g.now(), r.service, g.AliveCount()) {
		return false
	}
	if r.firstEventSent {
		g.counters.Resumed++
	}
	return true
}

// finalInputsReleased reports whether a result that a model endpoint needs was given
// back already.
func (r *request) finalInputsReleased() bool {
	for i := range r.stages {
		if s := &r.stages[i]; !s.hasDependents && s.pieceCount > 0 && s.released {
			return true
		}
	}
	return false
}

// recomputeFinalInputs makes the results again that the model endpoint needs, and
// sends the request when they are there.
func (g *Gateway) recomputeFinalInputs(r *request) {
	var final []int
	for i := range r.stages {
		if s := &r.stages[i]; !s.hasDependents && s.pieceCount > 0 {
			final = append(final, i)
		}
	}
	g.recomputeResults(r, final)
	g.advance(r)
}

package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/published"
)

// AttemptFailure is the way in which an attempt failed. It decides whether the
// request may have run, and so whether it may be sent again.
type AttemptFailure int

// The failures.
const (
	// NotSent means that no byte of the request was written to the endpoint.
	NotSent AttemptFailure = iota
	// Declined means that the endpoint reported that it did not run the
	// request.
	Declined
	// Replaced means that another endpoint now has the address; the request has
	// not run.
	Replaced
	// InputsGone means that a stage result no longer exists; the request has
	// not run.
	InputsGone
	// Broken means that the connection broke or that no response came in time;
	// the request may have run.
	Broken
	// InvalidResponse means that the response is not usable; the request has
	// run.
	InvalidResponse
	// Withheld means that no byte of the request was written, because the endpoint had
	// come to want no requests, or been evacuated, since it was chosen.
	Withheld
)

// String returns the failure's name in logs and answers.
func (f AttemptFailure) String() string {
	return [...]string{"unreached", "declined", "replaced", "inputsGone", "broken", "spoiled", "withheld"}[f]
}

const (
	// An attempt of a repeatable request may stay without a response for
	// attemptTimeoutFactor times the endpoint's average response time, but for
	// at least minAttemptTimeout.
	attemptTimeoutFactor = 4.0
	minAttemptTimeout    = 150 * time.Millisecond
	// A timer that runs maxTimerDelay late shows that the process was paused. What arrived
	// meanwhile is read within pauseReadTime.
	maxTimerDelay = 50 * time.Millisecond
	pauseReadTime = 50 * time.Millisecond
	// maxUnsentAttempts limits the attempts of a request that fail as NotSent
	// before it is given up. A third of a large service may crash at once, and
	// crashed endpoints are tried first because they look the least busy.
	maxUnsentAttempts = 24
	// maxDeclinedAttempts limits how many endpoints may decline a request or
	// turn out to be replaced. Each of these attempts counts against the retry
	// budget.
	maxDeclinedAttempts = 4
)

// dispatch sends a request to an endpoint, or answers it if none can take it.
func (g *Gateway) dispatch(r *request) {
	if g.hasQuarantinedPart(r) {
		g.endQuarantined(r)
		return
	}
	if g.stopsTooSoon(r) {
		g.endStopping(r)
		return
	}
	if g.paths.Lost(r.service) && g.forward(r) {
		return
	}
	if g.askPlacer(r) {
		return
	}
	e := g.grantedEndpoint(r)
	for e == nil {
		if e = g.chooseEndpoint(r); e == nil {
			if g.seemsUnreachable(r.service) {
				r.awaitsPath = true
				return
			}
			g.fail(r, g.noEndpointRetryAfter(r), "no endpoint can take it")
			return
		}
		process := e.Process()
		switch g.acquirePermit(e, func(issued bool) { g.resumeDispatch(r, process, issued) }) {
		case permitPending:
			r.awaitsPermit = true
			return
		case permitDenied:
			e = nil
		}
	}
	g.sendTo(r, e)
}

// sendTo sends a request to an endpoint.
func (g *Gateway) sendTo(r *request, e *endpoints.Endpoint) {
	now := g.now()
	if r.attemptCount == 0 {
		g.throttle.RecordAdmission(now, r.service)
	}
	r.attemptCount++
	r.attempt = &attempt{id: r.attemptCount, endpoint: e.Name, dataCentre: e.DataCentre, address: e.Address, version: e.Version, startedAt: now, permitted: g.isLimited(e)}
	if r.choice.Endpoint == e {
		r.attempt.choice = r.choice
		g.placement.RecordSent(now, r.choice)
	}
	r.askedPlacer = false
	r.sends++
	e.OwnRequests++
	g.startAttemptTimeout(r, e)
	g.out.LogEvent("sent", "request", r.incoming.ID, "endpoint", e.Name, "endpointCentre", e.DataCentre, "endpointVersion", e.Version, "busy", e.EstimatedInFlight(now), "after", now.Sub(r.arrivedAt), "send", r.sends, "resume", r.lastEventID, "estimate", r.attempt.choice.Estimate)
	g.out.NextStep(r.handle, Step{Send: &Send{
		Attempt:                   r.attemptCount,
		Endpoint:                  e.Name,
		EndpointStartedUnixMillis: e.StartedUnixMillis,
		Address:                   e.Address,
		Workspace:                 r.workspaceName(),
		Remaining:                 r.deadline.Sub(now),
		Inputs:                    r.stages.FinalInputs(),
		Stream:                    r.route.Kind == published.Stream,
		Repeatable:                r.route.Repeatable(),
		LastEventID:               r.lastEventID,
		HeadSent:                  r.firstEventSent,
	}})
}

// startAttemptTimeout ends the attempt of a repeatable request if no response
// starts in time, so that another endpoint can still serve the request before
// its deadline.
func (g *Gateway) startAttemptTimeout(r *request, e *endpoints.Endpoint) {
	if !r.route.Repeatable() || r.sends >= r.route.MaxAttempts {
		return
	}
	wait := max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*e.LatencyMillis*float64(time.Millisecond)))
	if r.route.Kind == published.Stream {
		wait = max(wait, r.route.LatencyObjective)
	}
	a := r.attempt
	dueAt := g.now().Add(wait)
	end := func() {
		if r.attempt != a || a.responseStarted {
			return
		}
		e.MarkUnreachable(g.now())
		g.suspectSilence(e, a.startedAt)
		g.out.LogEvent("attemptSilent", "request", r.incoming.ID, "endpoint", a.endpoint, "waited", wait)
		g.retryOrEnd(r, Broken, "no answer within "+wait.String())
		g.out.CancelAttempt(r.handle)
	}
	a.timeoutTimer = g.timers.After(wait, func() {
		if g.now().Sub(dueAt) > maxTimerDelay {
			a.timeoutTimer = g.timers.After(pauseReadTime, end)
			return
		}
		end()
	})
}

// endAttempt clears the current attempt, if any, and stops counting it as
// running at its endpoint.
func (g *Gateway) endAttempt(r *request) {
	a := r.attempt
	if a == nil {
		return
	}
	r.attempt = nil
	g.timers.Stop(a.timeoutTimer)
	g.placement.RecordEnd(a.choice, a.startedAt, a.firstEventAt, g.now())
	if a.member != "" {
		if g.forwardsTo[a.member]--; g.forwardsTo[a.member] <= 0 {
			delete(g.forwardsTo, a.member)
		}
	}
	if e := g.directory.Lookup(a.endpoint); e != nil {
		e.OwnRequests = max(e.OwnRequests-1, 0)
	}
}

// requestOfAttempt returns the request if the attempt is its current one, else
// nil.
func (g *Gateway) requestOfAttempt(h RequestHandle, id AttemptID) *request {
	r := g.requests[h]
	if r == nil || r.attempt == nil || r.attempt.id != id {
		return nil
	}
	return r
}

// BeginWrite reports whether the entry server may write the attempt to the
// endpoint; the entry server calls it right before the first byte. If it returns
// true, the request counts as one that may have run. If it returns false, nothing
// may be written: the caller may have been told by now that the request has not
// run, or the endpoint has said since that it wants no requests, or its data centre has been
// evacuated since.
func (g *Gateway) BeginWrite(h RequestHandle, id AttemptID) bool {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return false
	}
	if e := g.directory.Lookup(r.attempt.endpoint); e != nil && (e.Withheld(g.now()) || g.lacksPermit(r.attempt, e)) || g.evacuations.InForce(r.attempt.dataCentre) {
		r.attempt.withheld = true
		g.counters.AttemptsWithheld++
		return false
	}
	if g.stopsTooSoon(r) {
		g.endStopping(r)
		return false
	}
	r.attempt.written = true
	return true
}

// HandleResponseHead handles the head of a usable response. errorResponse is
// set if the endpoint reports an error of its own; load is what the response
// says about the endpoint's load.
func (g *Gateway) HandleResponseHead(h RequestHandle, id AttemptID, errorResponse bool, load endpoints.Load) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	now := g.now()
	if e := g.directory.Lookup(r.attempt.endpoint); e != nil {
		e.RecordResponse(now, errorResponse && e.RestLeft(now) == 0, now.Sub(r.attempt.startedAt), load)
		g.recordWhole(g.crashes.recordResponse(now, e.Name, r.attempt.startedAt))
	}
	r.attempt.responseStarted, r.attempt.workPercent = true, load.WorkPercent
}

// Response describes a response of which the first byte is about to be relayed.
type Response struct {
	// Complete is set if all of it has arrived.
	Complete bool
	// Error is set if the endpoint reports an error of its own.
	Error bool
}

// BeginRelay reports whether the entry server may write the response of an attempt to the
// caller; the entry server calls it right before the first byte. Once it has returned true, no
// other attempt takes the place of this one. If it returns false, nothing may be written, and
// the entry server carries out the gateway's next step.
//
// The request may have been answered, or another attempt may have been started, while the
// response waited to be read. A response that is complete is relayed all the same, unless it is
// an error and another attempt may still succeed: nothing else has reached the caller, and an
// attempt that has not been written is not needed any more.
func (g *Gateway) BeginRelay(h RequestHandle, id AttemptID, response Response) bool {
	r := g.requests[h]
	if r == nil {
		return response.Complete
	}
	if g.requestOfAttempt(h, id) != nil {
		r.attempt.responseStarted = true
		return true
	}
	relay := response.Complete && !response.Error && !r.atEndpoint()
	g.out.LogEvent("lateResponse", "request", r.incoming.ID, "attempt", id, "current", r.attemptCount, "complete", response.Complete, "relayed", relay)
	if relay {
		g.counters.Relayed++
		g.finish(r)
	}
	return relay
}

// HandleFirstEvent is called when an attempt's first event has been relayed to
// the caller. The endpoint has fetched its inputs by then, so they are freed.
func (g *Gateway) HandleFirstEvent(h RequestHandle, id AttemptID) {
	if r := g.requestOfAttempt(h, id); r != nil {
		if !r.firstEventSent {
			r.timeToFirstEvent = g.now().Sub(r.arrivedAt)
		}
		if r.attempt.member == "" {
			g.recordBegun(r)
		}
		r.firstEventSent = true
		r.attempt.firstEventAt, r.attempt.lastEventAt = g.now(), g.now()
		g.placement.RecordFirstEvent(g.now(), r.attempt.choice, g.now().Sub(r.attempt.startedAt), r.attempt.workPercent)
		g.releaseAll(r)
	}
}

// ProgressInterval is how often HandleProgress is called while events are relayed.
const ProgressInterval = 500 * time.Millisecond

// HandleProgress is called when a later event of an attempt has been relayed, at most once
// in ProgressInterval.
func (g *Gateway) HandleProgress(h RequestHandle, id AttemptID) {
	if r := g.requestOfAttempt(h, id); r != nil {
		r.attempt.lastEventAt = g.now()
	}
}

// HandlePartialRelay is called when the beginning of a response other than a
// stream has been relayed before the response was complete. The request cannot be
// sent again then.
func (g *Gateway) HandlePartialRelay(h RequestHandle, id AttemptID) {
	if r := g.requestOfAttempt(h, id); r != nil {
		r.firstEventSent, r.partlyRelayed = true, true
	}
}

// RetryErrorResponse sends a request again whose endpoint responded with an
// error of its own, if the route, the number of attempts and the retry budget
// allow it. It returns false if the entry server has to relay the response
// instead.
func (g *Gateway) RetryErrorResponse(h RequestHandle, id AttemptID) bool {
	r := g.requestOfAttempt(h, id)
	if r == nil || r.attempt.member != "" || r.route.Kind != published.Safe || r.sends >= r.route.MaxAttempts {
		return false
	}
	r.excluded.Add(r.attempt.endpoint)
	if e := g.chooseEndpoint(r); e == nil || g.isLimited(e) || !g.retryBudget.TryTake(g.now(), r.service, g.shareCount(g.now())) {
		return false
	}
	g.counters.Retried++
	r.mayHaveRun = true
	g.out.LogEvent("attemptFailed", "request", r.incoming.ID, "endpoint", r.attempt.endpoint, "failure", "endpointError", "after", g.now().Sub(r.attempt.startedAt))
	g.endAttempt(r)
	g.dispatch(r)
	return true
}

// Delivery describes a response that was relayed to the caller completely.
type Delivery struct {
	// Status is the HTTP status code.
	Status int
	// Events is the number of events of a stream, and LongestGap the longest
	// pause between two of them. Both are zero for other responses.
	Events     int
	LongestGap time.Duration
	// Delimited is set if the end of the response is known from the response itself and
	// not only from the end of its connection, which an endpoint that crashes closes too.
	Delimited bool
}

// HandleDelivery finishes a request whose response was relayed completely.
func (g *Gateway) HandleDelivery(h RequestHandle, id AttemptID, d Delivery) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	g.counters.Relayed++
	g.recordAnswered(r, d)
	g.placement.RecordStream(r.attempt.choice, d.Events, g.now().Sub(r.attempt.firstEventAt))
	g.out.LogEvent("relayed", "request", r.incoming.ID, "route", r.route.Name, "status", d.Status, "after", g.now().Sub(r.arrivedAt), "firstAfter", r.timeToFirstEvent, "objective", r.route.LatencyObjective, "events", d.Events, "longestGap", d.LongestGap, "sends", r.sends, "delimited", d.Delimited)
	g.finish(r)
}

// HandleFailure handles the failure of an attempt. lastEventID is the id of the
// last event that was relayed to the caller, if any; detail is for the log.
func (g *Gateway) HandleFailure(h RequestHandle, id AttemptID, f AttemptFailure, lastEventID, detail string) {
	r := g.requestOfAttempt(h, id)
	if r == nil {
		return
	}
	if lastEventID != "" {
		r.lastEventID = lastEventID
	}
	if r.attempt.member != "" {
		g.handleForwardFailure(r, f, detail)
		return
	}
	if f == NotSent && r.attempt.withheld {
		f = Withheld
	}
	g.retryOrEnd(r, f, detail)
}

// retryOrEnd sends a request again whose attempt failed, or answers it. It also
// updates what is known about the endpoint.
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
		e.MarkReplaced(now)
	case f == NotSent || f == Broken:
		e.MarkUnreachable(now)
	}
	switch {
	case f == Broken:
		g.crashes.recordBroken(a.endpoint, r.brokenExchange(now, a))
		r.brokenAttempts++
		g.checkEndpointLater(a)
	case e != nil && f == NotSent:
		g.suspectPath(e)
		g.suspectCold(e)
	case e != nil && f == Replaced:
		g.suspectCold(e)
		g.recordEndpointGone(e)
	}
	r.mayHaveRun = r.mayHaveRun || !provedNotRun
	if f == InputsGone {
		r.sends--
		g.recomputeFinalInputs(r)
		return
	}
	r.excluded.Add(a.endpoint)
	if !g.allowRetry(r, f) {
		g.fail(r, busyRetryAfter, "attempt "+f.String())
		return
	}
	g.counters.Retried++
	if r.stages.FinalInputsReleased() {
		g.recomputeFinalInputs(r)
		return
	}
	g.dispatch(r)
}

// allowRetry reports whether a request whose attempt failed may be sent to
// another endpoint. It counts the failure, and if it returns true the retry is
// taken from the budget; only attempts that were not sent are free.
func (g *Gateway) allowRetry(r *request, f AttemptFailure) bool {
	switch f {
	case NotSent, Withheld:
		r.sends--
		r.unsentAttempts++
		return r.unsentAttempts <= maxUnsentAttempts && g.now().Before(r.abandonAt)
	case Declined, Replaced:
		r.declines++
		return r.declines <= maxDeclinedAttempts && g.retryBudget.TryTake(g.now(), r.service, g.shareCount(g.now()))
	}
	if !r.route.Repeatable() || r.sends >= r.route.MaxAttempts || r.partlyRelayed {
		return false
	}
	if !r.deadline.After(g.now()) || r.firstEventSent && !g.canGoOn(r) {
		return false
	}
	if !g.retryBudget.TryTake(g.now(), r.service, g.shareCount(g.now())) {
		return false
	}
	if r.firstEventSent {
		g.counters.Resumed++
	}
	return true
}

// recomputeFinalInputs has the results that the model endpoint needs computed
// again where they are lost. The request is sent once they exist.
func (g *Gateway) recomputeFinalInputs(r *request) {
	g.recomputeResults(r, r.stages.FinalStages())
	g.advance(r)
}

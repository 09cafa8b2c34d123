package gateway

import (
	"maps"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

const (
	// permitTimeout is how long an instance waits for the reply of the issuer: several
	// round trips between data centres.
	permitTimeout = 150 * time.Millisecond
	// noIssuerPause is how long no permits are asked for while no issuer is known or
	// the issuer does not reply.
	noIssuerPause = 400 * time.Millisecond
	// callPermitTTL is how long a permit for a call to a stage endpoint may be used:
	// until the call is full.
	callPermitTTL = 300 * time.Millisecond
	// freeHoldTime is how long results at a limited endpoint are collected until one
	// call frees them.
	freeHoldTime = time.Second
)

// permitOutcome is the outcome of trying to get a permit.
type permitOutcome int

const (
	// permitIssued means that the request may be sent now.
	permitIssued permitOutcome = iota
	// permitPending means that the issuer has been asked.
	permitPending
	// permitDenied means that there is no permit at present.
	permitDenied
)

// permitWait is a permit that the issuer has been asked for.
type permitWait struct {
	issuer  ident.Instance
	process ident.EndpointProcess
	then    func(issued bool)
	timer   *timer.Timer
}

// heldFree holds the results to free at a limited endpoint.
type heldFree struct {
	handles []message.ResultHandle
	since   time.Time
	waiting bool
}

// permitClient keeps the permits that this instance asks for and has.
type permitClient struct {
	lastID message.PermitID
	waits  map[message.PermitID]permitWait
	// blockedUntil holds when a permit may be had for an endpoint again, and
	// pausedUntil when one may be asked for at all.
	blockedUntil map[ident.EndpointProcess]time.Time
	pausedUntil  time.Time
	// callPermits holds until when a call to a stage endpoint may be sent, and
	// callsAsked the endpoints for which a permit has been asked.
	callPermits map[ident.Endpoint]time.Time
	callsAsked  value.Set[ident.Endpoint]
	// heldFrees holds, by address, the results that are not freed yet.
	heldFrees map[string]*heldFree
}

func newPermitClient() *permitClient {
	return &permitClient{waits: map[message.PermitID]permitWait{}, blockedUntil: map[ident.EndpointProcess]time.Time{}, callPermits: map[ident.Endpoint]time.Time{}, callsAsked: value.NewSet[ident.Endpoint](), heldFrees: map[string]*heldFree{}}
}

// blocked reports whether there is no permit for an endpoint at present.
func (c *permitClient) blocked(now time.Time, p ident.EndpointProcess) bool {
	return c.blockedFor(now, p) > 0
}

// blockedFor returns how long there is no permit for an endpoint.
func (c *permitClient) blockedFor(now time.Time, p ident.EndpointProcess) time.Duration {
	return max(c.pausedUntil.Sub(now), c.blockedUntil[p].Sub(now), 0)
}

// purge forgets what is over.
func (c *permitClient) purge(now time.Time) {
	maps.DeleteFunc(c.blockedUntil, func(_ ident.EndpointProcess, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(c.callPermits, func(_ ident.Endpoint, until time.Time) bool { return !now.Before(until) })
}

// acquirePermit gets a permit to send one request to an endpoint. If the issuer has to
// be asked, then is called later with its reply. An endpoint that is denied counts as
// blocked for a while.
func (g *Gateway) acquirePermit(e *endpoints.Endpoint, then func(issued bool)) permitOutcome {
	now := g.now()
	limit, process := g.limitOf(e), e.Process()
	if limit == ratelimit.Unlimited {
		return permitIssued
	}
	if g.permits.blocked(now, process) {
		return permitDenied
	}
	switch issuer := g.lender.Issuer(now); issuer {
	case "":
		g.permits.pausedUntil = now.Add(tickPeriod)
		return permitDenied
	case g.config.Self.Name:
		issued, wait := g.issuePermit(now, process)
		if !issued {
			g.permits.blockedUntil[process] = now.Add(wait)
			return permitDenied
		}
		return permitIssued
	default:
		g.askForPermit(issuer, process, then)
		return permitPending
	}
}

// issuePermit issues a permit as the issuer.
func (g *Gateway) issuePermit(now time.Time, p ident.EndpointProcess) (bool, time.Duration) {
	limit := g.limits.Rate(p)
	switch {
	case g.shuttingDown:
		return false, noIssuerPause
	case limit == ratelimit.Unlimited:
		return true, 0
	}
	issued, wait := g.issuer.Issue(now, p, limit)
	if issued {
		g.counters.PermitsIssued++
	} else {
		g.counters.PermitsDenied++
	}
	return issued, wait
}

// askForPermit asks the issuer for a permit.
func (g *Gateway) askForPermit(issuer ident.Instance, p ident.EndpointProcess, then func(issued bool)) {
	g.permits.lastID++
	id := g.permits.lastID
	wait := permitWait{issuer: issuer, process: p}
	wait.then = func(issued bool) {
		delete(g.permits.waits, id)
		g.timers.Stop(wait.timer)
		then(issued)
	}
	wait.timer = g.timers.After(permitTimeout, func() {
		g.counters.PermitsTimedOut++
		g.out.LogEvent("permitTimedOut", "endpoint", p.Endpoint, "issuer", issuer)
		g.permits.pausedUntil = g.now().Add(noIssuerPause)
		wait.then(false)
	})
	g.permits.waits[id] = wait
	g.sendToMember(issuer, message.Envelope{PermitRequest: &message.PermitRequest{ID: id, Endpoint: p.Endpoint, Limit: g.limits.Report(g.now(), p)}})
}

// handlePermitRequest issues or denies a permit that another instance asks for.
func (g *Gateway) handlePermitRequest(from ident.Instance, m message.PermitRequest) {
	now := g.now()
	g.limits.Merge(now, m.Endpoint, m.Limit)
	issued, wait := g.issuePermit(now, ident.EndpointProcess{Endpoint: m.Endpoint, StartedUnixMillis: m.Limit.StartedUnixMillis})
	g.sendToMember(from, message.Envelope{PermitReply: &message.PermitReply{ID: m.ID, Issued: issued, RetryAfter: wait}})
}

// handlePermitReply handles the issuer's reply. A late one is ignored.
func (g *Gateway) handlePermitReply(m message.PermitReply) {
	if wait, waiting := g.permits.waits[m.ID]; waiting {
		if !m.Issued {
			g.permits.blockedUntil[wait.process] = g.now().Add(m.RetryAfter)
		}
		wait.then(m.Issued)
	}
}

// abandonPermits ends the waits for an issuer that cannot be reached.
func (g *Gateway) abandonPermits(issuer ident.Instance) {
	if g.lender.Issuer(g.now()) == issuer {
		g.permits.pausedUntil = g.now().Add(noIssuerPause)
	}
	for _, id := range value.SortedKeys(g.permits.waits) {
		if wait, waiting := g.permits.waits[id]; waiting && wait.issuer == issuer {
			wait.then(false)
		}
	}
}

// resumeDispatch goes on with a request once the issuer has replied.
func (g *Gateway) resumeDispatch(r *request, p ident.EndpointProcess, issued bool) {
	r.awaitsPermit = false
	if r.finished {
		return
	}
	if issued {
		r.granted = p
	}
	g.advance(r)
}

// grantedEndpoint returns the endpoint for which a request has a permit, if that may
// still get it, else nil. The permit is used up.
func (g *Gateway) grantedEndpoint(r *request) *endpoints.Endpoint {
	p := r.granted
	r.granted = ident.EndpointProcess{}
	e, now := g.directory.Lookup(p.Endpoint), g.now()
	if e == nil || e.Process() != p || g.withheld(now, e) || e.Ejected(now) || g.excludedFor(r).Has(e.Name) {
		return nil
	}
	return e
}

// mayCall reports whether a call may be sent to a stage endpoint now. If it needs a
// permit, the pool is dispatched again once there is one.
func (g *Gateway) mayCall(e *endpoints.Endpoint, pool ident.Pool) bool {
	now := g.now()
	if !g.recovered(now, e, pool) {
		return false
	}
	if !g.isLimited(e) || now.Before(g.permits.callPermits[e.Name]) {
		return true
	}
	if g.permits.callsAsked.Has(e.Name) {
		return false
	}
	outcome := g.acquirePermit(e, func(issued bool) {
		delete(g.permits.callsAsked, e.Name)
		if issued {
			g.permits.callPermits[e.Name] = g.now().Add(callPermitTTL)
			g.batcher.Dispatch(pool)
		}
	})
	switch outcome {
	case permitIssued:
		g.permits.callPermits[e.Name] = now.Add(callPermitTTL)
	case permitPending:
		g.permits.callsAsked.Add(e.Name)
	}
	return outcome == permitIssued
}

// startCall sends a call to a stage endpoint and uses up its permit.
func (g *Gateway) startCall(c batching.Call) {
	delete(g.permits.callPermits, c.Endpoint)
	g.out.StartCall(c)
}

// inspectEndpoint asks a stage endpoint for its free result capacity, unless it wants no
// requests or has a rate limit: its calls go first.
func (g *Gateway) inspectEndpoint(name ident.Endpoint, address string) {
	if e := g.directory.Lookup(name); e == nil || !g.isLimited(e) && !g.withheld(g.now(), e) {
		g.out.InspectEndpoint(name, address)
	}
}

// freeResults frees results. Those at an endpoint that has a rate limit or wants a rest are
// collected first. Those at one that leaves end with it, and those at an evacuated one by
// themselves.
func (g *Gateway) freeResults(address string, handles []message.ResultHandle) {
	e := g.directory.ByAddress(address)
	if e != nil && (e.IsLeaving() || g.directory.Evacuated(e)) {
		return
	}
	if e == nil || !g.isLimited(e) && e.RestLeft(g.now()) == 0 {
		g.out.FreeResults(address, handles)
		return
	}
	held := g.permits.heldFrees[address]
	if held == nil {
		held = &heldFree{since: g.now()}
		g.permits.heldFrees[address] = held
	}
	held.handles = append(held.handles, handles...)
}

// freeHeldResults frees the collected results of the endpoints for which there is a
// permit.
func (g *Gateway) freeHeldResults(now time.Time) {
	for _, address := range value.SortedKeys(g.permits.heldFrees) {
		held := g.permits.heldFrees[address]
		e := g.directory.ByAddress(address)
		if e == nil || e.IsLeaving() || g.directory.Evacuated(e) {
			delete(g.permits.heldFrees, address)
			continue
		}
		if held.waiting || e.RestLeft(now) > 0 || g.isLimited(e) && now.Sub(held.since) < freeHoldTime {
			continue
		}
		free := func() {
			delete(g.permits.heldFrees, address)
			g.out.FreeResults(address, held.handles)
		}
		outcome := g.acquirePermit(e, func(issued bool) {
			held.waiting = false
			if issued {
				free()
			}
		})
		switch outcome {
		case permitIssued:
			free()
		case permitPending:
			held.waiting = true
		}
	}
}

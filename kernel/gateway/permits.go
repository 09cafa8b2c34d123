package gateway

import (
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/permits"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/value"
)

const (
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

// heldFree holds the results to free at a limited endpoint.
type heldFree struct {
	handles []message.ResultHandle
	since   time.Time
	waiting bool
}

// permitClient keeps the permits that this instance asks for and has.
type permitClient struct {
	*permits.Client
	// callPermits holds until when a call to a stage endpoint may be sent, and
	// callsAsked the endpoints for which a permit has been asked.
	callPermits map[ident.Endpoint]time.Time
	callsAsked  value.Set[ident.Endpoint]
	// heldFrees holds, by address, the results that are not freed yet.
	heldFrees map[string]*heldFree
}

func (g *Gateway) newPermitClient() *permitClient {
	return &permitClient{callPermits: map[ident.Endpoint]time.Time{}, callsAsked: value.NewSet[ident.Endpoint](), heldFrees: map[string]*heldFree{}, Client: permits.NewClient(permits.Config{
		Timers: g.timers,
		Send: func(issuer ident.Instance, m message.PermitRequest) {
			g.sendToMember(issuer, message.Envelope{PermitRequest: &m})
		},
		OnTimeout: func(issuer ident.Instance, p ident.EndpointProcess) {
			g.counters.PermitsTimedOut++
			g.out.LogEvent("permitTimedOut", "endpoint", p.Endpoint, "issuer", issuer)
		},
	})}
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
	if g.permits.BlockedFor(now, process) > 0 {
		return permitDenied
	}
	switch issuer := g.lender.Issuer(now); issuer {
	case "":
		g.permits.Pause(now, tickPeriod)
		return permitDenied
	case g.config.Self.Name:
		reply := g.issuePermit(now, process)
		if !reply.Issued {
			g.permits.Block(now, process, reply.RetryAfter)
			return permitDenied
		}
		return permitIssued
	default:
		m := message.PermitRequest{Endpoint: process.Endpoint, Limit: g.limits.Report(now, process)}
		if g.isCold(e) {
			m.Cold = g.warmup.Report(now, process)
		}
		g.permits.Ask(issuer, process, m, then)
		return permitPending
	}
}

// issuePermit issues a permit as the issuer.
func (g *Gateway) issuePermit(now time.Time, p ident.EndpointProcess) message.PermitReply {
	limit, cold := g.rateOf(p), g.warmup.Cold(now, p)
	switch {
	case g.shuttingDown:
		return message.PermitReply{RetryAfter: permits.NoIssuerPause}
	case limit == ratelimit.Unlimited:
		return message.PermitReply{Issued: true}
	}
	issued, wait := g.issuer.Issue(now, p, limit)
	switch {
	case issued && cold:
		g.counters.ColdPermitsIssued++
	case issued:
		g.counters.PermitsIssued++
	case cold:
		g.counters.ColdPermitsDenied++
	default:
		g.counters.PermitsDenied++
	}
	return message.PermitReply{Issued: issued, RetryAfter: wait, Cold: cold}
}

// handlePermitRequest issues or denies a permit that another instance asks for.
func (g *Gateway) handlePermitRequest(from ident.Instance, m message.PermitRequest) {
	now := g.now()
	p := ident.EndpointProcess{Endpoint: m.Endpoint, StartedUnixMillis: m.Limit.StartedUnixMillis}
	g.limits.Merge(now, m.Endpoint, m.Limit)
	if m.Cold != nil {
		g.warmup.Merge(now, m.Endpoint, *m.Cold)
	}
	reply := g.issuePermit(now, p)
	if reply.ID = m.ID; m.Cold != nil && !reply.Cold {
		reply.Warm = g.warmup.Report(now, p)
	}
	g.sendToMember(from, message.Envelope{PermitReply: &reply})
}

// handlePermitReply handles the issuer's reply. A late one is ignored.
func (g *Gateway) handlePermitReply(m message.PermitReply) {
	p, awaited := g.permits.Awaited(m.ID)
	if !awaited {
		return
	}
	now := g.now()
	if m.Warm != nil {
		g.warmup.Merge(now, p.Endpoint, *m.Warm)
	}
	if m.Issued && !m.Cold && g.warmup.Cold(now, p) {
		m.Issued, m.RetryAfter = false, permits.NoIssuerPause
	}
	g.permits.HandleReply(now, m)
}

// abandonPermits ends the waits for an issuer that cannot be reached.
func (g *Gateway) abandonPermits(issuer ident.Instance) {
	if g.lender.Issuer(g.now()) == issuer {
		g.permits.Pause(g.now(), permits.NoIssuerPause)
	}
	g.permits.Abandon(issuer)
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
			g.permits.callPermits[e.Name] = g.now().Add(g.callPermitTime(e))
			g.batcher.Dispatch(pool)
		}
	})
	switch outcome {
	case permitIssued:
		g.permits.callPermits[e.Name] = now.Add(g.callPermitTime(e))
	case permitPending:
		g.permits.callsAsked.Add(e.Name)
	}
	return outcome == permitIssued
}

// callPermitTime returns how long a permit for a call to a stage endpoint may be used.
func (g *Gateway) callPermitTime(e *endpoints.Endpoint) time.Duration {
	if g.isCold(e) {
		return permitUseTime
	}
	return callPermitTTL
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

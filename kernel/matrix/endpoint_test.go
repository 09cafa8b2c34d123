package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/route"
	"anvilcross/kernel/value"
)

// poison is the text that makes every engine crash when it runs a body that
// contains it.
const poison = "poison"

const (
	plainServiceTime = 10 * time.Millisecond
	prefillTime      = 20 * time.Millisecond
	tokenInterval    = 5 * time.Millisecond
	tokenCount       = 12
	crashDowntime    = 2 * time.Second
)

// execution records that an endpoint ran a non-idempotent stage.
type execution struct {
	endpoint ident.Endpoint
	at       time.Time
}

// endpoint simulates one endpoint of a service.
type endpoint struct {
	sim           *sim
	listing       route.Listing
	service       *configuration.Service
	extraDelay    time.Duration
	repliesToLose int
	repliesTwice  bool
	isLeaving     bool
	downUntil     time.Time
	calls         []*endpointCall // received since the last crash, also ended ones
}

// endpointCall is a call that a process sent to an endpoint. It is kept after it
// has ended.
type endpointCall struct {
	id          globalCallID
	process     *process
	call        node.Call
	endpoint    *endpoint
	isCancelled bool
	isEnded     bool
}

func (sm *sim) createEndpoints() {
	for i := range sm.document.Services {
		s := &sm.document.Services[i]
		for j := range s.Workers {
			l := route.Listing{
				Name:       ident.Endpoint(fmt.Sprintf("%s-%d", s.Name, j+1)),
				Service:    s.Name,
				DataCentre: sm.document.DataCentres[(i+j)%len(sm.document.DataCentres)].Name,
				Address:    "fake",
			}
			sm.listings = append(sm.listings, l)
			sm.endpoints[l.Name] = &endpoint{sim: sm, listing: l, service: s}
		}
	}
}

// plainOutput returns the output of a stage that is not an engine.
func plainOutput(stage, input string) string {
	return fmt.Sprintf("%s:%016x", stage, xxhash.Sum64String(stage+"/"+input))
}

// tokenAt returns the token of an engine's stream at position i.
func tokenAt(input string, i int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", input, i))&0xffff)
}

// streamOutput returns all tokens of an engine's stream.
func streamOutput(input string) string {
	var b strings.Builder
	for i := range tokenCount {
		b.WriteString(tokenAt(input, i))
	}
	return b.String()
}

// startCall sends a process's call to the endpoint. A violation is recorded if
// the process already has the result of the stage.
func (sm *sim) startCall(p *process, c node.Call) {
	sm.trace(p, "call to "+string(c.Endpoint), c.Key, c.Stage)
	e := sm.endpoints[c.Endpoint]
	ec := &endpointCall{id: globalCallID{p.seat, p.incarnation, c.ID}, process: p, call: c, endpoint: e}
	sm.calls[ec.id] = ec
	if sm.completedStages[processStage{p, c.Key, c.Stage}] > 0 && !sm.naive {
		sm.violationf("%s: stage %s is called again although its result is known", c.Key, c.Stage)
	}
	if sm.isNonIdempotent(c.Stage, e.service.Name) {
		sm.runHooks(onNonIdempotentDispatch, p, c.Key)
	} else {
		sm.runHooks(onIdempotentCall, p, c.Key)
	}
	sm.clock.After(sm.linkDelay(p.dc, e), func() { e.receive(ec) })
}

func (sm *sim) linkDelay(from ident.DataCentre, e *endpoint) time.Duration {
	if e.listing.DataCentre != from {
		return crossDataCentreDelay
	}
	return localDelay
}

func (sm *sim) cancelCall(p *process, id ident.CallID) {
	if ec := sm.calls[globalCallID{p.seat, p.incarnation, id}]; ec != nil {
		ec.isCancelled = true
	}
}

// isNonIdempotent reports whether a stage of a service must run at most once.
func (sm *sim) isNonIdempotent(stage ident.Stage, service ident.Service) bool {
	return slices.ContainsFunc(sm.document.Pipelines, func(p configuration.Pipeline) bool {
		return slices.ContainsFunc(p.Stages, func(s configuration.Stage) bool {
			return s.Name == stage && s.Service == service && !s.Idempotent
		})
	})
}

// receive starts the call at the endpoint, or fails it if the endpoint is
// unreachable or is leaving.
func (e *endpoint) receive(ec *endpointCall) {
	sm := e.sim
	switch {
	case sm.isLinkCut(ec.process.dc, e.listing.DataCentre), sm.now().Before(e.downUntil):
		ec.fail(node.NotSent)
	case e.isLeaving:
		ec.fail(node.EndpointLeaving)
	case e.service.Kind == "engine":
		e.calls = append(e.calls, ec)
		if strings.Contains(ec.call.Input, poison) {
			sm.clock.After(prefillTime, e.crashOnPoison)
			return
		}
		sm.clock.After(prefillTime+e.extraDelay, func() { e.streamToken(ec, len(ec.call.ReceivedTokens)) })
	default:
		e.calls = append(e.calls, ec)
		e.recordExecution(ec)
		sm.clock.After(plainServiceTime+e.extraDelay, func() { e.reply(ec, e.output(ec)) })
	}
}

func (e *endpoint) output(ec *endpointCall) string {
	text := plainOutput(string(ec.call.Stage), ec.call.Input)
	if !e.sim.replicasAgree && (e.service.Name == "registry" || e.service.Name == "catalog") {
		// The replicas of this look-up service differ, so two look-ups get
		// the same output only if the first answer was stored and reused.
		text += fmt.Sprintf("@%d", ec.call.ID)
	}
	return text
}

// recordExecution records the execution of a non-idempotent stage. An endpoint
// that deduplicates by key runs a key only once.
func (e *endpoint) recordExecution(ec *endpointCall) {
	sm := e.sim
	if !sm.isNonIdempotent(ec.call.Stage, e.service.Name) {
		return
	}
	name := ec.call.Key.String()
	if e.service.DuplicateCheck == configuration.Deduplicate && len(sm.executions[name]) > 0 {
		return
	}
	sm.executions[name] = append(sm.executions[name], execution{endpoint: e.listing.Name, at: sm.now()})
	sm.runHooks(onNonIdempotentRun, ec.process, ec.call.Key)
}

// streamToken sends the token at position i and schedules the next one, or ends
// the stream.
func (e *endpoint) streamToken(ec *endpointCall, i int) {
	if ec.isEnded || ec.isCancelled {
		ec.isEnded = true
		return
	}
	if i == tokenCount/2 && e.repliesToLose > 0 {
		e.repliesToLose--
		ec.fail(node.ConnectionBroken)
		return
	}
	if i >= tokenCount {
		e.reply(ec, "")
		return
	}
	ec.deliver(func() { ec.process.kernel.HandleToken(ec.call.ID, tokenAt(ec.call.Input, i)) })
	if i == 3 {
		e.sim.runHooks(onToken, ec.process, ec.call.Key)
	}
	e.sim.clock.After(tokenInterval+e.extraDelay/10, func() { e.streamToken(ec, i+1) })
}

// reply ends the call with its result, or breaks the connection if the reply is
// to be lost.
func (e *endpoint) reply(ec *endpointCall, output string) {
	if ec.isEnded {
		return
	}
	if e.repliesToLose > 0 && e.service.Kind != "engine" {
		e.repliesToLose--
		ec.fail(node.ConnectionBroken)
		return
	}
	ec.isEnded = true
	sm := e.sim
	deliverReply := func() {
		if ec.isCancelled {
			return
		}
		sm.completedStages[processStage{ec.process, ec.call.Key, ec.call.Stage}]++
		ec.process.kernel.HandleCallResult(ec.call.ID, node.CallResult{Output: output, Load: &route.Load{Running: len(e.calls)}})
		if sm.isNonIdempotent(ec.call.Stage, e.service.Name) {
			sm.runHooks(onNonIdempotentReply, ec.process, ec.call.Key)
		} else {
			sm.runHooks(onIdempotentReply, ec.process, ec.call.Key)
		}
	}
	ec.deliver(deliverReply)
	if e.repliesTwice {
		sm.clock.After(30*time.Millisecond, func() {
			ec.deliver(func() { ec.process.kernel.HandleCallResult(ec.call.ID, node.CallResult{Output: output}) })
		})
	}
}

func (ec *endpointCall) fail(kind node.CallFailure) {
	if ec.isEnded {
		return
	}
	ec.isEnded = true
	ec.deliver(func() {
		if !ec.isCancelled {
			ec.process.kernel.HandleCallFailure(ec.call.ID, kind, "")
		}
	})
}

// deliver runs an event in the calling process after the link's delay, unless
// the link is cut.
func (ec *endpointCall) deliver(event func()) {
	sm := ec.process.sim
	sm.clock.After(sm.linkDelay(ec.process.dc, ec.endpoint), func() {
		if !sm.isLinkCut(ec.process.dc, ec.endpoint.listing.DataCentre) {
			ec.process.handle(event)
		}
	})
}

// crashOnPoison crashes the endpoint and counts the crash, unless the endpoint is
// down already.
func (e *endpoint) crashOnPoison() {
	if e.sim.now().Before(e.downUntil) {
		return
	}
	e.sim.poisonCrashes++
	e.crash()
}

// crash makes the endpoint unavailable for crashDowntime and breaks all its
// calls.
func (e *endpoint) crash() {
	e.downUntil = e.sim.now().Add(crashDowntime)
	calls := e.calls
	e.calls = nil
	for _, ec := range calls {
		e.sim.trace(ec.process, "crashed "+string(e.listing.Name), ec.call.Key, ec.isEnded)
	}
	for _, ec := range calls {
		if !ec.isCancelled {
			ec.fail(node.ConnectionBroken)
		}
	}
}

// sortedEndpoints returns the endpoints in the order of their names.
func (sm *sim) sortedEndpoints() []*endpoint {
	var endpoints []*endpoint
	for _, name := range value.SortedKeys(sm.endpoints) {
		endpoints = append(endpoints, sm.endpoints[name])
	}
	return endpoints
}

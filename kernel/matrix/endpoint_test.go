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

// poison in a body crashes every engine that runs it.
const poison = "poison"

const (
	plainTime   = 10 * time.Millisecond
	promptTime  = 20 * time.Millisecond
	tokenTime   = 5 * time.Millisecond
	tokenCount  = 12
	crashedTime = 2 * time.Second
)

// execution is an entry in an endpoint's books.
type execution struct {
	endpoint ident.Endpoint
	at       time.Time
}

// fake is one endpoint.
type fake struct {
	world     *world
	listing   route.Listing
	service   *configuration.Service
	slow      time.Duration
	loseNext  int
	doubled   bool
	declining bool
	downUntil time.Time
	flights   []*flight
}

// flight is one call in progress.
type flight struct {
	name      callName
	process   *process
	call      node.Call
	fake      *fake
	cancelled bool
	ended     bool
}

func (w *world) makeEndpoints() {
	for i := range w.document.Services {
		s := &w.document.Services[i]
		for j := range s.Workers {
			l := route.Listing{
				Name:       ident.Endpoint(fmt.Sprintf("%s-%d", s.Name, j+1)),
				Service:    s.Name,
				DataCentre: w.document.DataCentres[(i+j)%len(w.document.DataCentres)].Name,
				Address:    "fake",
			}
			w.list = append(w.list, l)
			w.endpoints[l.Name] = &fake{world: w, listing: l, service: s}
		}
	}
}

func plainOutput(stage, input string) string {
	return fmt.Sprintf("%s:%016x", stage, xxhash.Sum64String(stage+"/"+input))
}

func tokenAt(input string, i int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%s/%d", input, i))&0xffff)
}

func streamOutput(input string) string {
	var b strings.Builder
	for i := range tokenCount {
		b.WriteString(tokenAt(input, i))
	}
	return b.String()
}

// call carries a kernel's call to the endpoint.
func (w *world) call(p *process, c node.Call) {
	w.trace(p, "call to "+string(c.Endpoint), c.Key, c.Stage)
	e := w.endpoints[c.Endpoint]
	f := &flight{name: callName{p.seat, p.incarnation, c.ID}, process: p, call: c, fake: e}
	w.calls[f.name] = f
	if w.paid[paidName{p, c.Key, c.Stage}] > 0 && !w.naive {
		w.problemf("%s: stage %s is paid again although its result is known", c.Key, c.Stage)
	}
	if w.once(c.Stage, e.service.Name) {
		w.fire(onDispatch, p, c.Key)
	} else {
		w.fire(onFirstCall, p, c.Key)
	}
	w.clock.After(w.linkDelay(p.dc, e), func() { e.arrive(f) })
}

func (w *world) linkDelay(from ident.DataCentre, e *fake) time.Duration {
	if e.listing.DataCentre != from {
		return farDelay
	}
	return nearDelay
}

func (w *world) cancel(p *process, id ident.CallID) {
	if f := w.calls[callName{p.seat, p.incarnation, id}]; f != nil {
		f.cancelled = true
	}
}

// once reports whether a stage of a service must run at most once.
func (w *world) once(stage ident.Stage, service ident.Service) bool {
	return slices.ContainsFunc(w.document.Pipelines, func(p configuration.Pipeline) bool {
		return slices.ContainsFunc(p.Stages, func(s configuration.Stage) bool {
			return s.Name == stage && s.Service == service && !s.Idempotent
		})
	})
}

// arrive starts a call at the endpoint.
func (e *fake) arrive(f *flight) {
	w := e.world
	switch {
	case w.isCut(f.process.dc, e.listing.DataCentre), w.now().Before(e.downUntil):
		f.fail(node.NotSent)
	case e.declining:
		f.fail(node.EndpointLeaving)
	case e.service.Kind == "engine":
		e.flights = append(e.flights, f)
		if strings.Contains(f.call.Input, poison) {
			w.clock.After(promptTime, e.crashByPoison)
			return
		}
		w.clock.After(promptTime+e.slow, func() { e.token(f, len(f.call.ReceivedTokens)) })
	default:
		e.flights = append(e.flights, f)
		e.execute(f)
		w.clock.After(plainTime+e.slow, func() { e.finish(f, e.output(f)) })
	}
}

func (e *fake) output(f *flight) string {
	out := plainOutput(string(f.call.Stage), f.call.Input)
	if !e.world.agreeing && (e.service.Name == "registry" || e.service.Name == "catalog") {
		// A directory whose replicas differ: only a remembered answer can
		// be the same twice.
		out += fmt.Sprintf("@%d", f.call.ID)
	}
	return out
}

// execute enters a call with an effect into the books.
func (e *fake) execute(f *flight) {
	w := e.world
	if !w.once(f.call.Stage, e.service.Name) {
		return
	}
	name := f.call.Key.String()
	if e.service.DuplicateCheck == configuration.Deduplicate && len(w.books[name]) > 0 {
		return
	}
	w.books[name] = append(w.books[name], execution{endpoint: e.listing.Name, at: w.now()})
	w.fire(onExecute, f.process, f.call.Key)
}

// token streams the next token, or ends the stream.
func (e *fake) token(f *flight, i int) {
	if f.ended || f.cancelled {
		f.ended = true
		return
	}
	if i == tokenCount/2 && e.loseNext > 0 {
		e.loseNext--
		f.fail(node.ConnectionBroken)
		return
	}
	if i >= tokenCount {
		e.finish(f, "")
		return
	}
	f.deliver(func() { f.process.kernel.CallToken(f.call.ID, tokenAt(f.call.Input, i)) })
	if i == 3 {
		e.world.fire(onToken, f.process, f.call.Key)
	}
	e.world.clock.After(tokenTime+e.slow/10, func() { e.token(f, i+1) })
}

// finish replies, unless the reply is to be lost.
func (e *fake) finish(f *flight, output string) {
	if f.ended {
		return
	}
	if e.loseNext > 0 && e.service.Kind != "engine" {
		e.loseNext--
		f.fail(node.ConnectionBroken)
		return
	}
	f.ended = true
	w := e.world
	reply := func() {
		if f.cancelled {
			return
		}
		w.paid[paidName{f.process, f.call.Key, f.call.Stage}]++
		f.process.kernel.CallDone(f.call.ID, node.CallResult{Output: output, Load: &route.Load{Running: len(e.flights)}})
		if w.once(f.call.Stage, e.service.Name) {
			w.fire(onOrderReply, f.process, f.call.Key)
		} else {
			w.fire(onFirstDone, f.process, f.call.Key)
		}
	}
	f.deliver(reply)
	if e.doubled {
		w.clock.After(30*time.Millisecond, func() {
			f.deliver(func() { f.process.kernel.CallDone(f.call.ID, node.CallResult{Output: output}) })
		})
	}
}

func (f *flight) fail(kind node.CallFailure) {
	if f.ended {
		return
	}
	f.ended = true
	f.deliver(func() {
		if !f.cancelled {
			f.process.kernel.CallFailed(f.call.ID, kind, "")
		}
	})
}

// deliver brings an event back to the calling process; a cut link swallows it.
func (f *flight) deliver(event func()) {
	w := f.process.world
	w.clock.After(w.linkDelay(f.process.dc, f.fake), func() {
		if !w.isCut(f.process.dc, f.fake.listing.DataCentre) {
			f.process.do(event)
		}
	})
}

// crashByPoison counts a crash unless another copy has caused it already.
func (e *fake) crashByPoison() {
	if e.world.now().Before(e.downUntil) {
		return
	}
	e.world.crashes++
	e.crash()
}

// crash breaks everything that runs on the endpoint.
func (e *fake) crash() {
	e.downUntil = e.world.now().Add(crashedTime)
	flights := e.flights
	e.flights = nil
	for _, f := range flights {
		e.world.trace(f.process, "crashed "+string(e.listing.Name), f.call.Key, f.ended)
	}
	for _, f := range flights {
		if !f.cancelled {
			f.fail(node.ConnectionBroken)
		}
	}
}

func (w *world) fakes() []*fake {
	var all []*fake
	for _, name := range value.SortedKeys(w.endpoints) {
		all = append(all, w.endpoints[name])
	}
	return all
}

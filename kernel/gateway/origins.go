package gateway

import (
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/published"
	"anvilcross/kernel/survey"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

const (
	// originRetention is how long keepers remember a stream, longer than its caller may
	// take it up, and maxOrigins how many streams one keeper remembers.
	originRetention = time.Minute
	maxOrigins      = 50_000
	// originKeepers is the number of instances that are told of each stream.
	// originAsked is the number that is asked, since instances that started meanwhile may
	// have taken the places of some keepers.
	originKeepers = 3
	originAsked   = 5
	// lookupTimeout is how long an instance waits for keepers: several round trips between
	// data centres.
	lookupTimeout = 150 * time.Millisecond
	// maxSurveyors is the number of surveyors that are asked in turn until one replies.
	maxSurveyors = 2
	// maxEntriesPerMessage limits the streams in one message.
	maxEntriesPerMessage = 500
)

// originLookup is a search for the origin of a stream that a request takes up.
type originLookup struct {
	request *request
	// waiting is the number of replies that have not come.
	waiting int
	timer   *timer.Timer
	// surveyors are the instances that have been asked to survey endpoints since no keeper knew
	// the stream.
	surveyors value.Set[ident.Instance]
	// replied is set once another instance has replied.
	replied bool
}

// originLookups holds the searches of this instance.
type originLookups struct {
	lastID  message.LookupID
	pending map[message.LookupID]*originLookup
}

func newOriginLookups() *originLookups {
	return &originLookups{pending: map[message.LookupID]*originLookup{}}
}

// takesUp reports whether a request takes up a stream whose beginning its caller has.
func (r *request) takesUp() bool {
	return r.route.Kind == published.Stream && r.route.Resumable && r.incoming.LastEventID != ""
}

// streamID returns the id under which a stream is kept: that of the request that brought
// its first event.
func (r *request) streamID() ident.RequestID {
	if r.takesUp() {
		return r.incoming.Resumes
	}
	return r.incoming.ID
}

// keepersOf returns the instances that are to know a stream, by rank.
func (g *Gateway) keepersOf(stream ident.RequestID, count int) []ident.Instance {
	return g.members.Ranked(g.now(), "stream/"+string(stream), count)
}

// recordBegun keeps which version began a stream, and tells its keepers, when an event is
// about to be the first that this request brings.
func (g *Gateway) recordBegun(r *request) {
	if r.firstEventSent || !r.route.Resumable {
		return
	}
	r.origin = origin.Origin{Service: r.service, Version: r.attempt.version}
	if r.origin.Known() && r.streamID() != "" {
		g.tellKeepers([]origin.Entry{{Stream: r.streamID(), Origin: r.origin}})
	}
}

// tellKeepers tells the keepers of streams their origins.
func (g *Gateway) tellKeepers(entries []origin.Entry) {
	byKeeper := map[ident.Instance][]origin.Entry{}
	for _, e := range entries {
		for _, keeper := range g.keepersOf(e.Stream, originKeepers) {
			byKeeper[keeper] = append(byKeeper[keeper], e)
		}
	}
	for _, keeper := range value.SortedKeys(byKeeper) {
		if keeper == g.config.Self.Name {
			g.recordOrigins(byKeeper[keeper])
			continue
		}
		for part := range slices.Chunk(byKeeper[keeper], maxEntriesPerMessage) {
			g.sendToMember(keeper, message.Envelope{StreamOrigins: &message.StreamOrigins{Streams: part}})
		}
	}
}

func (g *Gateway) recordOrigins(entries []origin.Entry) {
	for _, e := range entries {
		if e.Known() {
			g.origins.Record(g.now(), e)
		}
	}
}

// handOverOrigins tells what this instance keeps to those that keep it from now on.
func (g *Gateway) handOverOrigins() { g.tellKeepers(g.origins.Entries(g.now())) }

// lookUpOrigin finds out which version began the stream that a request takes up. The
// request is not sent before.
func (g *Gateway) lookUpOrigin(r *request) {
	if o, known := g.origins.Lookup(r.streamID()); known {
		g.resolveOrigin(r, o, "kept")
		return
	}
	r.awaitsOrigin = true
	g.lookups.lastID++
	id := g.lookups.lastID
	l := &originLookup{request: r, surveyors: value.NewSet[ident.Instance]()}
	g.lookups.pending[id] = l
	l.timer = g.timers.After(lookupTimeout, func() { g.surveyPrompts(id) })
	for _, keeper := range g.keepersOf(r.streamID(), originAsked) {
		if keeper != g.config.Self.Name && r.streamID() != "" {
			l.waiting++
			g.sendToMember(keeper, message.Envelope{OriginRequest: &message.OriginRequest{ID: id, Stream: r.streamID()}})
		}
	}
	if l.waiting == 0 {
		g.surveyPrompts(id)
	}
}

// surveyPrompts has the surveyor ask the endpoints that may have begun a stream whether
// they hold its prompt, because no keeper remembers the stream.
func (g *Gateway) surveyPrompts(id message.LookupID) {
	l := g.lookups.pending[id]
	g.timers.Stop(l.timer)
	prompt := l.request.incoming.Prompt
	surveyors := g.surveyorsFor(l)
	if len(prompt) == 0 || len(surveyors) == 0 {
		g.finishLookup(id, origin.Origin{}, "none")
		return
	}
	m := message.OriginRequest{ID: id, Services: l.request.route.Services(), Part: ident.PromptPart(prompt[len(prompt)-1].ID), RanTokens: g.ranTokens(l.request)}
	g.sendToMember(surveyors[0], message.Envelope{OriginRequest: &m})
	l.surveyors.Add(surveyors[0])
	l.waiting = 1
	l.timer = g.timers.After(lookupTimeout+survey.Timeout, func() { g.surveyPrompts(id) })
}

// surveyorsFor returns the instances that may survey endpoints for a lookup and have not been
// asked. An instance that hears from no other one is none: endpoints may have joined of which it
// does not know.
func (g *Gateway) surveyorsFor(l *originLookup) []ident.Instance {
	heard := l.replied || g.members.KnownCount() == 1
	return slices.DeleteFunc(g.members.Ranked(g.now(), "prompts", maxSurveyors), func(name ident.Instance) bool {
		return l.surveyors.Has(name) || !heard && name == g.config.Self.Name
	})
}

// handleOriginRequest answers another instance's question, or this one's own. Without recent
// news of the platform it surveys no endpoints, since it may not know all of them.
func (g *Gateway) handleOriginRequest(from ident.Instance, m message.OriginRequest) {
	if len(m.Services) > 0 && !g.hasRecentNews(g.now()) {
		g.replyOrigin(from, message.OriginReply{ID: m.ID, Unsure: true}, origin.Origin{}, false)
		return
	}
	if len(m.Services) > 0 {
		g.survey.Ask(&survey.Question{Services: m.Services, Part: m.Part, RanTokens: m.RanTokens, Reply: func(r survey.Result) {
			g.replyOrigin(from, message.OriginReply{ID: m.ID, Unsure: r.Unsure}, r.Origin, r.Proved)
		}})
		return
	}
	o, known := g.origins.Lookup(m.Stream)
	g.replyOrigin(from, message.OriginReply{ID: m.ID}, o, known)
}

func (g *Gateway) replyOrigin(to ident.Instance, reply message.OriginReply, o origin.Origin, known bool) {
	if known {
		reply.Origin = &o
	}
	g.sendToMember(to, message.Envelope{OriginReply: &reply})
}

// handleOriginReply handles the answer of a keeper or of the surveyor. A late one is
// ignored.
func (g *Gateway) handleOriginReply(from ident.Instance, m message.OriginReply) {
	l := g.lookups.pending[m.ID]
	if l == nil {
		return
	}
	l.waiting--
	l.replied = l.replied || from != g.config.Self.Name
	switch {
	case m.Origin != nil && len(l.surveyors) > 0:
		g.finishLookup(m.ID, *m.Origin, "prompt held")
	case m.Origin != nil:
		g.finishLookup(m.ID, *m.Origin, "keeper")
	case l.waiting > 0:
	case len(l.surveyors) > 0 && !m.Unsure:
		g.finishLookup(m.ID, origin.Origin{}, "prompt not held")
	default:
		g.surveyPrompts(m.ID)
	}
}

// finishLookup ends a search. The origin is empty if it was not found.
func (g *Gateway) finishLookup(id message.LookupID, o origin.Origin, source string) {
	l := g.lookups.pending[id]
	delete(g.lookups.pending, id)
	g.timers.Stop(l.timer)
	l.request.awaitsOrigin = false
	if !l.request.finished {
		g.resolveOrigin(l.request, o, source)
		g.advance(l.request)
	}
}

// resolveOrigin binds a request to the version that began its stream, or answers it if
// nothing can go on with the stream.
func (g *Gateway) resolveOrigin(r *request, o origin.Origin, source string) {
	g.out.LogEvent("originResolved", "request", r.incoming.ID, "stream", r.streamID(), "service", o.Service, "originVersion", o.Version, "source", source)
	if !o.Known() || !slices.Contains(r.route.Services(), o.Service) {
		g.answer(r, NotRun, 0, "the software version that began the stream is not known")
		return
	}
	r.origin, r.service = o, o.Service
	if !g.canGoOn(r) {
		g.answer(r, NotRun, busyRetryAfter, "no endpoint has the software version that began the stream")
	}
}

// canGoOn reports whether an endpoint may get the stream that a request has begun or takes
// up.
func (g *Gateway) canGoOn(r *request) bool {
	excluded := g.excludedFor(r)
	return slices.ContainsFunc(g.directory.ByService(r.service), func(e *endpoints.Endpoint) bool {
		return !e.IsLeaving() && !g.directory.Evacuated(e) && !excluded.Has(e.Name)
	})
}

// excludedFor returns the endpoints that must not get a request: those at which it failed
// and those that barredEndpoints returns.
func (g *Gateway) excludedFor(r *request) value.Set[ident.Endpoint] {
	barred := g.barredEndpoints(r)
	if len(barred) == 0 {
		return r.excluded
	}
	maps.Copy(barred, r.excluded)
	return barred
}

// barredEndpoints returns the endpoints that must not get a request: those outside its regions
// and, once its stream has begun, those of other software versions than began it.
func (g *Gateway) barredEndpoints(r *request) value.Set[ident.Endpoint] {
	barred := g.outsideBound(r)
	if !r.firstEventSent && !r.takesUp() {
		return barred
	}
	if barred == nil {
		barred = value.NewSet[ident.Endpoint]()
	}
	for _, e := range g.directory.ByService(r.service) {
		if e.Version != r.origin.Version || !r.origin.Known() {
			barred.Add(e.Name)
		}
	}
	return barred
}

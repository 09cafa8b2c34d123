package gateway

import (
	"math"
	"slices"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// resubmitAfter is how long pieces may be outstanding at a living
	// batcher before they are sent again: three full calls. What the
	// batcher has already is not made twice.
	resubmitAfter = 2 * time.Second
	// stageEstimate is the time that a later stage takes: a full call and
	// the wait for a free endpoint.
	stageEstimate = 450 * time.Millisecond
	// answerEstimate is the time from a model endpoint's getting the request
	// to its first event at a moderate load.
	answerEstimate = 200 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller may come
	// back: a call of a stage.
	minRetryAfter = 300 * time.Millisecond
	// maxRemakes bounds how often lost inputs of a request are made again.
	maxRemakes = 4
)

// plan sets up the stages that a request has pieces for.
func (g *Gateway) plan(r *request) {
	for i, s := range r.route.Stages {
		pieces := 0
		if i < len(r.arrival.PieceCounts) {
			pieces = r.arrival.PieceCounts[i]
		}
		r.stages = append(r.stages, stageState{stage: s, pieces: pieces, handles: make([]message.ResultHandle, pieces), missing: pieces, taken: value.NewSet[int]()})
	}
	for _, s := range r.stages {
		for _, after := range s.stage.After {
			if s.pieces > 0 {
				r.stages[after].followed = true
			}
		}
	}
	r.prefer = g.homeCentre(r)
}

// advance does what can be done next: submits stages whose inputs are there,
// or sends the request when all stages are done.
func (g *Gateway) advance(r *request) {
	if r.finished {
		return
	}
	complete := true
	for i := range r.stages {
		s := &r.stages[i]
		if s.missing == 0 || r.consumed(i) {
			continue
		}
		complete = false
		if !s.submitted && g.inputsThere(r, s) {
			g.submit(r, i)
		}
	}
	if complete && r.attempt == nil {
		g.dispatch(r)
	}
}

// consumed reports whether all pieces that need a stage's results are done. If
// room is short it is enough that they have fetched them: a piece that fails
// after that has its inputs made again.
func (r *request) consumed(index int) bool {
	early := r.stages[index].scarce
	for i := range r.stages {
		s := &r.stages[i]
		if s.missing > 0 && !(early && s.fetched()) && slices.Contains(s.stage.After, index) {
			return false
		}
	}
	return r.stages[index].followed
}

// fetched reports whether no piece of the stage needs its inputs any more.
func (s *stageState) fetched() bool {
	if s.missing == 0 {
		return true
	}
	for i, h := range s.handles {
		if h == "" && !s.taken.Has(i) {
			return false
		}
	}
	return true
}

func (g *Gateway) inputsThere(r *request, s *stageState) bool {
	for _, after := range s.stage.After {
		if r.stages[after].missing > 0 || r.stages[after].released {
			return false
		}
	}
	return true
}

func (r *request) inputs(s *stageState) []message.ResultHandle {
	var inputs []message.ResultHandle
	for _, after := range s.stage.After {
		inputs = append(inputs, r.stages[after].handles...)
	}
	return inputs
}

// finalInputs are the results that the model endpoint fetches.
func (r *request) finalInputs() []message.ResultHandle {
	var inputs []message.ResultHandle
	for i := range r.stages {
		if !r.stages[i].followed {
			inputs = append(inputs, r.stages[i].handles...)
		}
	}
	return inputs
}

// chainAfter returns how many further stages depend on a stage, in a row.
func (r *request) chainAfter(index int) int {
	longest := 0
	for i := range r.stages {
		if r.stages[i].pieces > 0 && i > index && slices.Contains(r.stages[i].stage.After, index) {
			longest = max(longest, 1+r.chainAfter(i))
		}
	}
	return longest
}

// chainServices returns the services that depend on a stage's results.
func (r *request) chainServices(index int) []ident.Service {
	var services []ident.Service
	for i := range r.stages {
		s := &r.stages[i]
		if s.pieces > 0 && i > index && slices.Contains(s.stage.After, index) {
			services = append(services, s.stage.Service)
			services = append(services, r.chainServices(i)...)
		}
	}
	return services
}

// readers returns how often each result of a stage is fetched: by every piece
// of the stages that need it, or by the model endpoint.
func (r *request) readers(index int) int {
	if !r.stages[index].followed {
		return 1
	}
	readers := 0
	for i := range r.stages {
		if slices.Contains(r.stages[i].stage.After, index) {
			readers += r.stages[i].pieces
		}
	}
	return readers
}

// submit sends a stage's missing pieces to the instance that batches for its
// service.
func (g *Gateway) submit(r *request, index int) {
	s := &r.stages[index]
	now := g.now()
	s.submitted = true
	s.sentAt = now
	s.owner = g.batcherOf(s.stage.Service)
	s.incarnation = g.members.Incarnation(s.owner)
	var pieces []int
	for i, h := range s.handles {
		if h == "" {
			pieces = append(pieces, i)
		}
	}
	due := r.objective.Add(-answerEstimate - time.Duration(r.chainAfter(index))*stageEstimate)
	w := message.StageWork{
		Request:     r.arrival.ID,
		Service:     s.stage.Service,
		Stage:       index,
		Pieces:      pieces,
		ResultBytes: s.stage.ResultBytes,
		Readers:     r.readers(index),
		Due:         due.Sub(now),
		Deadline:    r.useful.Sub(now) - answerEstimate - time.Duration(r.chainAfter(index))*g.callTime(s.stage.Service),
		Prefer:      r.prefer,
		Weight:      r.weight(),
		Anew:        s.anew,
		Begun:       r.remakes > 0,
	}
	s.anew = false
	if len(s.stage.After) == 0 {
		w.Key = r.arrival.PieceKey
		w.Chain = r.chainServices(index)
	} else {
		w.Inputs = r.inputs(s)
		for _, after := range s.stage.After {
			w.InputBytes = max(w.InputBytes, r.stages[after].stage.ResultBytes)
			w.InputsScarce = w.InputsScarce || r.stages[after].scarce
		}
	}
	g.sendTo(s.owner, message.Envelope{StageWork: &w})
}

// weightBase is the ratio of the weights of two neighbouring priorities: a
// request goes before three of the next lower priority.
const weightBase = 3.0

// weight ranks the request against others when not all can be on time. The
// workspace's priority goes before that of the route.
func (r *request) weight() float64 {
	priority := r.route.Priority
	if r.space != nil && r.space.HasPriority {
		priority = r.space.Priority
	}
	return math.Pow(weightBase, -float64(priority))
}

// handleResults takes in what became of pieces.
func (g *Gateway) handleResults(m message.StageResults) {
	touched := map[RequestHandle]*request{}
	for _, p := range m.Results {
		r := g.byID[p.ID.Request]
		if r == nil || p.ID.Stage >= len(r.stages) || p.ID.Piece >= r.stages[p.ID.Stage].pieces {
			g.giveBack(m.Service, p)
			continue
		}
		s := &r.stages[p.ID.Stage]
		switch p.Outcome {
		case message.PieceDone:
			if s.handles[p.ID.Piece] != "" || s.released {
				if s.handles[p.ID.Piece] != p.Handle {
					g.giveBack(m.Service, p)
				}
				continue
			}
			s.handles[p.ID.Piece] = p.Handle
			s.missing--
			s.scarce = s.scarce || m.Scarce
		case message.PieceInputGone:
			if !s.submitted {
				continue
			}
			s.submitted = false
			clear(s.taken)
			g.remake(r, s.stage.After)
		case message.PieceRefused:
			g.answer(r, g.lossOf(r), g.comeBack(r, p.RetryAfter), "no room at stage "+string(m.Service))
			continue
		case message.PieceMoved:
			s.submitted = false
			g.counters.PiecesMoved++
		default:
			g.answer(r, g.lossOf(r), busyRetryAfter, "stage piece "+string(p.Outcome))
			continue
		}
		touched[r.handle] = r
	}
	for _, h := range value.SortedKeys(touched) {
		r := touched[h]
		g.releaseConsumed(r)
		g.advance(r)
	}
}

// handleTaken frees the inputs of pieces that have fetched them.
func (g *Gateway) handleTaken(m message.StageTaken) {
	touched := map[RequestHandle]*request{}
	for _, id := range m.Pieces {
		r := g.byID[id.Request]
		if r == nil || id.Stage >= len(r.stages) || id.Piece >= r.stages[id.Stage].pieces {
			continue
		}
		r.stages[id.Stage].taken.Add(id.Piece)
		touched[r.handle] = r
	}
	for _, h := range value.SortedKeys(touched) {
		g.releaseConsumed(touched[h])
	}
}

// comeBack is when a refused caller may come back: after the given time, but
// early enough to be served then.
func (g *Gateway) comeBack(r *request, after time.Duration) time.Duration {
	return max(min(after, r.deadline.Sub(g.now())/3), minRetryAfter)
}

// shortestChain is the least time in which a request's stages can be done.
func (g *Gateway) shortestChain(r *request) time.Duration {
	longest := time.Duration(0)
	for i := range r.stages {
		s := &r.stages[i]
		if s.pieces > 0 {
			longest = max(longest, time.Duration(1+r.chainAfter(i))*g.callTime(s.stage.Service))
		}
	}
	return longest
}

// callTime is the time of a call for one piece of a service.
func (g *Gateway) callTime(s ident.Service) time.Duration {
	if b := g.batches(s); b != nil {
		return b.CallTime + b.PieceTime
	}
	return 0
}

// lossOf is what a request is told that cannot be served any more.
func (g *Gateway) lossOf(r *request) Answer {
	if r.mayRun {
		return MayHaveRun
	}
	return NotRun
}

// giveBack frees a result that nobody here needs.
func (g *Gateway) giveBack(s ident.Service, p message.PieceResult) {
	if p.Handle == "" {
		return
	}
	g.sendTo(g.batcherOf(s), message.Envelope{StageRelease: &message.StageRelease{Service: s, Request: p.ID.Request, Handles: []message.ResultHandle{p.Handle}}})
}

// remake lets results of stages be made again, and ends the request if that
// has happened too often.
func (g *Gateway) remake(r *request, indexes []int) {
	r.remakes++
	g.counters.InputsRemade++
	if r.remakes > maxRemakes {
		g.answer(r, g.lossOf(r), busyRetryAfter, "stage results lost repeatedly")
		return
	}
	g.out.LogEvent("resultsLost", "request", r.arrival.ID, "stages", indexes, "remakes", r.remakes)
	g.forget(r, indexes)
}

// forget drops results of stages that are lost: those whose maker is gone or
// out of reach, or all of them if that explains nothing. What they were made
// from is dropped too if it was given back already.
func (g *Gateway) forget(r *request, indexes []int) {
	now := g.now()
	found := false
	for pass := 0; pass < 2 && !found; pass++ {
		for _, index := range indexes {
			s := &r.stages[index]
			for i, h := range s.handles {
				e := g.book.At(batching.Address(h))
				if h == "" || pass == 0 && !s.released && e != nil && !e.Ejected(now) {
					continue
				}
				found = true
				s.handles[i] = ""
				s.missing++
				s.submitted, s.anew = false, true
				delete(s.taken, i)
			}
			s.released = s.released && s.missing == 0
		}
	}
	for _, index := range indexes {
		if s := &r.stages[index]; s.missing > 0 {
			g.forget(r, r.givenBack(s.stage.After))
		}
	}
}

// givenBack returns those of the stages whose results were freed.
func (r *request) givenBack(indexes []int) []int {
	var freed []int
	for _, index := range indexes {
		if r.stages[index].released {
			freed = append(freed, index)
		}
	}
	return freed
}

// releaseConsumed gives back the results that all later stages have used.
func (g *Gateway) releaseConsumed(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.followed && s.missing == 0 && !s.released && r.consumed(i) {
			g.release(r, s, false)
		}
	}
}

// releaseAll gives back and withdraws all that a request has at batchers.
func (g *Gateway) releaseAll(r *request) {
	for i := range r.stages {
		s := &r.stages[i]
		if s.pieces > 0 && (s.submitted || s.missing < s.pieces) && !s.released {
			g.release(r, s, s.missing > 0)
		}
	}
}

func (g *Gateway) release(r *request, s *stageState, withdraw bool) {
	s.released = true
	m := message.StageRelease{Service: s.stage.Service, Request: r.arrival.ID, Withdrawn: withdraw}
	for _, h := range s.handles {
		if h != "" {
			m.Handles = append(m.Handles, h)
		}
	}
	owner := s.owner
	if !g.members.Alive(g.now(), owner) {
		owner = g.batcherOf(s.stage.Service)
	}
	g.sendTo(owner, message.Envelope{StageRelease: &m})
}

// reviewPieces sends outstanding pieces again whose batcher is gone, was
// replaced, or has been silent for long.
func (g *Gateway) reviewPieces(now time.Time) {
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		if r == nil {
			continue
		}
		for i := range r.stages {
			s := &r.stages[i]
			if !s.submitted || s.missing == 0 || s.released {
				continue
			}
			lost := !g.members.Reachable(now, s.owner)
			replaced := g.members.Incarnation(s.owner) != s.incarnation
			if lost || replaced || now.Sub(s.sentAt) > resubmitAfter {
				g.counters.PiecesResubmitted += s.missing
				if lost || replaced {
					clear(s.taken)
				}
				g.out.LogEvent("piecesResubmitted", "request", r.arrival.ID, "stage", i, "pieces", s.missing, "batcher", s.owner, "lost", lost, "replaced", replaced, "age", now.Sub(s.sentAt))
				g.submit(r, i)
			}
		}
	}
}

package node

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ticket"
	"anvilcross/kernel/value"
)

const (
	// handOverPeriod is how often a stopping instance looks whether its
	// requests are done, and repeats unconfirmed messages.
	handOverPeriod = 50 * time.Millisecond
	maxHandOvers   = 20
	// handOverPortion is the number of entries of one kind in one message.
	handOverPortion = 200
	// heardLately is how recent the sign of life of a successor must be.
	heardLately = 5 * time.Second
)

// handOver is the progress of a planned stop.
type handOver struct {
	done      func()
	successor ident.Instance
	refused   value.Set[ident.Instance]
	parts     []message.HandOver
	kept      value.Set[int]
	tries     int
}

// legacy is what a stopped process of a seat left here.
type legacy struct {
	issuers []issuer
	memory  message.SeatMemory
	parts   value.Set[int]
	whole   bool
	at      time.Time
}

// BeginDrain makes the node report that it is not ready, so that the balancer
// sends new requests elsewhere.
func (n *Node) BeginDrain() { n.draining = true }

// Stop ends the node without cutting anything off: it finishes what is in
// flight, hands its tickets and its seat's memory over and calls done. It is
// not ready meanwhile.
func (n *Node) Stop(done func()) {
	if n.handOver != nil {
		return
	}
	n.draining = true
	n.handOver = &handOver{done: done, kept: value.NewSet[int](), refused: value.NewSet[ident.Instance]()}
	n.event("stopping", ident.Key{}, "")
	n.stopStep()
}

// UnfinishedRequests returns the number of requests without an answer.
func (n *Node) UnfinishedRequests() int {
	count := 0
	for _, r := range n.runs {
		if r.phase != done {
			count++
		}
	}
	return count
}

func (n *Node) stopStep() {
	h := n.handOver
	switch {
	case n.UnfinishedRequests() > 0 && !n.retired:
	case h.successor == "":
		n.startHandOver()
	case len(h.kept) == len(h.parts) || h.tries >= maxHandOvers:
		n.announceSuccessor()
		n.event("stopped", ident.Key{}, string(h.successor))
		h.done()
		return
	default:
		n.sendHandOver()
	}
	n.timers.After(handOverPeriod, n.stopStep)
}

// startHandOver retires this process and names a successor. It names another
// one only after a refusal: one that did not answer may have taken over.
func (n *Node) startHandOver() {
	h := n.handOver
	n.retired = true
	h.successor = n.chooseSuccessor()
	h.tries = 0
	if h.successor == "" {
		// Everyone else is stopping too; there is nobody to hand over to.
		h.successor = n.config.Seat
		h.parts = nil
		h.kept = value.NewSet[int]()
		return
	}
	if h.parts == nil {
		h.parts = n.portions()
	}
	n.sendHandOver()
}

// chooseSuccessor prefers an instance of the same data centre, and one that
// was heard of lately.
func (n *Node) chooseSuccessor() ident.Instance {
	best := []ident.Instance{}
	most := 0
	for _, peer := range n.peers {
		if n.handOver.refused.Has(peer) {
			continue
		}
		score := 1
		if n.now().Sub(n.heard[peer]) < heardLately {
			score += 2
		}
		if n.document.SeatDataCentre(peer) == n.config.DataCentre {
			score++
		}
		if score > most {
			best, most = nil, score
		}
		if score == most {
			best = append(best, peer)
		}
	}
	if len(best) == 0 {
		return ""
	}
	return best[n.config.Random.IntN(len(best))]
}

// portions cuts everything that is handed over into messages.
func (n *Node) portions() []message.HandOver {
	finished := n.finishedTickets()
	claims := n.memory.Records()
	answers := n.remembered.EntriesMatching(func(ident.Key) bool { return true })
	count := max(portionCount(len(finished)), portionCount(len(claims)), portionCount(len(answers)), 1)
	parts := make([]message.HandOver, count)
	for i := range parts {
		parts[i] = message.HandOver{
			From:      issuer{Instance: n.config.Seat, Incarnation: n.config.Incarnation},
			Issuers:   n.tickets.own,
			Part:      i + 1,
			PartCount: count,
			Finished:  portion(finished, i),
			Memory: message.SeatMemory{
				Epoch:         n.memory.Epoch(),
				CompleteSince: n.memory.CompleteSince(),
				Claims:        portion(claims, i),
				Answers:       portion(answers, i),
			},
		}
	}
	return parts
}

func portionCount(n int) int { return (n + handOverPortion - 1) / handOverPortion }

func portion[T any](all []T, i int) []T {
	return all[min(i*handOverPortion, len(all)):min((i+1)*handOverPortion, len(all))]
}

func (n *Node) finishedTickets() []message.FinishedRequest {
	var list []message.FinishedRequest
	for _, r := range n.finished {
		if r.ownership == ownedByTicket && n.runs[r.key] == r {
			list = append(list, message.FinishedRequest{Key: r.key, Digest: r.digest, Answer: r.answer})
		}
	}
	return list
}

func (n *Node) sendHandOver() {
	h := n.handOver
	h.tries++
	for i := range h.parts {
		if !h.kept.Has(h.parts[i].Part) {
			n.send(h.successor, message.Envelope{HandOver: &h.parts[i]})
		}
	}
}

func (n *Node) announceSuccessor() {
	h := n.handOver
	if len(h.parts) == 0 || len(h.kept) < len(h.parts) {
		return
	}
	for _, by := range n.tickets.own {
		n.broadcast(message.Envelope{Successor: &message.Successor{Stopped: by, NewOwner: h.successor}})
	}
}

func (n *Node) handleHandedOver(from ident.Instance, m message.HandOverAck) {
	h := n.handOver
	if h == nil || from != h.successor {
		return
	}
	if m.Refused {
		h.refused.Add(from)
		h.successor = ""
		return
	}
	h.kept.Add(m.Part)
}

// handleHandOver takes over a stopping instance's tickets and keeps its
// seat's memory for the seat's next process.
func (n *Node) handleHandOver(from ident.Instance, m message.HandOver) {
	l := n.legacies[m.From]
	taken := l != nil && l.whole
	if !taken && (n.draining || n.document == nil) {
		// What was taken over whole is never refused: the sender would name a
		// second owner of its tickets.
		n.send(from, message.Envelope{HandOverAck: &message.HandOverAck{From: m.From, Refused: true}})
		return
	}
	for _, f := range m.Finished {
		n.adoptFinished(f)
	}
	if l == nil {
		l = &legacy{issuers: m.Issuers, memory: message.SeatMemory{Epoch: m.Memory.Epoch, CompleteSince: m.Memory.CompleteSince}, parts: value.NewSet[int](), at: n.now()}
		n.legacies[m.From] = l
	}
	if !l.parts.Has(m.Part) {
		l.parts.Add(m.Part)
		l.memory.Claims = append(l.memory.Claims, m.Memory.Claims...)
		l.memory.Answers = append(l.memory.Answers, m.Memory.Answers...)
	}
	if len(l.parts) == m.PartCount && !l.whole {
		l.whole = true
		n.ownTickets(l.issuers)
		n.event("tookOver", ident.Key{}, string(m.From.Instance))
	}
	n.send(from, message.Envelope{HandOverAck: &message.HandOverAck{From: m.From, Part: m.Part}})
}

func (n *Node) ownTickets(issuers []issuer) {
	for _, by := range issuers {
		if !slices.Contains(n.tickets.own, by) {
			n.tickets.own = append(n.tickets.own, by)
			n.runForwarded(by)
		}
	}
}

// sweepLegacies forgets what stopped processes left here when no ticket of
// theirs is valid and no record of theirs is of use any more.
func (n *Node) sweepLegacies(keep time.Duration) {
	for from, l := range n.legacies {
		if n.now().Sub(l.at) <= keep {
			continue
		}
		delete(n.legacies, from)
		n.tickets.own = slices.DeleteFunc(n.tickets.own, func(by issuer) bool {
			return by.Incarnation != n.config.Incarnation && slices.Contains(l.issuers, by)
		})
	}
	for by, s := range n.tickets.successors {
		if n.now().Sub(s.at) > keep {
			delete(n.tickets.successors, by)
		}
	}
}

// bequeath returns the memory that the last process of a seat left here, once.
func (n *Node) bequeath(seat ident.Instance, epoch ident.Epoch) *message.SeatMemory {
	for from, l := range n.legacies {
		if from.Instance == seat && l.whole && l.memory.Epoch == epoch-1 {
			memory := l.memory
			l.memory = message.SeatMemory{}
			return &memory
		}
	}
	return nil
}

func (n *Node) handleSuccessor(m message.Successor) {
	if m.NewOwner != n.config.Seat {
		n.tickets.successors[m.Stopped] = successor{instance: m.NewOwner, at: n.now()}
		n.retarget(m.Stopped)
	}
}

// adoptFinished keeps an answer for the instance that stopped. An answer that
// this instance merely passed on before becomes its own: it would be missing
// from the next hand-over otherwise, and the ticket would run again.
func (n *Node) adoptFinished(f message.FinishedRequest) {
	known := n.runs[f.Key]
	if known != nil && known.owned() {
		return
	}
	if known != nil && known.phase != done {
		known.adopted = true
		n.conclude(known, f.Answer)
	}
	r := &run{key: f.Key, digest: f.Digest, phase: done, ownership: ownedByTicket, answer: f.Answer, started: n.now()}
	n.runs[f.Key] = r
	n.finished = append(n.finished, r)
}

// runForwarded runs the requests that were on their way to an owner whose
// tickets this process has just taken over.
func (n *Node) runForwarded(by issuer) {
	for _, key := range n.followers(by) {
		r := n.runs[key]
		t, err := ticket.Decode(n.tickets.key, key.Workspace, key.ID)
		if err != nil {
			continue
		}
		n.timers.Stop(r.follow.timer)
		r.phase = working
		if !n.startTicket(r, t) {
			n.finish(r, r.answer.Outcome, r.answer.Reason, r.answer.Detail)
			continue
		}
		n.advance(r)
	}
}

// followers returns the keys that wait for an issuer's answer, in order.
func (n *Node) followers(by issuer) []ident.Key {
	holder := claim.Holder{Instance: by.Instance, Incarnation: by.Incarnation}
	var keys []ident.Key
	for key, r := range n.runs {
		if r.phase == following && r.follow.forward != nil && r.follow.holder == holder {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b ident.Key) int { return cmp.Compare(a.String(), b.String()) })
	return keys
}

// retarget sends waiting forwards to the new owner.
func (n *Node) retarget(by issuer) {
	for _, key := range n.followers(by) {
		f := &n.runs[key].follow
		f.target = n.tickets.successors[by].instance
		f.gone = false
		f.forward.SentAt = n.now()
		f.heard = n.now()
	}
}

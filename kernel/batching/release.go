package batching

import (
	"slices"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// Withdraw drops the waiting pieces of a request's stage, because their inputs do not exist any
// more. A running piece may have fetched its inputs, but is not sent to another endpoint.
func (b *Batcher) Withdraw(from ident.Instance, w message.StageWithdrawal) {
	q := b.queue(w.Pool())
	for _, p := range slices.Clone(b.requests[w.Request]) {
		if p.id.Stage != w.Stage || p.work.origin != from || p.work.Pool() != w.Pool() {
			continue
		}
		switch p.state {
		case pieceWaiting:
			q.waiting = slices.DeleteFunc(q.waiting, func(o *piece) bool { return o == p })
			b.drop(p)
		case pieceRunning:
			p.withdrawn = true
		}
	}
}

// HandleRelease cancels a request's pieces if asked to, and frees the given
// results at their endpoints.
func (b *Batcher) HandleRelease(r message.StageRelease) {
	if r.CancelPieces {
		b.cancelPieces(r)
	}
	byAddress := map[string][]message.ResultHandle{}
	for _, h := range r.Handles {
		byAddress[b.resultAddress(h)] = append(byAddress[b.resultAddress(h)], h)
	}
	for _, address := range value.SortedKeys(byAddress) {
		b.config.Output.FreeResults(address, byAddress[address])
	}
	for _, p := range slices.Clone(b.requests[r.Request]) {
		if p.state == pieceDone && slices.Contains(r.Handles, p.handle) {
			b.drop(p)
		}
	}
}

func (b *Batcher) cancelPieces(r message.StageRelease) {
	q := b.queue(r.Pool())
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return p.id.Request == r.Request })
	for _, p := range slices.Clone(b.requests[r.Request]) {
		// The origin releases the results that were reported to it.
		if p.work.Pool() == r.Pool() {
			b.drop(p)
		}
	}
}

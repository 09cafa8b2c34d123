package batching

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// HandOver returns the waiting pieces of a pool to their origins, because
// another instance is its batcher now. Running calls are finished here.
func (b *Batcher) HandOver(pool ident.Pool) {
	q := b.queue(pool)
	results := map[ident.Instance]*message.StageResults{}
	for _, p := range q.waiting {
		b.drop(p)
		addResult(results, p, message.PieceMoved)
	}
	q.waiting = nil
	for _, to := range value.SortedKeys(results) {
		b.config.Output.SendResults(to, *results[to])
	}
}

// AbandonCalls ends the running calls of a pool, because no replies arrive here any more, and
// puts their pieces back into the queue.
func (b *Batcher) AbandonCalls(pool ident.Pool) {
	q := b.queue(pool)
	for _, id := range value.SortedKeys(b.calls) {
		if b.calls[id].pool != pool {
			continue
		}
		for _, p := range b.endCall(id).pieces {
			if b.pieces[p.id] == p && p.state == pieceRunning {
				p.state = pieceWaiting
				q.waiting = append(q.waiting, p)
			}
		}
	}
}

// Holds reports whether the batcher has any of the given pieces.
func (b *Batcher) Holds(s message.StageWork) bool {
	return slices.ContainsFunc(s.Pieces, func(piece int) bool {
		return b.pieces[message.PieceID{Request: s.Request, Stage: s.Stage, Piece: piece}] != nil
	})
}

// ReservedBytes returns the result capacity reserved at each of a pool's
// endpoints, in bytes. Endpoints without reservations are left out.
func (b *Batcher) ReservedBytes(pool ident.Pool) map[ident.Endpoint]int {
	reserved := map[ident.Endpoint]int{}
	for _, e := range b.config.Directory.ByService(pool.Service) {
		if pool.DataCentre != "" && e.DataCentre != pool.DataCentre {
			continue
		}
		if es := b.endpointStates[e.Name]; es != nil && es.reservedBytes > 0 {
			reserved[e.Name] = es.reservedBytes
		}
	}
	return reserved
}

// AdoptReservations counts the bytes that an earlier batcher had reserved at
// endpoints as taken for the given time.
func (b *Batcher) AdoptReservations(reserved map[ident.Endpoint]int, validFor time.Duration) {
	until := b.now().Add(validFor)
	for _, name := range value.SortedKeys(reserved) {
		es := b.endpointState(name)
		es.unaccountedBytes, es.unaccountedUntil = reserved[name], until
	}
}

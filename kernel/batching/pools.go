package batching

import (
	"slices"

	"anvilcross/kernel/ident"
)

// DispatchService starts calls for the pools of a service that have waiting
// pieces.
func (b *Batcher) DispatchService(s ident.Service) {
	for _, pool := range b.WaitingPools() {
		if pool.Service == s {
			b.Dispatch(pool)
		}
	}
}

// DispatchAll starts calls for all pools that have waiting pieces.
func (b *Batcher) DispatchAll() {
	b.logContention()
	for _, pool := range b.WaitingPools() {
		b.Dispatch(pool)
	}
}

// WaitingPools returns the pools that have waiting pieces, in a fixed order.
func (b *Batcher) WaitingPools() []ident.Pool {
	var pools []ident.Pool
	for pool, q := range b.queues {
		if len(q.waiting) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, ident.Pool.Compare)
	return pools
}

// Dispatch starts calls for a pool while there are pieces and idle endpoints.
func (b *Batcher) Dispatch(pool ident.Pool) {
	q := b.queue(pool)
	profile := b.config.BatchProfile(pool.Service)
	if profile == nil || len(q.waiting) == 0 || b.deferDispatch(pool, q) {
		return
	}
	b.orderWaiting(pool, q, profile)
	defer b.noteEmptied(q)
	for len(q.waiting) > 0 {
		idle, candidateCount := b.idleEndpoints(pool, profile)
		if len(idle) == 0 {
			return
		}
		if b.shouldLinger(pool, q, profile, len(idle), candidateCount) {
			return
		}
		if !b.formCall(pool, q, profile, idle) {
			return
		}
	}
}

// deferDispatch reports whether the queue was sorted less than
// minOrderInterval ago, and schedules the next dispatch then. In a burst,
// sorting would take most of the processing time, and waiting fills calls
// better.
func (b *Batcher) deferDispatch(pool ident.Pool, q *queue) bool {
	if q.orderTimer != nil {
		return true
	}
	wait := q.orderedAt.Add(minOrderInterval).Sub(b.now())
	if wait <= 0 {
		q.orderedAt = b.now()
		return false
	}
	q.orderTimer = b.config.Timers.After(wait, func() {
		q.orderTimer = nil
		b.Dispatch(pool)
	})
	return true
}

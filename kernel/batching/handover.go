package batching

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// HandOver gives up the pieces of a service that wait: another instance
// batches for it now. Calls that run are finished here.
func (b *Batcher) HandOver(s ident.Service) {
	q := b.queue(s)
	results := map[ident.Instance]*message.StageResults{}
	for _, p := range q.waiting {
		b.drop(p)
		add(results, p, message.PieceMoved)
	}
	q.waiting = nil
	for _, to := range value.SortedKeys(results) {
		b.config.Output.SendResults(to, *results[to])
	}
}

// ReservedBytes returns the room that is booked at a service's endpoints.
func (b *Batcher) ReservedBytes(s ident.Service) map[ident.Endpoint]int {
	booked := map[ident.Endpoint]int{}
	for _, e := range b.config.Directory.ByService(s) {
		if m := b.makers[e.Name]; m != nil && m.booked > 0 {
			booked[e.Name] = m.booked
		}
	}
	return booked
}

// AdoptReservations takes in the room that an earlier batcher has booked, for a while.
func (b *Batcher) AdoptReservations(booked map[ident.Endpoint]int, life time.Duration) {
	until := b.now().Add(life)
	for _, name := range value.SortedKeys(booked) {
		m := b.maker(name)
		m.foreign, m.foreignUntil = booked[name], until
	}
}

package batching

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// HandOver returns the waiting pieces of a service to their origins, because
// another instance is its batcher now. Running calls are finished here.
func (b *Batcher) HandOver(s ident.Service) {
	q := b.queue(s)
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

// ReservedBytes returns the result capacity reserved at each of a service's
// endpoints, in bytes. Endpoints without reservations are left out.
func (b *Batcher) ReservedBytes(s ident.Service) map[ident.Endpoint]int {
	reserved := map[ident.Endpoint]int{}
	for _, e := range b.config.Directory.ByService(s) {
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

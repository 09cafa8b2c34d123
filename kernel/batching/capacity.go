package batching

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// pauseAndInspect handles an endpoint that has less free capacity than its
// reservations say: it gets no calls for a while and is asked for its free
// capacity, unless it was asked within inspectInterval.
func (b *Batcher) pauseAndInspect(c *call) {
	now := b.now()
	es := b.endpointState(c.endpoint)
	es.pausedUntil = now.Add(declinedBackoff)
	if now.Sub(es.inspectedAt) < inspectInterval {
		return
	}
	es.inspectedAt = now
	b.config.Output.InspectEndpoint(c.endpoint, c.address)
}

// Survey asks the endpoints of a pool for their free result capacity, because
// this instance begins to batch for it: results of which it does not know take
// capacity until their retention ends. Endpoints that have such results are asked
// again.
func (b *Batcher) Survey(pool ident.Pool) {
	profile := b.config.BatchProfile(pool.Service)
	if profile == nil {
		return
	}
	for _, e := range b.candidates(pool) {
		b.config.Output.InspectEndpoint(e.Name, e.Address)
	}
	b.repeatSurvey(pool, b.now().Add(profile.ResultRetention+retentionMargin))
}

// repeatSurvey asks the endpoints with unknown results again at intervals, until
// the given time.
func (b *Batcher) repeatSurvey(pool ident.Pool, until time.Time) {
	b.config.Timers.After(surveyInterval, func() {
		if !b.now().Before(until) {
			return
		}
		for _, e := range b.candidates(pool) {
			if b.endpointState(e.Name).unaccountedBytes > 0 {
				b.config.Output.InspectEndpoint(e.Name, e.Address)
			}
		}
		b.repeatSurvey(pool, until)
	})
}

// HandleInspection handles an endpoint's report of its free result capacity,
// which is an upper bound. Capacity that the reservations here do not explain
// counts as taken for inspectInterval.
func (b *Batcher) HandleInspection(name ident.Endpoint, freeBytes int) {
	e := b.config.Directory.Lookup(name)
	if e == nil {
		return
	}
	profile := b.config.BatchProfile(e.Service)
	if profile == nil {
		return
	}
	es := b.endpointState(name)
	unaccounted := max(profile.ResultCapacityBytes-freeBytes-es.reservedBytes, 0)
	b.config.Output.LogEvent("roomInspected", "endpoint", name, "free", freeBytes, "booked", es.reservedBytes, "foreign", unaccounted)
	es.unaccountedBytes = unaccounted
	if unaccounted > 0 {
		es.unaccountedUntil = b.now().Add(inspectInterval)
	}
	b.DispatchService(e.Service)
}

// isCapacityLow reports whether the endpoint of a call is short of result
// capacity.
func (b *Batcher) isCapacityLow(c *call) bool {
	profile := b.config.BatchProfile(c.pool.Service)
	return profile != nil && float64(b.endpointState(c.endpoint).reservedBytes) > lowCapacityShare*float64(profile.ResultCapacityBytes)
}

// reserve reserves the capacity of a result at its endpoint until the result is
// freed or expires.
func (b *Batcher) reserve(c *call, p *piece, h message.ResultHandle) {
	retention := time.Duration(0)
	if profile := b.config.BatchProfile(c.pool.Service); profile != nil {
		retention = profile.ResultRetention
	}
	rv := &reservation{pool: c.pool, bytes: p.work.ResultBytes, endpoint: c.endpoint, address: c.address}
	b.endpointState(c.endpoint).reservedBytes += rv.bytes
	b.reservations[h] = rv
	rv.expiryTimer = b.config.Timers.After(retention+retentionMargin, func() {
		b.releaseReservation(h)
		if b.pieces[p.id] == p && p.handle == h {
			b.drop(p)
		}
		b.Dispatch(c.pool)
	})
}

// HandleFreed handles the confirmation that endpoints have freed results, so
// that their capacity can be used again.
func (b *Batcher) HandleFreed(handles []message.ResultHandle) {
	services := value.NewSet[ident.Service]()
	for _, h := range handles {
		if rv := b.releaseReservation(h); rv != nil {
			services.Add(rv.pool.Service)
		}
	}
	for _, s := range services.Sorted() {
		b.DispatchService(s)
	}
}

// resultAddress returns the address of the endpoint that holds a result.
func (b *Batcher) resultAddress(h message.ResultHandle) string {
	if rv := b.reservations[h]; rv != nil {
		return rv.address
	}
	return h.Address()
}

// releaseReservation removes and returns the reservation of a result, or
// returns nil if there is none.
func (b *Batcher) releaseReservation(h message.ResultHandle) *reservation {
	rv := b.reservations[h]
	if rv == nil {
		return nil
	}
	delete(b.reservations, h)
	b.config.Timers.Stop(rv.expiryTimer)
	b.endpointState(rv.endpoint).reservedBytes -= rv.bytes
	return rv
}

func (b *Batcher) freeResult(h message.ResultHandle) {
	b.config.Output.FreeResults(b.resultAddress(h), []message.ResultHandle{h})
}

package ratelimit

import (
	"maps"
	"time"

	"anvilcross/kernel/ident"
)

const (
	// minRate is the least rate at which permits are issued: an endpoint that gets no
	// request cannot say that its limit has ended.
	minRate Rate = 0.2
	// burstTime is the time whose permits may be saved up, beside one.
	burstTime = 250 * time.Millisecond
	// minDenialWait and maxDenialWait bound the time after which a denied permit is asked for again.
	minDenialWait = time.Millisecond
	maxDenialWait = time.Second
)

// bucket is the token bucket of one endpoint.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// Issuer issues permits for requests to limited endpoints, at the rate of the shares
// that are leased to it.
type Issuer struct {
	self        ident.Instance
	incarnation ident.Incarnation
	startedAt   time.Time
	// leaseEnds holds the end of each instance's lease to this one.
	leaseEnds map[ident.Instance]time.Time
	buckets   map[ident.EndpointProcess]*bucket
	// instances is the number of equal shares into which each limit is divided.
	instances int
}

// IssuerConfig configures an Issuer.
type IssuerConfig struct {
	Self        ident.Instance
	Incarnation ident.Incarnation
	StartedAt   time.Time
}

// NewIssuer returns an issuer without leases.
func NewIssuer(c IssuerConfig) *Issuer {
	return &Issuer{self: c.Self, incarnation: c.Incarnation, startedAt: c.StartedAt, leaseEnds: map[ident.Instance]time.Time{}, buckets: map[ident.EndpointProcess]*bucket{}}
}

// Clock returns the time since the start of this process, for leases.
func (i *Issuer) Clock(now time.Time) time.Duration { return now.Sub(i.startedAt) }

// HandleLease handles the lease that an instance sends; nil if it sends none. A lease
// to another issuer, or to an earlier process of this one, ends the one to this one.
func (i *Issuer) HandleLease(from ident.Instance, l *Lease) {
	switch {
	case l == nil:
	case l.Issuer == i.self && l.Incarnation == i.incarnation:
		i.leaseEnds[from] = latest(i.leaseEnds[from], i.startedAt.Add(l.ClockAt+l.TTL))
	default:
		delete(i.leaseEnds, from)
	}
}

// Refill adds the permits of the time since the last call, while the given number of
// instances divide the limits between them. rates returns the limit of an endpoint.
func (i *Issuer) Refill(now time.Time, instances int, rates func(ident.EndpointProcess) Rate) {
	i.instances = instances
	for p, b := range i.buckets {
		rate := rates(p)
		if rate == Unlimited {
			delete(i.buckets, p)
			continue
		}
		i.fill(b, now, rate)
	}
}

// Shares returns the number of shares that are leased to this issuer.
func (i *Issuer) Shares(now time.Time) int {
	maps.DeleteFunc(i.leaseEnds, func(_ ident.Instance, end time.Time) bool { return !now.Before(end) })
	return len(i.leaseEnds)
}

// rate returns the rate at which this issuer issues permits under a limit.
func (i *Issuer) rate(now time.Time, limit Rate) float64 {
	shares := i.Shares(now)
	return float64(max(limit, minRate)) * float64(shares) / float64(max(i.instances, shares, 1))
}

// fill adds the permits of the time since the bucket was last filled.
func (i *Issuer) fill(b *bucket, now time.Time, limit Rate) {
	rate := i.rate(now, limit)
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), 1+rate*burstTime.Seconds())
	b.filledAt = now
}

// Issue issues a permit for one request to an endpoint with a limit. If it returns
// false, there may be one after the returned time.
func (i *Issuer) Issue(now time.Time, p ident.EndpointProcess, limit Rate) (bool, time.Duration) {
	b := i.buckets[p]
	if b == nil {
		// The issuer before may have used up its burst just now.
		b = &bucket{filledAt: now}
		i.buckets[p] = b
	}
	i.fill(b, now, limit)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	rate := i.rate(now, limit)
	if rate*maxDenialWait.Seconds() <= 1-b.tokens {
		return false, maxDenialWait
	}
	return false, max(minDenialWait, time.Duration((1-b.tokens)/rate*float64(time.Second)))
}

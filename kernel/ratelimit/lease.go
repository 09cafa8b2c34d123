package ratelimit

import (
	"time"

	"anvilcross/kernel/ident"
)

// Lease lends the sender's share of all limits to an issuer. It ends TTL after the time
// ClockAt of the issuer's clock, which the sender has read from a message of the issuer,
// so that it ends in time however long it is on its way.
type Lease struct {
	Issuer      ident.Instance    `json:"issuer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// ClockAt is the time since the start of the issuer's process.
	ClockAt time.Duration `json:"clock"`
	TTL     time.Duration `json:"ttl"`
}

// issuerClock is the clock of an issuer as its last message told it.
type issuerClock struct {
	incarnation ident.Incarnation
	at          time.Duration
	receivedAt  time.Time
}

// Lender decides to whom an instance leases its share. It leases the share to another
// issuer only after the lease of the one before has ended.
type Lender struct {
	startedAt  time.Time
	clocks     map[ident.Instance]issuerClock
	lease      Lease
	leaseUntil time.Time
}

// NewLender returns the lender of an instance that starts now.
func NewLender(now time.Time) *Lender {
	return &Lender{startedAt: now, clocks: map[ident.Instance]issuerClock{}}
}

// RecordClock records the clock of another instance, as a message that arrives now
// tells it. Another incarnation does not end the lease: the message may be a late one
// of an earlier process.
func (l *Lender) RecordClock(now time.Time, name ident.Instance, incarnation ident.Incarnation, at time.Duration) {
	if known := l.clocks[name]; known.incarnation == incarnation && known.at >= at {
		return
	}
	l.clocks[name] = issuerClock{incarnation: incarnation, at: at, receivedAt: now}
}

// Revoke ends the lease to a process of an issuer that issues no more permits.
func (l *Lender) Revoke(name ident.Instance, incarnation ident.Incarnation) {
	if l.clocks[name].incarnation == incarnation {
		delete(l.clocks, name)
	}
	if l.lease.Issuer == name && l.lease.Incarnation == incarnation {
		l.lease, l.leaseUntil = Lease{}, time.Time{}
	}
}

// Renew leases the share to the wanted issuer for the TTL. It returns the lease to send.
// It returns nil while a lease to another issuer or one of the instance's previous
// process may last, or if the issuer has not told its clock lately.
func (l *Lender) Renew(now time.Time, wanted ident.Instance, ttl time.Duration) *Lease {
	if now.Before(l.startedAt.Add(ttl)) || l.lease.Issuer != wanted && now.Before(l.leaseUntil) {
		return nil
	}
	clock, known := l.clocks[wanted]
	if !known || now.Sub(clock.receivedAt) >= ttl {
		return nil
	}
	l.lease = Lease{Issuer: wanted, Incarnation: clock.incarnation, ClockAt: clock.at, TTL: ttl}
	l.leaseUntil = latest(l.leaseUntil, clock.receivedAt.Add(ttl))
	lease := l.lease
	return &lease
}

// Issuer returns the instance that has the share now, or an empty name.
func (l *Lender) Issuer(now time.Time) ident.Instance {
	if !now.Before(l.leaseUntil) {
		return ""
	}
	return l.lease.Issuer
}

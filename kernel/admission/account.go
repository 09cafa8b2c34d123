// Package admission decides which requests a pool of stage endpoints starts when the pool or the
// pools of later stages are short of capacity. It holds only decisions: the batcher of the pool
// reports what it starts, and asks which of the waiting requests may start, wait or are refused.
package admission

import (
	"time"

	"anvilcross/kernel/value"
)

const (
	// usableShare is the share of the capacity in full calls that a pool reaches. Some calls
	// are not full, and an endpoint is idle between a reply and its next call.
	usableShare = 0.95
	// explainedWindow is the time in which pieces that start at a first stage reach the later
	// ones. A reported wait that the account had within this time is no news.
	explainedWindow = 1200 * time.Millisecond
	// sampleInterval is the time between two samples of an account's wait.
	sampleInterval = 100 * time.Millisecond
	// reportTolerance is the difference between reported and own waits that is ignored:
	// about the time between two idle endpoints.
	reportTolerance = 60 * time.Millisecond
	// noCapacityWait is the wait for a pool without endpoints that can be called.
	noCapacityWait = 10 * time.Second
	// minSpare bounds the share of the capacity that is left for callers that come back.
	minSpare = 0.1
	// rateTime is the time constant of the rates of started pieces.
	rateTime = time.Second
)

// Account is the backlog of pieces at a pool, from the requests that were started upstream. It
// drains at the pool's capacity. The pieces reach the pool about the time of the earlier calls
// after they are added; since this delay is about the same for all, the wait of the account now
// is the wait that pieces that start now will find when they get there.
type Account struct {
	// pieces is the backlog at the time updatedAt.
	pieces    float64
	updatedAt time.Time
	// refreshedAt is when capacity and unexplained were last taken over.
	refreshedAt time.Time
	// capacity is in pieces per second.
	capacity float64
	// unexplained is the part of the reported wait that the account does not explain.
	unexplained time.Duration
	// samples holds recent waits of the account, the oldest first.
	samples []waitSample
	// rates holds the rates of added pieces by the weight of their requests.
	rates map[float64]*decayingRate
	// asked is the rate of pieces of new requests, whether they start or not.
	asked decayingRate
}

type waitSample struct {
	at   time.Time
	wait time.Duration
}

// NewAccount returns an account without backlog.
func NewAccount(now time.Time) *Account {
	return &Account{updatedAt: now, rates: map[float64]*decayingRate{}}
}

// Update drains the account until now and takes over the pool's present capacity in full calls,
// in pieces per second, and the wait that its batcher reports. The reported wait corrects the
// account upwards only: for pieces that others started, and for endpoints that are slower than
// their profile says.
func (a *Account) Update(now time.Time, capacity float64, reported time.Duration) {
	a.refreshedAt = now
	a.capacity = capacity * usableShare
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.pieces = max(a.pieces-a.capacity*elapsed.Seconds(), 0)
		a.updatedAt = now
	}
	own := a.ownWait()
	explained := own
	kept := 0
	for _, s := range a.samples {
		if now.Sub(s.at) <= explainedWindow {
			a.samples[kept] = s
			kept++
			explained = max(explained, s.wait)
		}
	}
	a.samples = a.samples[:kept]
	if kept == 0 || now.Sub(a.samples[kept-1].at) >= sampleInterval {
		a.samples = append(a.samples, waitSample{at: now, wait: own})
	}
	a.unexplained = 0
	if excess := reported - explained; excess > reportTolerance {
		a.unexplained = excess
	}
}

// Add adds pieces of a request with the given weight that starts now.
func (a *Account) Add(now time.Time, pieces int, weight float64) {
	a.pieces += float64(pieces)
	r := a.rates[weight]
	if r == nil {
		r = &decayingRate{at: now}
		a.rates[weight] = r
	}
	r.add(now, float64(pieces))
}

// Ask records that a request that needs pieces here has arrived.
func (a *Account) Ask(now time.Time, pieces int) { a.asked.add(now, float64(pieces)) }

// SpareShare returns the share of the pool's capacity that new requests leave. It is at least
// minSpare, since a burst ends.
func (a *Account) SpareShare(now time.Time) float64 {
	if a.capacity <= 0 {
		return minSpare
	}
	return max(1-a.asked.perSecond(now)/a.capacity, minSpare)
}

// Wait returns how long pieces of a request with the given weight that starts now will wait at
// the pool. The pool lets them go before pieces of less weight where not all can be in time, so
// of a wait that came as a surprise, only the part counts that is not due to those.
func (a *Account) Wait(now time.Time, weight float64) time.Duration {
	if a.capacity <= 0 {
		return noCapacityWait
	}
	total, less := 0.0, 0.0
	for _, w := range value.SortedKeys(a.rates) {
		rate := a.rates[w].perSecond(now)
		total += rate
		if w < weight {
			less += rate
		}
	}
	unexplained := a.unexplained
	if total > 0 {
		unexplained = time.Duration((1 - less/total) * float64(unexplained))
	}
	return a.ownWait() + unexplained
}

func (a *Account) ownWait() time.Duration {
	if a.capacity <= 0 {
		return 0
	}
	return seconds(a.pieces / a.capacity)
}

// timeFor returns the time in which the pool computes a number of pieces.
func (a *Account) timeFor(pieces int) time.Duration {
	if a.capacity <= 0 {
		return 0
	}
	return seconds(float64(pieces) / a.capacity)
}

// spareTimeFor returns the time in which the pool computes a number of pieces with the capacity
// that new requests leave.
func (a *Account) spareTimeFor(now time.Time, pieces int) time.Duration {
	return time.Duration(float64(a.timeFor(pieces)) / a.SpareShare(now))
}

// ShareAbove returns the share of the pool's capacity that requests of more than the given
// weight have taken lately.
func (a *Account) ShareAbove(now time.Time, weight float64) float64 {
	if a.capacity <= 0 {
		return 0
	}
	rate := 0.0
	for _, w := range value.SortedKeys(a.rates) {
		if w > weight {
			rate += a.rates[w].perSecond(now)
		}
	}
	return rate / a.capacity
}

// Idle reports whether the account has nothing left that matters.
func (a *Account) Idle(now time.Time) bool {
	if a.pieces > 0 || a.unexplained > 0 || a.asked.perSecond(now) > 1 {
		return false
	}
	for _, r := range a.rates {
		if r.perSecond(now) > 1 {
			return false
		}
	}
	return true
}

// decayingRate is a rate whose past counts less the longer it is ago.
type decayingRate struct {
	amount float64
	at     time.Time
}

func (r *decayingRate) add(now time.Time, amount float64) {
	r.amount = r.decayed(now, rateTime) + amount
	r.at = now
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	return r.decayed(now, rateTime) / rateTime.Seconds()
}

func (r *decayingRate) decayed(now time.Time, constant time.Duration) float64 {
	return decay(r.amount, now.Sub(r.at), constant)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

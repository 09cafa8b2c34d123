// Package limit does admission control for an instance. Each workspace has a token
// bucket for its request rate. Once the instance is half full, each workspace is also
// held to its share of the requests in flight. The instances share no counter: each
// one grants its part of the fleet-wide rate, so the limit also holds during a network
// partition.
package limit

import (
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// Config configures an Admission.
type Config struct {
	// MaxInFlight bounds the requests that the instance processes at once.
	MaxInFlight int
	// BurstSeconds sets the size of a workspace's token bucket: the number of
	// requests that its rate allows in this time.
	BurstSeconds float64
}

// account is the token bucket and the requests in flight of one workspace.
type account struct {
	ratePerSecond float64
	share         int
	tokens        float64
	refilledAt    time.Time
	inFlight      int
}

// Admission decides which requests an instance admits.
type Admission struct {
	config      Config
	accounts    map[ident.Workspace]*account
	inFlight    int
	totalShares int
}

// NewAdmission returns an Admission without workspaces.
func NewAdmission(c Config) *Admission {
	return &Admission{config: c, accounts: map[ident.Workspace]*account{}}
}

// SetWorkspaces sets the workspaces. The instance gets its part of each rate, which is
// divided evenly among the given number of instances. Workspaces that remain keep
// their tokens and their requests in flight.
func (a *Admission) SetWorkspaces(now time.Time, workspaces []configuration.Workspace, instances int) {
	kept := make(map[ident.Workspace]*account, len(workspaces))
	a.totalShares = 0
	for _, w := range workspaces {
		c := a.accounts[w.Name]
		rate := w.RatePerSecond / float64(max(instances, 1))
		if c == nil {
			c = &account{tokens: a.burstSize(rate), refilledAt: now}
		}
		c.ratePerSecond = rate
		c.share = w.Share
		a.totalShares += w.Share
		kept[w.Name] = c
	}
	a.accounts = kept
}

// burstSize returns the size of a workspace's token bucket. The load balancer spreads
// callers unevenly over the instances, so that a workspace with a low rate needs at
// least minBurst.
func (a *Admission) burstSize(rate float64) float64 { return max(rate*a.config.BurstSeconds, minBurst) }

// minBurst is the minimum size of a token bucket, in requests.
const minBurst = 8

// Admit reports whether a request of the workspace may start. If so, it counts the
// request as in flight until Release.
func (a *Admission) Admit(now time.Time, w ident.Workspace) bool {
	c := a.accounts[w]
	if c == nil {
		return false
	}
	c.refill(now, a.burstSize(c.ratePerSecond))
	if c.tokens < 1 || !a.hasRoom(c) {
		return false
	}
	c.tokens--
	c.inFlight++
	a.inFlight++
	return true
}

// hasRoom reports whether a workspace may have another request in flight. A workspace
// is held to its share of MaxInFlight, which is at least one request, only once the
// instance is half full.
func (a *Admission) hasRoom(c *account) bool {
	if a.inFlight >= a.config.MaxInFlight {
		return false
	}
	if a.inFlight < a.config.MaxInFlight/2 {
		return true
	}
	ownSlots := float64(a.config.MaxInFlight) * float64(c.share) / float64(max(a.totalShares, 1))
	return float64(c.inFlight) < max(ownSlots, 1)
}

// Release ends an admitted request of the workspace.
func (a *Admission) Release(w ident.Workspace) {
	a.inFlight--
	if c := a.accounts[w]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}

// InFlight returns the number of admitted requests that have not been released.
func (a *Admission) InFlight() int { return a.inFlight }

// refill adds the tokens earned since the last refill, up to the bucket size.
func (c *account) refill(now time.Time, burst float64) {
	elapsed := now.Sub(c.refilledAt).Seconds()
	if elapsed > 0 {
		c.tokens = min(c.tokens+elapsed*c.ratePerSecond, burst)
		c.refilledAt = now
	}
}

// Package limit decides at the door which requests an instance takes on:
// each workspace has a rate, and when the instance is full the places go to
// the workspaces by their shares. There is no shared counter: an instance
// grants its part of the fleet-wide rate, so the limit also holds while the
// fleet is cut in parts.
package limit

import (
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// Config sets up an Admission.
type Config struct {
	// MaxInFlight bounds the requests that the instance works on at once.
	MaxInFlight int
	// BurstSeconds is how many seconds' worth of its rate a workspace may
	// use at once.
	BurstSeconds float64
}

type account struct {
	rate     float64
	share    int
	tokens   float64
	updated  time.Time
	inFlight int
}

// Admission counts what each workspace has in flight and may still start.
type Admission struct {
	config   Config
	accounts map[ident.Workspace]*account
	inFlight int
	shares   int
}

// NewAdmission returns an admission without workspaces.
func NewAdmission(c Config) *Admission {
	return &Admission{config: c, accounts: map[ident.Workspace]*account{}}
}

// SetWorkspaces takes over the rates and shares of a configuration for one of
// the given number of instances.
func (a *Admission) SetWorkspaces(now time.Time, workspaces []configuration.Workspace, instances int) {
	kept := make(map[ident.Workspace]*account, len(workspaces))
	a.shares = 0
	for _, w := range workspaces {
		c := a.accounts[w.Name]
		rate := w.RatePerSecond / float64(max(instances, 1))
		if c == nil {
			c = &account{tokens: a.burst(rate), updated: now}
		}
		c.rate = rate
		c.share = w.Share
		a.shares += w.Share
		kept[w.Name] = c
	}
	a.accounts = kept
}

// burst returns how many requests a workspace may start at once. The balancer
// spreads callers unevenly, so a small rate still gets a useful burst.
func (a *Admission) burst(rate float64) float64 { return max(rate*a.config.BurstSeconds, minBurst) }

const minBurst = 8

// Admit reports whether a request of the workspace may start, and counts it.
func (a *Admission) Admit(now time.Time, w ident.Workspace) bool {
	c := a.accounts[w]
	if c == nil {
		return false
	}
	c.refill(now, a.burst(c.rate))
	if c.tokens < 1 || !a.hasPlace(c) {
		return false
	}
	c.tokens--
	c.inFlight++
	a.inFlight++
	return true
}

// hasPlace keeps a workspace within its share of the places once the instance
// is more than half full; before that, idle places are anyone's.
func (a *Admission) hasPlace(c *account) bool {
	if a.inFlight >= a.config.MaxInFlight {
		return false
	}
	if a.inFlight < a.config.MaxInFlight/2 {
		return true
	}
	own := float64(a.config.MaxInFlight) * float64(c.share) / float64(max(a.shares, 1))
	return float64(c.inFlight) < max(own, 1)
}

// Release gives the place of a finished request back.
func (a *Admission) Release(w ident.Workspace) {
	a.inFlight--
	if c := a.accounts[w]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}

// InFlight returns the number of admitted requests.
func (a *Admission) InFlight() int { return a.inFlight }

func (c *account) refill(now time.Time, most float64) {
	elapsed := now.Sub(c.updated).Seconds()
	if elapsed > 0 {
		c.tokens = min(c.tokens+elapsed*c.rate, most)
		c.updated = now
	}
}

package blame

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

// minIndependent is the number of independent crashes from which on those of a request's own
// attempts count too.
const minIndependent = 2

// addressInterval returns the time within which crashes at one address count as one. Requests
// that are alike come to a crashed endpoint once more as soon as it is back.
func (p *Parts) addressInterval(d ident.PromptPart) time.Duration {
	if p.isWhole(d) {
		return sameCrashWindow
	}
	return sameAddressInterval
}

// countCauses counts the crashes that a suspect explains: those at different times and
// addresses. Crashes within simultaneousCrashes may have a common cause, unless it is the same request
// that ran at both endpoints, one after the other. A single such moment proves nothing, since
// an endpoint can be lost for any reason right after a request has come from another.
func (p *Parts) countCauses(d ident.PromptPart, crashes []*knownCrash) int {
	countedAt := map[string]time.Time{}
	independent, retried := 0, 0
	var latest time.Time
	for _, c := range sortedByTime(crashes) {
		simultaneous := c.at.Sub(latest) < simultaneousCrashes
		if c.at.Sub(countedAt[c.address]) < p.addressInterval(d) || simultaneous && !(p.isWhole(d) && c.retried.Has(d)) {
			continue
		}
		countedAt[c.address], latest = c.at, c.at
		if simultaneous {
			retried++
		} else {
			independent++
		}
	}
	if independent < minIndependent {
		return independent
	}
	return independent + retried
}

// lateRetries returns how many requests with a suspect have crashed endpoints after the one with the
// MinCrashes-th crash. The attempts of one request count once.
func (p *Parts) lateRetries(d ident.PromptPart) int {
	var suspected []*knownCrash
	for _, c := range p.crashes {
		if c.suspects(d) {
			suspected = append(suspected, c)
		}
	}
	retries := 0
	var latest time.Time
	for i, c := range sortedByTime(suspected) {
		if i >= p.config.MinCrashes && c.at.Sub(latest) >= simultaneousCrashes {
			retries++
		}
		latest = c.at
	}
	return retries
}

// sortedByTime returns crashes from the earliest to the latest.
func sortedByTime(crashes []*knownCrash) []*knownCrash {
	return slices.SortedFunc(slices.Values(crashes), func(x, y *knownCrash) int { return x.at.Compare(y.at) })
}

package blame

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// unknownRun is how long an answer ran of which that is not known.
	unknownRun = time.Duration(math.MaxInt64)
	// runMargin is the time by which an answer has to run for longer than those that a
	// crash cut off.
	runMargin = time.Second
	// longRunTime is the length of a long run. clearingLongRuns is the number of those, for
	// each crash since, that clear a part, however long the answers ran that a crash cut off:
	// a request that crashes endpoints late has one or two for each.
	longRunTime      = 3 * time.Second
	clearingLongRuns = 4
	// maxLongRuns limits the long runs that are kept of a part.
	maxLongRuns = 16
)

// RunID identifies one attempt of a request at an endpoint in the fleet.
type RunID string

// Run is an answer that an endpoint has been giving: events with the part have come for
// Length, the last one at At.
type Run struct {
	ID      RunID
	Part    ident.PromptPart
	Address string
	Length  time.Duration
	At      time.Time
}

// partRuns holds the runs with a part: the longest one, and the latest long ones.
type partRuns struct {
	byID      map[RunID]Run
	learnedAt time.Time
}

// longerThan returns the length from which on a run shows that endpoints do not crash after ran.
// The time after which a request crashes them varies.
func longerThan(ran time.Duration) time.Duration {
	if ran > unknownRun/2 {
		return unknownRun
	}
	return ran + ran/4 + runMargin
}

// RecordRun records an answer that goes on. It clears its part of the crashes before that cut
// off shorter answers.
func (p *Parts) RecordRun(now time.Time, r Run) {
	if !p.Suspected(r.Part) {
		return
	}
	runs := p.runs[r.Part]
	if runs == nil {
		runs = &partRuns{byID: map[RunID]Run{}}
		p.runs[r.Part] = runs
	}
	if known, found := runs.byID[r.ID]; found && !r.At.After(known.At) {
		return
	}
	runs.byID[r.ID] = r
	runs.learnedAt = now
	runs.trim()
	p.reconsider(now, r.Part)
}

// trim drops all runs but the longest one and the latest long ones.
func (r *partRuns) trim() {
	if len(r.byID) <= maxLongRuns+1 {
		return
	}
	runs := r.latest()
	longest := slices.MaxFunc(runs, func(x, y Run) int { return cmp.Compare(x.Length, y.Length) })
	kept := 0
	for _, run := range runs {
		switch {
		case run.ID == longest.ID:
		case run.Length >= longRunTime && kept < maxLongRuns:
			kept++
		default:
			delete(r.byID, run.ID)
		}
	}
}

// latest returns the runs, the latest first.
func (r *partRuns) latest() []Run {
	runs := make([]Run, 0, len(r.byID))
	for _, id := range value.SortedKeys(r.byID) {
		runs = append(runs, r.byID[id])
	}
	slices.SortStableFunc(runs, func(x, y Run) int { return y.At.Compare(x.At) })
	return runs
}

// Suspected reports whether evidence for a part would change anything.
func (p *Parts) Suspected(d ident.PromptPart) bool {
	if _, quarantined := p.quarantined[d]; quarantined {
		return true
	}
	return slices.ContainsFunc(p.crashes, func(c *knownCrash) bool { return c.suspects(d) })
}

// HasSuspects reports whether any part is suspected.
func (p *Parts) HasSuspects() bool { return len(p.crashes)+len(p.quarantined) > 0 }

// isCleared reports whether there is evidence that a part, whose longest answer at a crashed
// endpoint had run for some time, did not cause the crash.
func (p *Parts) isCleared(d ident.PromptPart, c *knownCrash, ran time.Duration) bool {
	return p.soundAt[d].After(c.at) || p.isDisproved(d, c.address, c.at, ran)
}

// isDisproved reports whether runs since show that a part did not crash the endpoint at an
// address at a time. What ran at the crashed process itself does not count.
func (p *Parts) isDisproved(d ident.PromptPart, address string, at time.Time, ran time.Duration) bool {
	runs := p.runs[d]
	if runs == nil {
		return false
	}
	longRuns := 0
	for _, run := range runs.byID {
		if !run.At.After(at) || run.Address == address && !run.At.Add(-run.Length).After(at) {
			continue
		}
		if run.Length > longerThan(ran) {
			return true
		}
		if run.Length >= longRunTime {
			longRuns++
		}
	}
	return longRuns >= clearingLongRuns*(1+p.crashesSince(d, at))
}

// crashesSince returns the number of crashes after a time of which a part is or was a suspect.
func (p *Parts) crashesSince(d ident.PromptPart, at time.Time) int {
	count := 0
	for _, c := range p.crashes {
		if c.at.After(at) && (c.suspects(d) || c.cleared.Has(d)) {
			count++
		}
	}
	return count
}

// reconsider clears a part of the crashes, and ends its quarantine, as far as the evidence goes.
func (p *Parts) reconsider(now time.Time, d ident.PromptPart) {
	for _, c := range p.crashes {
		if c.suspects(d) && p.isCleared(d, c, c.ran[d]) {
			p.clear(now, d, c)
		}
	}
	q, quarantined := p.quarantined[d]
	if quarantined && (p.soundAt[d].After(q.at) || p.isDisproved(d, "", q.at, q.ran)) {
		p.exonerate(d, now)
		p.clearedAt[d] = now
	}
}

// clear removes a part from the suspects of a crash.
func (p *Parts) clear(now time.Time, d ident.PromptPart, c *knownCrash) {
	delete(c.ran, d)
	c.cleared.Add(d)
	p.clearedAt[d] = now
	if _, quarantined := p.quarantined[d]; quarantined {
		p.undecided = true
	}
}

// release ends the quarantine of a part.
func (p *Parts) release(d ident.PromptPart, at time.Time) {
	delete(p.quarantined, d)
	p.releasedAt[d] = at
	p.untoldReleases.Add(d)
}

// exonerate ends the quarantine of a part for which there is evidence.
func (p *Parts) exonerate(d ident.PromptPart, at time.Time) {
	p.release(d, at)
	p.exoneratedAt[d] = at
}

// RecordExoneration records that another instance has ended the quarantine of a part, because of
// evidence for it. Its crashes before count no more.
func (p *Parts) RecordExoneration(now time.Time, d ident.PromptPart, at time.Time) {
	// Ages grow by the delay of each message, so an exoneration comes back a little later.
	if known, exonerated := p.exoneratedAt[d]; exonerated && at.Sub(known) < sameCrashWindow || now.Sub(at) > p.config.Retention {
		return
	}
	for _, c := range p.crashes {
		if c.suspects(d) && c.at.Before(at) {
			p.clear(now, d, c)
		}
	}
	if q, quarantined := p.quarantined[d]; quarantined && q.at.Before(at) {
		p.release(d, at)
	}
	if _, tracked := p.exoneratedAt[d]; tracked || len(p.exoneratedAt) < p.config.MaxPartsTracked {
		p.exoneratedAt[d] = at
	}
}

// TakeReleased returns the parts whose quarantine has ended since the last call.
func (p *Parts) TakeReleased() []ident.PromptPart {
	released := p.untoldReleases.Sorted()
	clear(p.untoldReleases)
	return released
}

// latestExonerations returns when evidence ended quarantines, the latest ones and at most limit.
func (p *Parts) latestExonerations(limit int) map[ident.PromptPart]time.Time {
	parts := value.SortedKeys(p.exoneratedAt)
	slices.SortStableFunc(parts, func(x, y ident.PromptPart) int { return p.exoneratedAt[y].Compare(p.exoneratedAt[x]) })
	latest := map[ident.PromptPart]time.Time{}
	for _, d := range parts[:min(len(parts), limit)] {
		latest[d] = p.exoneratedAt[d]
	}
	return latest
}

// isExonerated reports whether a part has been cleared of crashes, and of those that are left
// there are too few for a quarantine.
func (p *Parts) isExonerated(d ident.PromptPart) bool {
	left, cleared := 0, 0
	for _, c := range p.crashes {
		switch {
		case c.suspects(d):
			left++
		case c.cleared.Has(d):
			cleared++
		}
	}
	return cleared > 0 && left < p.config.MinCrashes
}

// longestRan returns how long the longest answer with a part ran at an endpoint that crashed.
func (p *Parts) longestRan(d ident.PromptPart) time.Duration {
	longest, known := time.Duration(0), false
	for _, c := range p.crashes {
		if c.suspects(d) {
			longest, known = max(longest, c.ran[d]), true
		}
	}
	if !known {
		return unknownRun
	}
	return longest
}

// runsSince returns the runs of the parts of which one was learned after a time, at most limit.
func (p *Parts) runsSince(since time.Time, limit int) []Run {
	var runs []Run
	for _, d := range value.SortedKeys(p.runs) {
		if r := p.runs[d]; r.learnedAt.After(since) && len(runs)+len(r.byID) <= limit {
			runs = append(runs, r.latest()...)
		}
	}
	return runs
}

// expireRuns drops the runs that are too old to matter.
func (p *Parts) expireRuns(now time.Time) {
	for d, r := range p.runs {
		for id, run := range r.byID {
			if now.Sub(run.At) > soundRetention {
				delete(r.byID, id)
			}
		}
		if len(r.byID) == 0 {
			delete(p.runs, d)
		}
	}
}

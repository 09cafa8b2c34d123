package blame

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// News is what an instance has learned lately, for the others.
type News struct {
	Crashes []PartCrash
	Sound   map[ident.PromptPart]time.Time
	Runs    []Run
	// Quarantined holds since when each quarantined part has been so, and Exonerated when
	// evidence ended quarantines.
	Quarantined map[ident.PromptPart]time.Time
	// Probes holds for how many periods of each quarantine a request has been allowed.
	Probes     map[ident.PromptPart]int
	Exonerated map[ident.PromptPart]time.Time
}

// NewsLimits bounds News.
type NewsLimits struct {
	// Crashes is the number of crashes, Suspects that of their parts over all crashes, and
	// Sound that of the sound parts, Runs that of the runs, and Exonerated that of
	// the quarantines that evidence has ended.
	Crashes, Suspects, Sound, Runs, Exonerated int
}

// NewsSince returns the crashes and clearances learned after a time, all quarantines, and the
// exonerations that are remembered.
// Beyond the limits it prefers the crashes that have been told least often, and of these the
// latest, and the latest clearances.
func (p *Parts) NewsSince(now, since time.Time, limits NewsLimits) News {
	n := News{Sound: map[ident.PromptPart]time.Time{}, Quarantined: map[ident.PromptPart]time.Time{}, Probes: map[ident.PromptPart]int{}}
	for _, c := range p.crashesLearnedSince(since) {
		if len(n.Crashes) >= limits.Crashes || len(n.Crashes) > 0 && len(c.ran) > limits.Suspects {
			break
		}
		limits.Suspects -= len(c.ran)
		c.toldCount++
		crash := PartCrash{Address: c.address, At: c.at, Parts: value.SortedKeys(c.ran)}
		for _, d := range crash.Parts {
			crash.Ran = append(crash.Ran, c.ran[d])
			if c.retried.Has(d) {
				crash.Retried = append(crash.Retried, d)
			}
		}
		n.Crashes = append(n.Crashes, crash)
	}
	for _, d := range p.clearedSince(since, limits.Sound) {
		n.Sound[d] = p.soundAt[d]
	}
	n.Runs = p.runsSince(since, limits.Runs)
	n.Exonerated = p.latestExonerations(limits.Exonerated)
	for d, q := range p.quarantined {
		if now.Before(q.until) {
			n.Quarantined[d] = q.at
			if q.probes > 0 {
				n.Probes[d] = q.probes
			}
		}
	}
	return n
}

// crashesLearnedSince returns the crashes learned after a time, those that have been told least
// often first and then the latest.
func (p *Parts) crashesLearnedSince(since time.Time) []*knownCrash {
	var learned []*knownCrash
	for _, c := range slices.Backward(p.crashes) {
		if c.learnedAt.After(since) {
			learned = append(learned, c)
		}
	}
	slices.SortStableFunc(learned, func(x, y *knownCrash) int { return cmp.Compare(x.toldCount, y.toldCount) })
	return learned
}

// clearedSince returns the parts that were cleared after a time and still count as sound, the
// latest first and at most limit of them.
func (p *Parts) clearedSince(since time.Time, limit int) []ident.PromptPart {
	var cleared []ident.PromptPart
	for d, at := range p.clearedAt {
		if _, sound := p.soundAt[d]; sound && at.After(since) {
			cleared = append(cleared, d)
		}
	}
	slices.SortFunc(cleared, func(x, y ident.PromptPart) int {
		return cmp.Or(p.clearedAt[y].Compare(p.clearedAt[x]), cmp.Compare(x, y))
	})
	return cleared[:min(len(cleared), limit)]
}

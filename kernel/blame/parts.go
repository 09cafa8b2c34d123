package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

// PartsConfig configures Parts.
type PartsConfig struct {
	// Retention is how long crashes and quarantines are kept.
	Retention time.Duration
	// A part is quarantined after MinCrashes crashes at different times and endpoints.
	// If others explain as many, it takes MinTiedCrashes, and those are quarantined that
	// are used least.
	MinCrashes     int
	MinTiedCrashes int
	// IsWhole reports whether a suspect stands for whole requests, which have it in common
	// only if they are alike. Of suspects with as many crashes those are quarantined, since
	// that refuses no other request. It may be nil.
	IsWhole func(ident.PromptPart) bool
	// ProbeDelay is the time from a quarantine until a request with the part may run, to show
	// whether it still crashes endpoints. It doubles with each further one.
	ProbeDelay time.Duration
	// MaxLateRetries bounds the requests with a whole suspect that may crash endpoints after
	// the MinCrashes-th crash, probes included. Zero sets no bound.
	MaxLateRetries int
	// MaxCrashes bounds the number of crashes kept, and MaxPartsPerCrash the suspects of
	// each: those that are used least are kept, since the others would have crashed more.
	MaxCrashes       int
	MaxPartsPerCrash int
	// MaxPartsTracked bounds the parts whose uses, or whose complete answers, are kept. Those of
	// suspects are always.
	MaxPartsTracked int
}

// soundRetention is how long a complete answer is remembered, for reports of crashes
// that come later.
const soundRetention = 15 * time.Second

// useWindow is the time over which the requests with a part are counted.
const useWindow = 10 * time.Second

// simultaneousCrashes is the time within which crashes count as one: a common cause
// takes several endpoints down at once.
const simultaneousCrashes = 200 * time.Millisecond

// sameAddressInterval is the time within which crashes at one address count as one, so
// that an endpoint that goes down and up by turns quarantines nothing.
const sameAddressInterval = 5 * time.Second

// PartCrash is the crash of the endpoint at an address, with the prompt parts of the
// requests that had not begun, or had just begun, to be answered there.
type PartCrash struct {
	Address string
	At      time.Time
	Parts   []ident.PromptPart
	// Retried holds the parts of requests that had been sent there after their exchange with
	// another endpoint had broken.
	Retried []ident.PromptPart
	// Ran holds, in the order of Parts, how long the longest answer with each part had been
	// running there; nil if that is not known.
	Ran []time.Duration
}

// ranOf returns how long the longest answer with the part of an index had been running.
func (c PartCrash) ranOf(i int) time.Duration {
	if len(c.Ran) != len(c.Parts) {
		return unknownRun
	}
	return c.Ran[i]
}

// knownCrash is a crash as merged from the reports of all instances.
type knownCrash struct {
	address string
	at      time.Time
	// ran holds the suspects, with the time for which the longest answer with each had been
	// running there.
	ran map[ident.PromptPart]time.Duration
	// retried holds the suspects whose requests had just been sent from another endpoint.
	retried value.Set[ident.PromptPart]
	// cleared holds the parts that were suspects until there was evidence for them.
	cleared value.Set[ident.PromptPart]
	// learnedAt is when the latest suspect was added or found to have run for longer, and
	// toldCount how often the crash has been among the news.
	learnedAt time.Time
	toldCount int
}

// suspects reports whether a part may have caused the crash.
func (c *knownCrash) suspects(d ident.PromptPart) bool {
	_, suspect := c.ran[d]
	return suspect
}

// quarantine is the time during which requests with a part must not run.
type quarantine struct {
	at    time.Time
	until time.Time
	// ran is how long the longest answer with the part ran at an endpoint that crashed.
	ran time.Duration
	// probes is the number of periods in which TakeProbe has allowed a request.
	probes int
}

// usage counts the requests with a part in the present and in the previous useWindow.
type usage struct {
	windowStart       time.Time
	present, previous int
}

// Parts finds the prompt parts that crash every endpoint that begins to answer a
// request with them. Requests share parts, so a crash makes many parts suspect. A part
// is cleared by any request with it that is answered completely after the crash, or that
// runs on for long enough; of the others the one that explains the most crashes is
// quarantined.
type Parts struct {
	config  PartsConfig
	crashes []*knownCrash
	// soundAt is when a request with the part was last answered completely, for
	// soundRetention. clearedAt is when that cleared the part of a crash.
	soundAt   map[ident.PromptPart]time.Time
	clearedAt map[ident.PromptPart]time.Time
	// runs holds unfinished answers with parts that are suspects.
	runs        map[ident.PromptPart]*partRuns
	quarantined map[ident.PromptPart]quarantine
	uses        map[ident.PromptPart]usage
	// releasedAt is when the quarantine of a part was withdrawn, and exoneratedAt when that was
	// because of evidence for it, here or at another instance, and not because others explain
	// the crashes. untoldReleases holds those that TakeReleased has not returned.
	releasedAt     map[ident.PromptPart]time.Time
	exoneratedAt   map[ident.PromptPart]time.Time
	untoldReleases value.Set[ident.PromptPart]
	// undecided is set if there are reports that Update has not considered.
	undecided bool
}

// NewParts returns an instance that knows of no crash.
func NewParts(c PartsConfig) *Parts {
	return &Parts{config: c, soundAt: map[ident.PromptPart]time.Time{}, clearedAt: map[ident.PromptPart]time.Time{}, runs: map[ident.PromptPart]*partRuns{}, quarantined: map[ident.PromptPart]quarantine{}, uses: map[ident.PromptPart]usage{}, releasedAt: map[ident.PromptPart]time.Time{}, exoneratedAt: map[ident.PromptPart]time.Time{}, untoldReleases: value.NewSet[ident.PromptPart]()}
}

// AddCrash adds a report of a crash. Adding the same report again has no effect.
func (p *Parts) AddCrash(now time.Time, report PartCrash) {
	c := p.find(report)
	if c == nil {
		c = &knownCrash{address: report.Address, at: report.At, ran: map[ident.PromptPart]time.Duration{}, retried: value.NewSet[ident.PromptPart](), cleared: value.NewSet[ident.PromptPart]()}
		p.crashes = append(p.crashes, c)
	}
	changed := value.NewSet[ident.PromptPart]()
	for i, d := range report.Parts {
		ran, known := c.ran[d]
		switch {
		case c.cleared.Has(d):
		case p.isCleared(d, c, report.ranOf(i)):
			p.clear(now, d, c)
		case !known || report.ranOf(i) > ran:
			c.ran[d] = report.ranOf(i)
			changed.Add(d)
		}
	}
	for _, d := range report.Retried {
		if c.suspects(d) && !c.retried.Has(d) {
			c.retried.Add(d)
			changed.Add(d)
		}
	}
	p.dropMostUsed(c)
	for d := range changed {
		if c.suspects(d) {
			c.learnedAt = now
			p.undecided = true
		}
	}
}

// dropMostUsed drops the suspects of a crash beyond MaxPartsPerCrash that are used most.
func (p *Parts) dropMostUsed(c *knownCrash) {
	excess := len(c.ran) - p.config.MaxPartsPerCrash
	if excess <= 0 {
		return
	}
	parts := value.SortedKeys(c.ran)
	slices.SortStableFunc(parts, func(x, y ident.PromptPart) int { return cmp.Compare(p.useCount(y), p.useCount(x)) })
	for _, d := range parts[:excess] {
		delete(c.ran, d)
	}
}

func (p *Parts) find(report PartCrash) *knownCrash {
	for _, c := range p.crashes {
		if c.address == report.Address && c.at.Sub(report.At).Abs() < sameCrashWindow {
			return c
		}
	}
	return nil
}

// RecordSound records that a request with the part was answered completely. That clears
// the part of the crashes before.
func (p *Parts) RecordSound(now time.Time, part ident.PromptPart, at time.Time) {
	if !at.After(p.soundAt[part]) {
		return
	}
	if _, known := p.soundAt[part]; known || len(p.soundAt) < p.config.MaxPartsTracked || p.Suspected(part) {
		p.soundAt[part] = at
	}
	p.reconsider(now, part)
}

// AddQuarantine adds the quarantine of a part by another instance, and reports whether it
// is new.
func (p *Parts) AddQuarantine(now time.Time, part ident.PromptPart, at time.Time) bool {
	known, quarantined := p.quarantined[part]
	// Ages grow by the delay of each message, so a quarantine comes back a little later.
	if p.soundAt[part].After(at) || p.releasedAt[part].After(at) || p.exoneratedAt[part].After(at) || quarantined && at.Sub(known.at) < sameCrashWindow {
		return false
	}
	q := quarantine{at: at, until: at.Add(p.config.Retention), ran: p.longestRan(part)}
	if !now.Before(q.until) {
		return false
	}
	p.quarantined[part] = q
	return !quarantined || !now.Before(known.until)
}

// RecordUse counts a request with the part.
func (p *Parts) RecordUse(now time.Time, part ident.PromptPart) {
	u, known := p.uses[part]
	if !known && len(p.uses) >= p.config.MaxPartsTracked {
		return
	}
	if now.Sub(u.windowStart) >= useWindow {
		u = usage{windowStart: now, previous: u.present}
	}
	u.present++
	p.uses[part] = u
}

func (p *Parts) useCount(part ident.PromptPart) int {
	return p.uses[part].present + p.uses[part].previous
}

// Quarantined reports whether requests with the part must not run.
func (p *Parts) Quarantined(now time.Time, part ident.PromptPart) bool {
	q, quarantined := p.quarantined[part]
	return quarantined && now.Before(q.until)
}

// TakeProbe reports whether one request with a quarantined part may run now, and counts it.
func (p *Parts) TakeProbe(now time.Time, part ident.PromptPart) bool {
	q := p.quarantined[part]
	due := probePeriods(now.Sub(q.at), p.config.ProbeDelay)
	if due <= q.probes || p.isWhole(part) && p.config.MaxLateRetries > 0 && p.lateRetries(part) >= p.config.MaxLateRetries {
		return false
	}
	q.probes = due
	p.quarantined[part] = q
	return true
}

// RecordProbes records that instances have allowed a request in some periods of a quarantine.
func (p *Parts) RecordProbes(part ident.PromptPart, periods int) {
	if q, quarantined := p.quarantined[part]; quarantined && periods > q.probes {
		q.probes = periods
		p.quarantined[part] = q
	}
}

// probePeriods returns how many of the periods of the length delay, twice delay, and so on have
// passed in a time.
func probePeriods(passed, delay time.Duration) int {
	periods := 0
	for delay > 0 && passed >= delay {
		passed -= delay
		delay *= 2
		periods++
	}
	return periods
}

// Update quarantines the parts that explain the crashes up to a time, by which the reports of
// all instances on them have arrived: one instance alone does not know all suspects. It
// returns the parts that were not quarantined before, and releases those whose crashes are
// now explained by others, or too few of which are left.
func (p *Parts) Update(now, upTo time.Time) []ident.PromptPart {
	if !p.undecided {
		return nil
	}
	p.undecided = slices.ContainsFunc(p.crashes, func(c *knownCrash) bool { return c.at.After(upTo) })
	var reported []*knownCrash
	for _, c := range p.crashes {
		if !c.at.After(upTo) {
			reported = append(reported, c)
		}
	}
	causes := p.explain(now, reported)
	var quarantined []ident.PromptPart
	for _, d := range causes.Sorted() {
		if !p.Quarantined(now, d) {
			p.quarantined[d] = quarantine{at: now, until: now.Add(p.config.Retention), ran: p.longestRan(d)}
			quarantined = append(quarantined, d)
		}
	}
	for _, d := range value.SortedKeys(p.quarantined) {
		switch {
		case causes.Has(d):
		case p.isExonerated(d):
			p.exonerate(d, now)
		case explainedByOthers(d, reported, causes):
			p.release(d, now)
		}
	}
	return quarantined
}

// explain returns the parts that explain crashes: in turn the one that explains the most
// of the crashes that are left, as long as those are enough.
func (p *Parts) explain(now time.Time, crashes []*knownCrash) value.Set[ident.PromptPart] {
	causes := value.NewSet[ident.PromptPart]()
	for {
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c *knownCrash) bool { return hasAny(c, causes) })
		next := p.nextCauses(now, crashes)
		if len(next) == 0 {
			return causes
		}
		for _, d := range next {
			causes.Add(d)
		}
	}
}

func hasAny(c *knownCrash, parts value.Set[ident.PromptPart]) bool {
	for d := range parts {
		if c.suspects(d) {
			return true
		}
	}
	return false
}

// explainedByOthers reports whether a part is a suspect of crashes, all of which others
// explain.
func explainedByOthers(d ident.PromptPart, crashes []*knownCrash, causes value.Set[ident.PromptPart]) bool {
	suspected := false
	for _, c := range crashes {
		if c.suspects(d) {
			suspected = true
			if !hasAny(c, causes) {
				return false
			}
		}
	}
	return suspected
}

// nextCauses returns the parts that best explain crashes: those whose quarantine has
// lapsed, or the one with the most crashes if it has enough. Of several with as many
// independent ones it prefers those with the most in all, and of these it returns those
// that are used least: the others would have crashed more.
func (p *Parts) nextCauses(now time.Time, crashes []*knownCrash) []ident.PromptPart {
	byPart := map[ident.PromptPart][]*knownCrash{}
	for _, c := range crashes {
		for d := range c.ran {
			byPart[d] = append(byPart[d], c)
		}
	}
	var lapsed, top []ident.PromptPart
	most, mostInAll := 0, 0
	for _, d := range value.SortedKeys(byPart) {
		if q, before := p.quarantined[d]; before && !now.Before(q.until) {
			lapsed = append(lapsed, d)
		}
		count, inAll := p.countCauses(d, byPart[d]), len(byPart[d])
		if c := cmp.Or(cmp.Compare(count, most), cmp.Compare(inAll, mostInAll)); c > 0 {
			most, mostInAll, top = count, inAll, []ident.PromptPart{d}
		} else if c == 0 {
			top = append(top, d)
		}
	}
	if whole := slices.DeleteFunc(slices.Clone(top), func(d ident.PromptPart) bool { return !p.isWhole(d) }); len(whole) > 0 {
		top = whole
	}
	switch {
	case len(lapsed) > 0:
		return lapsed
	case most < p.config.MinCrashes || len(top) > 1 && most < p.config.MinTiedCrashes:
		return nil
	}
	least := p.useCount(slices.MinFunc(top, func(x, y ident.PromptPart) int { return cmp.Compare(p.useCount(x), p.useCount(y)) }))
	return slices.DeleteFunc(top, func(d ident.PromptPart) bool { return p.useCount(d) > least })
}

func (p *Parts) isWhole(d ident.PromptPart) bool {
	return p.config.IsWhole != nil && p.config.IsWhole(d)
}

// Expire drops what is too old to matter, and the oldest crashes beyond MaxCrashes.
func (p *Parts) Expire(now time.Time) {
	p.crashes = slices.DeleteFunc(p.crashes, func(c *knownCrash) bool { return now.Sub(c.at) > p.config.Retention })
	if excess := len(p.crashes) - p.config.MaxCrashes; excess > 0 {
		p.crashes = slices.Delete(p.crashes, 0, excess)
	}
	for d, at := range p.soundAt {
		if now.Sub(at) > soundRetention {
			delete(p.soundAt, d)
		}
	}
	for d, at := range p.clearedAt {
		if now.Sub(at) > soundRetention {
			delete(p.clearedAt, d)
		}
	}
	p.expireRuns(now)
	for _, ended := range []map[ident.PromptPart]time.Time{p.releasedAt, p.exoneratedAt} {
		maps.DeleteFunc(ended, func(_ ident.PromptPart, at time.Time) bool { return now.Sub(at) > p.config.Retention })
	}
	for d, u := range p.uses {
		if now.Sub(u.windowStart) > 2*useWindow {
			delete(p.uses, d)
		}
	}
	for d, q := range p.quarantined {
		if now.Sub(q.until) > p.config.Retention {
			delete(p.quarantined, d)
		}
	}
}

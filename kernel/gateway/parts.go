package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// partCrashes is the number of crashes after which a prompt part that explains more
	// of them than any other is quarantined, tiedPartCrashes that after which one is that
	// explains as many as others.
	partCrashes     = 3
	tiedPartCrashes = 4
	// partRetention is how long a part is quarantined. One more crash after that
	// quarantines it again.
	partRetention = 2 * time.Minute
	// probeDelay is the time from a quarantine until one request with the part is sent, and
	// doubles with each further one.
	probeDelay = 12 * time.Second
	// maxLateRetries is the number of requests with a content that may crash endpoints after
	// it has crashed partCrashes of them.
	maxLateRetries = 3
	// beginningTime is how long after the first event of an answer a crash may still be
	// due to its request: endpoints crash when they begin to answer.
	beginningTime = 500 * time.Millisecond
	// checkDelay is the time from the first broken exchange with an endpoint until it
	// is checked. All exchanges that broke with the first are known then.
	checkDelay = 50 * time.Millisecond
	// crashReportPings is the number of ping periods after a crash by which the reports of
	// all instances have arrived.
	crashReportPings = 3
	// partNewsTime is how long news of crashes is passed on: several ping periods.
	partNewsTime = 3 * time.Second
	// maxPartCrashesPerPing limits the crashes in one ping.
	maxPartCrashesPerPing = 16
	// maxSuspects limits the parts and contents that are suspects of one crash.
	maxSuspects = 512
	// maxTrackedParts limits the parts whose uses, or whose complete answers, are kept.
	maxTrackedParts = 20_000
	// maxSuspectsPerPing and maxSoundPartsPerPing limit the parts in one ping.
	maxSuspectsPerPing   = 1024
	maxSoundPartsPerPing = 512
	// maxRunsPerPing limits the unfinished answers in one ping, and maxExoneratedPerPing the
	// quarantines that evidence has ended.
	maxRunsPerPing       = 64
	maxExoneratedPerPing = 64
	// maxPartIDBytes is the length from which on a part is known by a digest of its id.
	maxPartIDBytes = 64
	// maxLoggedParts limits the parts in one log line.
	maxLoggedParts = 16
)

// contentPrefix begins what contents are known by.
const contentPrefix = "content:"

const quarantinedPartReason = "a part of the prompt, or the content, has crashed the endpoints that ran it"

func newParts() *blame.Parts {
	isContent := func(d ident.PromptPart) bool { return strings.HasPrefix(string(d), contentPrefix) }
	return blame.NewParts(blame.PartsConfig{IsWhole: isContent, Retention: partRetention, ProbeDelay: probeDelay, MinCrashes: partCrashes, MinTiedCrashes: tiedPartCrashes, MaxLateRetries: maxLateRetries, MaxCrashes: maxCrashes, MaxPartsPerCrash: maxSuspects, MaxPartsTracked: maxTrackedParts})
}

// sharedParts returns the prompt parts that other requests may share: all but the last. The
// size of a request's header bounds their number.
func sharedParts(prompt []PromptPart) []ident.PromptPart {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]ident.PromptPart, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		parts = append(parts, partOf(p.ID))
	}
	return parts
}

// contentOf returns what the content of a whole request is known by among the suspects of a
// crash. No part has such an id, since the ids of parts hold no colon.
func contentOf(d ident.Digest) ident.PromptPart { return ident.PromptPart(contentPrefix + d.String()) }

// newSuspects returns what may make endpoints crash that run a request: the prompt parts that it
// shares with others and, last, its content as a whole.
func newSuspects(incoming CallerRequest) []ident.PromptPart {
	return append(sharedParts(incoming.Prompt), contentOf(incoming.Digest))
}

// partOf returns what a part is known by: its id, or the digest of a long one.
func partOf(id string) ident.PromptPart {
	if len(id) <= maxPartIDBytes {
		return ident.PromptPart(id)
	}
	digest := sha256.Sum256([]byte(id))
	return ident.PromptPart("sha256:" + hex.EncodeToString(digest[:16]))
}

// loggedParts returns the first of some parts for a log line, and how many more there are.
func loggedParts(parts []ident.PromptPart) []ident.PromptPart {
	if len(parts) <= maxLoggedParts {
		return parts
	}
	return append(slices.Clone(parts[:maxLoggedParts]), ident.PromptPart(fmt.Sprintf("+%d", len(parts)-maxLoggedParts)))
}

// beginsAnswer reports whether an endpoint with an attempt has not answered it for long.
func (a *attempt) beginsAnswer(now time.Time) bool {
	return a.written && (a.firstEventAt.IsZero() || now.Sub(a.firstEventAt) <= beginningTime)
}

// suspectsOf returns what may have made an endpoint crash while it had an attempt: no part of
// the prompt if it had been answering for a while.
func (r *request) suspectsOf(now time.Time, a *attempt) []ident.PromptPart {
	switch {
	case !a.written:
		return nil
	case a.beginsAnswer(now):
		return r.suspects
	}
	return r.suspects[len(r.suspects)-1:]
}

// brokenExchange returns the record of an attempt whose exchange has just broken.
func (r *request) brokenExchange(now time.Time, a *attempt) brokenExchange {
	b := brokenExchange{digest: r.incoming.Digest, at: now, address: a.address, parts: r.suspectsOf(now, a), retried: r.brokenAttempts > 0}
	if !a.firstEventAt.IsZero() {
		b.ran = now.Sub(a.firstEventAt)
	}
	return b
}

// recordAnswered records that a request has not crashed the endpoint that answered it. An
// answer that ended with its connection may have been cut off by a crash.
func (g *Gateway) recordAnswered(r *request, d Delivery) {
	now := g.now()
	if !d.Delimited {
		b := r.brokenExchange(now, r.attempt)
		b.looksComplete, b.suspects = true, r.suspects
		g.crashes.recordBroken(r.attempt.endpoint, b)
		return
	}
	for _, part := range r.suspects {
		g.crashes.parts.RecordSound(now, part, now)
	}
}

// recordRuns records the answers in progress with parts that are suspects of crashes. A request
// that has run for long, whatever ends it, is not what crashes endpoints as they begin to run it.
func (g *Gateway) recordRuns(now time.Time) {
	if !g.crashes.parts.HasSuspects() {
		return
	}
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		a := r.attempt
		if a == nil || a.member != "" || !a.lastEventAt.After(a.firstEventAt) {
			continue
		}
		id := blame.RunID(fmt.Sprintf("%s/%d/%d", g.config.Self.Name, r.handle, a.id))
		for _, part := range r.suspects {
			g.crashes.parts.RecordRun(now, blame.Run{ID: id, Part: part, Address: a.address, Length: a.lastEventAt.Sub(a.firstEventAt), At: a.lastEventAt})
		}
	}
}

// hasQuarantinedPart reports whether a request must not run because of a part of its
// prompt or because of its content.
func (g *Gateway) hasQuarantinedPart(r *request) bool {
	for _, part := range r.suspects {
		if g.crashes.parts.Quarantined(g.now(), part) && (r.probes != part || r.mayHaveRun) {
			return true
		}
	}
	return false
}

// takeProbe lets a request run although one of its suspects is quarantined, if that is due and
// this instance decides on it for the fleet. Nothing else may be quarantined of it, since its
// crash would tell nothing then. One that must run at most once is no probe.
func (g *Gateway) takeProbe(r *request) bool {
	if r.route.Kind == published.Unsafe {
		return false
	}
	var quarantined []ident.PromptPart
	for _, part := range r.suspects {
		if g.crashes.parts.Quarantined(g.now(), part) {
			quarantined = append(quarantined, part)
		}
	}
	if len(quarantined) != 1 {
		return false
	}
	part := quarantined[0]
	if !slices.Equal(g.members.Ranked(g.now(), "part/"+string(part), 1), []ident.Instance{g.config.Self.Name}) || !g.crashes.parts.TakeProbe(g.now(), part) {
		return false
	}
	r.probes = part
	g.out.LogEvent("quarantineProbed", "request", r.incoming.ID, "part", part)
	return true
}

// recordPartUse counts an admitted request for the parts of its prompt and its content.
func (g *Gateway) recordPartUse(r *request) {
	for _, part := range r.suspects {
		g.crashes.parts.RecordUse(g.now(), part)
	}
}

// checkEndpointLater lets an endpoint be checked that broke off an attempt, since only
// one that is gone has crashed.
func (g *Gateway) checkEndpointLater(a *attempt) {
	if g.crashes.checking.Has(a.endpoint) {
		return
	}
	g.crashes.checking.Add(a.endpoint)
	g.timers.After(checkDelay, func() {
		delete(g.crashes.checking, a.endpoint)
		if e := g.directory.Lookup(a.endpoint); e != nil && len(g.crashes.brokenExchanges[a.endpoint]) > 0 {
			g.suspectPath(e)
		}
	})
}

// updateQuarantine quarantines the prompt parts that explain the crashes known so far.
func (g *Gateway) updateQuarantine(now time.Time) {
	g.recordRuns(now)
	g.crashes.parts.Expire(now)
	reportTime := checkDelay + crashReportPings*g.members.PingPeriod()
	g.quarantineParts(g.crashes.parts.Update(now, now.Add(-reportTime)), "crashes")
	if released := g.crashes.parts.TakeReleased(); len(released) > 0 {
		g.out.LogEvent("promptPartsReleased", "parts", loggedParts(released))
	}
}

// quarantineParts ends the requests with parts that have just been quarantined, unless an
// endpoint has begun to answer them.
func (g *Gateway) quarantineParts(parts []ident.PromptPart, cause string) {
	if len(parts) == 0 {
		return
	}
	g.out.LogEvent("promptPartsQuarantined", "parts", parts, "cause", cause)
	for _, h := range value.SortedKeys(g.requests) {
		r := g.requests[h]
		if r.route != nil && !r.firstEventSent && g.hasQuarantinedPart(r) {
			g.endQuarantined(r)
		}
	}
}

// endQuarantined ends an admitted request that must not run any more.
func (g *Gateway) endQuarantined(r *request) {
	answer := Quarantined
	if r.mayRun() {
		answer = MayHaveRun
	}
	g.end(r, answer, 0, quarantinedPartReason)
}

// addPartNews adds to a ping what other instances have to know of crashes.
func (g *Gateway) addPartNews(now time.Time, p *message.Ping) {
	news := g.crashes.parts.NewsSince(now, now.Add(-partNewsTime), blame.NewsLimits{Crashes: maxPartCrashesPerPing, Suspects: maxSuspectsPerPing, Sound: maxSoundPartsPerPing, Runs: maxRunsPerPing, Exonerated: maxExoneratedPerPing})
	p.TellsContents = len(p.CrashReports) > 0
	for _, c := range news.Crashes {
		p.PartCrashes = append(p.PartCrashes, message.PartCrash{Address: c.Address, Age: now.Sub(c.At), Parts: c.Parts, Ran: c.Ran, Retried: c.Retried})
	}
	for part, at := range news.Sound {
		if p.SoundParts == nil {
			p.SoundParts = map[ident.PromptPart]time.Duration{}
		}
		p.SoundParts[part] = now.Sub(at)
	}
	for _, r := range news.Runs {
		p.PartRuns = append(p.PartRuns, message.PartRun{ID: string(r.ID), Part: r.Part, Address: r.Address, Length: r.Length, Age: now.Sub(r.At)})
	}
	for part, at := range news.Quarantined {
		if p.QuarantinedParts == nil {
			p.QuarantinedParts = map[ident.PromptPart]time.Duration{}
		}
		p.QuarantinedParts[part] = now.Sub(at)
	}
	if len(news.Probes) > 0 {
		p.PartProbes = news.Probes
	}
	for part, at := range news.Exonerated {
		if p.ExoneratedParts == nil {
			p.ExoneratedParts = map[ident.PromptPart]time.Duration{}
		}
		p.ExoneratedParts[part] = now.Sub(at)
	}
}

// mergePartNews takes over what another instance knows of crashes.
func (g *Gateway) mergePartNews(now time.Time, p message.Ping) {
	for _, part := range value.SortedKeys(p.SoundParts) {
		g.crashes.parts.RecordSound(now, part, now.Add(-p.SoundParts[part]))
	}
	for _, part := range value.SortedKeys(p.ExoneratedParts) {
		g.crashes.parts.RecordExoneration(now, part, now.Add(-p.ExoneratedParts[part]))
	}
	var quarantined []ident.PromptPart
	for _, part := range value.SortedKeys(p.QuarantinedParts) {
		if g.crashes.parts.AddQuarantine(now, part, now.Add(-p.QuarantinedParts[part])) {
			quarantined = append(quarantined, part)
		}
		g.crashes.parts.RecordProbes(part, p.PartProbes[part])
	}
	g.quarantineParts(quarantined, string(p.Member.Name))
	for _, c := range p.PartCrashes {
		g.crashes.parts.AddCrash(now, blame.PartCrash{Address: c.Address, At: now.Add(-c.Age), Parts: c.Parts, Ran: c.Ran, Retried: c.Retried})
	}
	for _, r := range p.PartRuns {
		g.crashes.parts.RecordRun(now, blame.Run{ID: blame.RunID(r.ID), Part: r.Part, Address: r.Address, Length: r.Length, At: now.Add(-r.Age)})
	}
}

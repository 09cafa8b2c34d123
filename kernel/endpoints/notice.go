package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/ratelimit"
)

const (
	// noticeRetention is how long the notices of a process are kept that is not listed.
	noticeRetention = 2 * time.Minute
	// maxNotices bounds the processes whose notices are kept.
	maxNotices = 4096
)

// Notice is what the process of an endpoint says of itself in the head of an answer.
type Notice struct {
	// RateLimit is the rate limit that it names; nil if the answer does not tell whether
	// there is one.
	RateLimit *ratelimit.Rate
	// Leaving is set if the process is about to end.
	Leaving bool
	// Rest is how long the process wants no requests from this instance; zero if it does
	// not say.
	Rest time.Duration
}

// statements is what is known of a process from its own notices. It outlives the process's
// listing, which may be removed and come back.
type statements struct {
	// leavingSince is when this instance learned that the process has said, to any
	// instance, that it leaves; zero if it has not.
	leavingSince time.Time
	// listedAt is when the process was last listed.
	listedAt time.Time
}

func (s *statements) leaving() bool { return !s.leavingSince.IsZero() }

// statementsOf returns what is known of a process, for changes; nil if that would be of
// too many processes.
func (d *Directory) statementsOf(now time.Time, p ident.EndpointProcess) *statements {
	s := d.statements[p]
	if s == nil && len(d.statements) < maxNotices {
		s = &statements{listedAt: now}
		d.statements[p] = s
		if e := d.byName[p.Endpoint]; e != nil && e.Process() == p {
			e.said = s
		}
	}
	return s
}

// RecordLeaving records that a process has said that it leaves, and reports whether that is
// news. Nothing takes it back.
func (d *Directory) RecordLeaving(now time.Time, p ident.EndpointProcess) bool {
	s := d.statementsOf(now, p)
	if s == nil || s.leaving() {
		return false
	}
	s.leavingSince = now
	return true
}

// ExpireStatements forgets what processes said that have not been listed for a while.
func (d *Directory) ExpireStatements(now time.Time) {
	maps.DeleteFunc(d.statements, func(p ident.EndpointProcess, s *statements) bool {
		if e := d.byName[p.Endpoint]; e != nil && e.said == s {
			s.listedAt = now
		}
		return now.Sub(s.listedAt) > noticeRetention
	})
}

// SaidToLeave returns the listed processes that have said that they leave while their
// listing does not: those that are known for the shortest time, at most the given number.
func (d *Directory) SaidToLeave(limit int) []ident.EndpointProcess {
	var found []ident.EndpointProcess
	for p, s := range d.statements {
		if e := d.byName[p.Endpoint]; e != nil && e.said == s && s.leaving() && !e.Leaving {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(x, y ident.EndpointProcess) int {
		return cmp.Or(d.statements[y].leavingSince.Compare(d.statements[x].leavingSince), x.Compare(y))
	})
	return found[:min(len(found), limit)]
}

// IsLeaving reports whether the endpoint leaves, by its listing or by its own word.
func (e *Endpoint) IsLeaving() bool { return e.Leaving || e.said.leaving() }

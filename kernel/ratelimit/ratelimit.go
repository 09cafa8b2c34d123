// Package ratelimit keeps a fleet within the rate limits that endpoints name in their
// answers. A limit holds for the sum over all instances, which share no counter. Each
// instance therefore leases its equal share of every limit to one instance, the
// issuer, for a short time. An issuer hands out permits, one for each request to a
// limited endpoint, at the rate of the shares that are leased to it. While instances
// disagree on who the issuer is, there may be several; since no share is leased twice
// at a time, the rates of all together stay within the limit.
package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/ident"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of an endpoint that names no limit.
const Unlimited Rate = -1

// Stricter returns the one of two rates that allows less.
func (r Rate) Stricter(o Rate) Rate {
	if o.stricterThan(r) {
		return o
	}
	return r
}

// stricterThan reports whether a rate allows less than another one.
func (r Rate) stricterThan(o Rate) bool { return r != Unlimited && (o == Unlimited || r < o) }

const (
	// endedRetention is how long it is remembered that a limit has ended, so that
	// older reports do not bring it back.
	endedRetention = 10 * time.Second
	// forgetAfter is how long a limit is remembered without an answer.
	forgetAfter = 90 * time.Second
	// maxReports bounds the reports in one message.
	maxReports = 64
	// transitSlack bounds the time for which a report may be on its way: its receiver
	// takes what it says for that much older.
	transitSlack = 500 * time.Millisecond
	// renewalStep is the time by which a report has to be later than what is known to
	// count as news, since reports go round.
	renewalStep = 500 * time.Millisecond
)

// statement is what one answer of an endpoint said. The endpoint said it at some time
// between askedAt and toldAt.
type statement struct {
	rate    Rate
	askedAt time.Time
	toldAt  time.Time
}

// Report passes a statement on to another instance, with ages instead of times.
type Report struct {
	Rate              Rate          `json:"rate"`
	StartedUnixMillis int64         `json:"started,omitempty"`
	AskedAgo          time.Duration `json:"asked"`
	ToldAgo           time.Duration `json:"told"`
}

// Check returns an error if the report has values that no instance sends.
func (r Report) Check() error {
	if r.Rate < 0 && r.Rate != Unlimited || r.ToldAgo < 0 || r.AskedAgo < r.ToldAgo {
		return errors.Errorf("rate %v, asked %v and told %v ago", r.Rate, r.AskedAgo, r.ToldAgo)
	}
	return nil
}

// Table holds the limits that are known. It is not safe for concurrent use.
type Table struct {
	known map[ident.EndpointProcess]statement
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{known: map[ident.EndpointProcess]statement{}} }

// Rate returns the rate limit of an endpoint, or Unlimited.
func (t *Table) Rate(p ident.EndpointProcess) Rate {
	if s, known := t.known[p]; known {
		return s.rate
	}
	return Unlimited
}

// Empty reports whether nothing is known of any limit.
func (t *Table) Empty() bool { return len(t.known) == 0 }

// Record records the rate that an answer named, to a request that was sent the given
// time ago. It reports whether the limit has changed.
func (t *Table) Record(now time.Time, p ident.EndpointProcess, rate Rate, sentAgo time.Duration) bool {
	return t.merge(p, statement{rate: rate, askedAt: now.Add(-sentAgo), toldAt: now})
}

// merge merges a statement. Answers overtake each other, so a statement replaces
// another one only if its request was sent after the other one had arrived. While the
// order is unknown, the stricter one holds.
func (t *Table) merge(p ident.EndpointProcess, s statement) bool {
	old, known := t.known[p]
	switch {
	case !known && s.rate == Unlimited:
		return false
	case !known, !s.askedAt.Before(old.toldAt):
		t.known[p] = s
	case !old.askedAt.Before(s.toldAt):
		return false
	case s.rate == old.rate:
		old.askedAt, old.toldAt = latest(old.askedAt, s.askedAt), latest(old.toldAt, s.toldAt)
		t.known[p] = old
	case s.rate.stricterThan(old.rate):
		t.known[p] = s
	}
	return t.Rate(p) != old.rateOr(known)
}

// rateOr returns the rate of a statement, or Unlimited if there was none.
func (s statement) rateOr(known bool) Rate {
	if !known {
		return Unlimited
	}
	return s.rate
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// Reports returns what is known for another instance, the latest first, or nil.
func (t *Table) Reports(now time.Time) map[ident.Endpoint]Report {
	if len(t.known) == 0 {
		return nil
	}
	order := slices.SortedFunc(maps.Keys(t.known), func(x, y ident.EndpointProcess) int {
		return cmp.Or(t.known[y].toldAt.Compare(t.known[x].toldAt), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(y.StartedUnixMillis, x.StartedUnixMillis))
	})
	reports := map[ident.Endpoint]Report{}
	for _, p := range order {
		if _, newer := reports[p.Endpoint]; newer || len(reports) == maxReports {
			continue
		}
		reports[p.Endpoint] = t.Report(now, p)
	}
	return reports
}

// Report returns what is known of one endpoint's limit for another instance.
func (t *Table) Report(now time.Time, p ident.EndpointProcess) Report {
	s, known := t.known[p]
	if !known {
		return Report{Rate: Unlimited, StartedUnixMillis: p.StartedUnixMillis}
	}
	return Report{Rate: s.rate, StartedUnixMillis: p.StartedUnixMillis, AskedAgo: now.Sub(s.askedAt), ToldAgo: now.Sub(s.toldAt)}
}

// Merge merges another instance's report on an endpoint, and reports whether the limit
// has changed.
func (t *Table) Merge(now time.Time, e ident.Endpoint, r Report) bool {
	p := ident.EndpointProcess{Endpoint: e, StartedUnixMillis: r.StartedUnixMillis}
	s := statement{rate: r.Rate, askedAt: now.Add(-r.AskedAgo - transitSlack), toldAt: now.Add(-r.ToldAgo)}
	if old, known := t.known[p]; known && s.rate == old.rate && s.toldAt.Sub(old.toldAt) < renewalStep {
		return false
	}
	return t.merge(p, s)
}

// Purge forgets limits that have ended a while ago, or of which no answer has told for
// long.
func (t *Table) Purge(now time.Time) {
	maps.DeleteFunc(t.known, func(_ ident.EndpointProcess, s statement) bool {
		age := now.Sub(s.toldAt)
		return age > forgetAfter || s.rate == Unlimited && age > endedRetention
	})
}

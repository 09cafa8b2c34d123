package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var testStart = time.Unix(1_700_000_000, 0)

// at returns a time in milliseconds from the start of a test.
func at(millis int) time.Time { return testStart.Add(time.Duration(millis) * time.Millisecond) }

// answer is an answer that names a rate, with the milliseconds at which its request was
// sent and at which it arrived.
type answer struct {
	rate      Rate
	sent, got int
}

func wantRate(t *testing.T, table *Table, p ident.EndpointProcess, want Rate) {
	t.Helper()
	if got := table.Rate(p); got != want {
		t.Fatalf("got rate %v, want %v", got, want)
	}
}

// Answers that arrive in another order than they were sent loosen a limit that holds.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		want    Rate
	}{
		{"a first answer without a limit", []answer{{Unlimited, 0, 10}}, Unlimited},
		{"a limit", []answer{{2, 0, 10}}, 2},
		{"it ends", []answer{{2, 0, 10}, {Unlimited, 10, 20}}, Unlimited},
		{"an answer that may be older names none", []answer{{2, 5, 20}, {Unlimited, 10, 30}}, 2},
		{"an older answer arrives after the end", []answer{{2, 0, 10}, {Unlimited, 20, 30}, {2, 0, 15}}, Unlimited},
		{"it is lowered at once", []answer{{4, 0, 20}, {1, 10, 30}}, 1},
		{"it is raised by a later request only", []answer{{1, 0, 20}, {4, 10, 30}}, 1},
		{"it is raised", []answer{{1, 0, 20}, {4, 20, 30}}, 4},
		{"nothing is taken", []answer{{3, 0, 20}, {0, 20, 30}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, p := NewTable(), ident.EndpointProcess{Endpoint: "e"}
			for _, a := range c.answers {
				table.Record(at(a.got), p, a.rate, time.Duration(a.got-a.sent)*time.Millisecond)
			}
			wantRate(t, table, p, c.want)
		})
	}
}

// Reports go round between instances: an old one must not bring a limit back, nor go on
// for ever.
func TestReports(t *testing.T) {
	p := ident.EndpointProcess{Endpoint: "e", StartedUnixMillis: 7}
	told := NewTable()
	told.Record(at(100), p, 2, 50*time.Millisecond)
	t.Run("an instance hears of a limit from another", func(t *testing.T) {
		other := NewTable()
		other.Merge(at(110), "e", told.Reports(at(105))["e"])
		wantRate(t, other, p, 2)
		wantRate(t, other, ident.EndpointProcess{Endpoint: "e", StartedUnixMillis: 8}, Unlimited)
	})
	t.Run("an ended limit does not come back", func(t *testing.T) {
		other := NewTable()
		other.Merge(at(110), "e", told.Reports(at(105))["e"])
		other.Record(at(1000), p, Unlimited, 50*time.Millisecond)
		wantRate(t, other, p, Unlimited)
		other.Merge(at(1100), "e", told.Reports(at(1090))["e"])
		wantRate(t, other, p, Unlimited)
	})
	t.Run("reports that go round do not stay", func(t *testing.T) {
		x, y := NewTable(), NewTable()
		x.Merge(at(110), "e", told.Reports(at(105))["e"])
		for millis := 200; millis < 100_000; millis += 200 {
			if r, known := x.Reports(at(millis))["e"]; known {
				y.Merge(at(millis+4), "e", r)
			}
			if r, known := y.Reports(at(millis + 4))["e"]; known {
				x.Merge(at(millis+8), "e", r)
			}
			x.Purge(at(millis + 8))
			y.Purge(at(millis + 8))
		}
		if !x.Empty() || !y.Empty() {
			t.Fatal("a limit that no answer names is still known after 100 s")
		}
	})
	t.Run("a report with invalid values", func(t *testing.T) {
		for _, r := range []Report{{Rate: -2}, {Rate: 1, ToldAgo: -1}, {Rate: 1, ToldAgo: 2, AskedAgo: 1}} {
			if r.Check() == nil {
				t.Errorf("%+v was accepted", r)
			}
		}
	})
}

// member is an instance that leases its share and issues permits.
type member struct {
	name        ident.Instance
	incarnation ident.Incarnation
	lender      *Lender
	issuer      *Issuer
}

func (m *member) start(now time.Time) {
	m.incarnation++
	m.lender = NewLender(now)
	m.issuer = NewIssuer(IssuerConfig{Self: m.name, Incarnation: m.incarnation, StartedAt: now})
}

// Instances that disagree on the issuer, restart, and get messages seconds late, lease a
// share twice at the same time: two issuers then issue more than the limit.
func TestNoShareIsLeasedTwice(t *testing.T) {
	const ttl = time.Second
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		var members []*member
		for n := range 4 {
			m := &member{name: ident.Instance(fmt.Sprint(n))}
			m.start(at(0))
			members = append(members, m)
		}
		type delivery struct {
			at time.Time
			do func(now time.Time)
		}
		var queue []delivery
		for millis := 1; millis < 30_000; millis += 20 {
			now := at(millis)
			var rest []delivery
			for _, d := range queue {
				if d.at.After(now) {
					rest = append(rest, d)
				} else {
					d.do(now)
				}
			}
			queue = rest
			from, to := members[random.IntN(4)], members[random.IntN(4)]
			wanted := members[random.IntN(2)].name
			incarnation, clock := from.incarnation, from.issuer.Clock(now)
			lease := from.lender.Renew(now, wanted, ttl)
			delay := time.Duration(random.IntN(30)) * time.Millisecond
			if random.IntN(10) == 0 {
				delay = time.Duration(random.IntN(4000)) * time.Millisecond
			}
			queue = append(queue, delivery{now.Add(delay), func(now time.Time) {
				to.lender.RecordClock(now, from.name, incarnation, clock)
				if from.incarnation == incarnation {
					to.issuer.HandleLease(from.name, lease)
				}
			}})
			if random.IntN(400) == 0 {
				from.start(now)
			}
			holders := map[ident.Instance]int{}
			for _, m := range members {
				m.issuer.Shares(now)
				for name := range m.issuer.leaseEnds {
					holders[name]++
				}
			}
			for name, count := range holders {
				if count > 1 {
					t.Fatalf("seed %d: the share of %s is leased %d times at %d ms", seed, name, count, millis)
				}
			}
		}
	}
}

// An issuer gives out more than the shares that are leased to it allow.
func TestIssuerKeepsToItsShares(t *testing.T) {
	for _, c := range []struct {
		shares, instances int
		limit             Rate
		want              int
	}{{4, 4, 1, 10}, {1, 4, 1, 2}, {0, 4, 1, 0}, {2, 4, 20, 100}, {4, 4, 0, 2}} {
		t.Run(fmt.Sprintf("%d of %d shares of %v", c.shares, c.instances, c.limit), func(t *testing.T) {
			i := NewIssuer(IssuerConfig{Self: "i", Incarnation: 1, StartedAt: testStart})
			for n := range c.shares {
				i.HandleLease(ident.Instance(fmt.Sprint(n)), &Lease{Issuer: "i", Incarnation: 1, TTL: time.Minute})
			}
			issued, p := 0, ident.EndpointProcess{Endpoint: "e"}
			for millis := 0; millis <= 10_000; millis += 10 {
				if millis%100 == 0 {
					i.Refill(at(millis), c.instances, func(ident.EndpointProcess) Rate { return c.limit })
				}
				if ok, wait := i.Issue(at(millis), p, c.limit); ok {
					issued++
				} else if wait <= 0 {
					t.Fatal("denied, with a permit at once")
				}
			}
			if issued < c.want-1 || issued > c.want {
				t.Fatalf("%d permits in 10 s, want %d", issued, c.want)
			}
		})
	}
}

// newSoleIssuer returns an issuer to which one instance leases the whole limit for a time.
func newSoleIssuer(ttl time.Duration) *Issuer {
	i := NewIssuer(IssuerConfig{Self: "one", Incarnation: 1, StartedAt: at(0)})
	i.HandleLease("one", &Lease{Issuer: "one", Incarnation: 1, TTL: ttl})
	return i
}

// Permits that an idle endpoint's issuer saved up make a rush of requests break the limit.
func TestRushAtAnIdleEndpoint(t *testing.T) {
	const allowedFactor, allowedExtra, windowMillis = 6, 5, 4000
	for _, limit := range []Rate{1, 20, 200} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			i, p := newSoleIssuer(time.Hour), ident.EndpointProcess{Endpoint: "e"}
			i.Refill(at(0), 1, func(ident.EndpointProcess) Rate { return limit })
			i.Issue(at(0), p, limit)
			const idleUntil = 60_000
			for millis := 0; millis <= idleUntil; millis += 100 {
				i.Refill(at(millis), 1, func(ident.EndpointProcess) Rate { return limit })
			}
			issued := 0
			for millis := idleUntil; millis < idleUntil+windowMillis; millis++ {
				for ok := true; ok; {
					if ok, _ = i.Issue(at(millis), p, limit); ok {
						issued++
					}
				}
			}
			if allowed := allowedFactor*int(limit) + allowedExtra; issued > allowed {
				t.Fatalf("%d permits in %d ms, %d are allowed", issued, windowMillis, allowed)
			}
		})
	}
}

// An issuer keeps a share that its sender has leased to another one since.
func TestLeaseThatMovesEndsAtTheIssuerBefore(t *testing.T) {
	for name, l := range map[string]Lease{"another instance": {Issuer: "two", Incarnation: 1}, "another process": {Issuer: "one", Incarnation: 2}} {
		t.Run(name, func(t *testing.T) {
			i := newSoleIssuer(time.Hour)
			if n := i.Shares(at(1)); n != 1 {
				t.Fatalf("%d shares, want 1", n)
			}
			i.HandleLease("one", &l)
			if n := i.Shares(at(2)); n != 0 {
				t.Fatalf("%d shares after the lease moved, want none", n)
			}
		})
	}
}

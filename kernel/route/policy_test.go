package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/timer"
)

// The bench puts a policy alone before small fakes of endpoints under virtual
// time: endpoints work on a few calls at once and queue the others, reports
// lag, and one of them can be slow or failing.
const (
	centres      = 3
	perCentre    = 3
	concurrency  = 4
	serviceTime  = 100 * time.Millisecond
	crossTime    = 7 * time.Millisecond
	deadline     = 600 * time.Millisecond
	reportLag    = 200 * time.Millisecond
	benchTime    = 60 * time.Second
	seatsInBench = 6
)

// condition is one column of the comparison.
type condition struct {
	name string
	load float64
	// slow multiplies the service time of the first endpoint.
	slow float64
	// failing is the share of calls that the first endpoint fails at once.
	failing float64
	// lag is the age of load reports.
	lag time.Duration
}

var conditions = []condition{
	{name: "half load", load: 0.5, slow: 1, lag: reportLag},
	{name: "0.8 load", load: 0.8, slow: 1, lag: reportLag},
	{name: "0.95 load", load: 0.95, slow: 1, lag: reportLag},
	{name: "one endpoint 10x slow", load: 0.6, slow: 10, lag: reportLag},
	{name: "one endpoint failing", load: 0.6, slow: 1, failing: 1, lag: reportLag},
	{name: "reports 10 s old", load: 0.8, slow: 1, lag: 10 * time.Second},
}

// worker is a fake endpoint.
type worker struct {
	name    ident.Endpoint
	slow    float64
	failing float64
	running int
	queue   []func()
}

// bench is one run of a policy under a condition.
type bench struct {
	clock   *timer.Scheduler
	random  *rand.Rand
	policy  *Policy
	books   []*Directory
	workers map[ident.Endpoint]*worker
	sent    int
	inTime  int
	cross   int
}

func newBench(policy string, c condition) *bench {
	b := &bench{
		clock:   timer.NewScheduler(timer.Config{Start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}),
		random:  rand.New(rand.NewPCG(1, 2)),
		policy:  Lookup(policy),
		workers: map[ident.Endpoint]*worker{},
	}
	var list []Listing
	for i := range centres * perCentre {
		name := ident.Endpoint(fmt.Sprintf("e-%d", i))
		list = append(list, Listing{Name: name, Service: "s", DataCentre: centre(i), Address: "x"})
		b.workers[name] = &worker{name: name, slow: 1}
	}
	b.workers["e-0"].slow = c.slow
	b.workers["e-0"].failing = c.failing
	for range seatsInBench {
		book := NewDirectory()
		book.Update(list)
		b.books = append(b.books, book)
	}
	b.clock.Every(c.lag, b.report)
	return b
}

func centre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc-%d", i%centres)) }

// report shows every instance the state of all endpoints, as of now; it is
// used until the next one.
func (b *bench) report() {
	for _, book := range b.books {
		for name, w := range b.workers {
			book.RecordLoad(b.clock.Now(), name, Load{Running: w.running, Waiting: len(w.queue)})
		}
	}
}

// arrive sends a call through the policy of one instance.
func (b *bench) arrive(seat int) {
	book := b.books[seat]
	here := centre(seat)
	now := b.clock.Now()
	e := b.policy.Choose(&PolicyInput{
		Now: now, Candidates: book.Candidates(now, "s", nil), Seat: ident.Instance(fmt.Sprint(seat)), DataCentre: here,
		Concurrency: concurrency, ExpectedMillis: float64(serviceTime.Milliseconds()), CrossRoundTripMillis: float64(crossTime.Milliseconds()),
		RemainingMillis: float64(deadline.Milliseconds()), Random: b.random,
	})
	b.sent++
	delay := time.Duration(0)
	if e.DataCentre != here {
		b.cross++
		delay = crossTime
	}
	e.RecordStart(now, 0)
	w := b.workers[e.Name]
	if b.random.Float64() < w.failing {
		e.RecordFailure(now)
		return
	}
	b.clock.After(delay, func() {
		w.take(b, func(took time.Duration) {
			e.RecordSuccess(b.clock.Now(), b.clock.Now().Sub(now))
			if b.clock.Now().Sub(now) <= deadline {
				b.inTime++
			}
		})
	})
}

// take works on a call, or queues it.
func (w *worker) take(b *bench, done func(time.Duration)) {
	if w.running >= concurrency {
		w.queue = append(w.queue, func() { w.take(b, done) })
		return
	}
	w.running++
	took := time.Duration(float64(serviceTime) * w.slow * (0.5 + b.random.Float64()))
	b.clock.After(took, func() {
		w.running--
		done(took)
		if len(w.queue) > 0 {
			next := w.queue[0]
			w.queue = w.queue[1:]
			next()
		}
	})
}

// run returns the share of calls that finished in time, and that crossed to
// another data centre.
func run(policy string, c condition) (inTime, cross float64) {
	b := newBench(policy, c)
	rate := c.load * centres * perCentre * concurrency / serviceTime.Seconds()
	end := b.clock.Now().Add(benchTime)
	var next func()
	next = func() {
		if b.clock.Now().After(end) {
			return
		}
		b.arrive(b.random.IntN(seatsInBench))
		b.clock.After(time.Duration(b.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	for b.clock.Now().Before(end.Add(2 * deadline)) {
		due, ok := b.clock.NextDue()
		if !ok {
			break
		}
		b.clock.Advance(due)
	}
	return float64(b.inTime) / float64(b.sent), float64(b.cross) / float64(b.sent)
}

// TestPoliciesCompared holds the policy to the bounds that its issue states:
// never fewer calls in time than the naive one, at most half its traffic
// between data centres, and all in time at moderate load.
func TestPoliciesCompared(t *testing.T) {
	for _, c := range conditions {
		t.Run(c.name, func(t *testing.T) {
			inTime, cross := run("least", c)
			naiveInTime, naiveCross := run("naive", c)
			t.Logf("inTime=%.4f naiveInTime=%.4f cross=%.3f naiveCross=%.3f", inTime, naiveInTime, cross, naiveCross)
			if inTime < naiveInTime {
				t.Errorf("%.4f in time, naive %.4f", inTime, naiveInTime)
			}
			if cross > naiveCross/2 {
				t.Errorf("%.3f cross a data centre, naive %.3f", cross, naiveCross)
			}
			if c.load <= 0.8 && c.failing == 0 && inTime < 0.99 {
				t.Errorf("%.4f in time at load %.2g", inTime, c.load)
			}
		})
	}
}

func TestCandidates(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	b := NewDirectory()
	b.Update([]Listing{{Name: "a", Service: "s", Address: "1"}, {Name: "b", Service: "s", Address: "2"}, {Name: "c", Service: "s", Address: "3"}})
	names := func(at time.Time) (all string) {
		for _, e := range b.Candidates(at, "s", nil) {
			all += string(e.Name)
		}
		return all
	}
	t.Run("an endpoint that says it leaves gets nothing while the list lags", func(t *testing.T) {
		b.MarkLeaving(now, "a")
		if got := names(now); got != "bc" {
			t.Errorf("candidates are %q", got)
		}
		if got := names(now.Add(2 * listLag)); got != "abc" {
			t.Errorf("candidates are %q after the list caught up", got)
		}
	})
	t.Run("failures in a row eject, and not more than half", func(t *testing.T) {
		at := now.Add(2 * listLag)
		for _, name := range []ident.Endpoint{"a", "b"} {
			for range ejectAfter {
				b.Lookup(name).RecordStart(at, 0)
				b.Lookup(name).RecordFailure(at)
			}
			if name == "a" {
				if got := names(at); got != "bc" {
					t.Errorf("candidates are %q after one ejection", got)
				}
			}
		}
		if got := names(at); len(got) != 3 {
			t.Errorf("candidates are %q with two of three ejected", got)
		}
	})
}

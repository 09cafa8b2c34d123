package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/timer"
)

// The simulation runs a policy against fake endpoints in virtual time. The endpoints
// run a few calls at once and queue the others, they report their load only from time
// to time, and the first endpoint can be slow or failing.
const (
	centres            = 3
	endpointsPerCentre = 3
	concurrency        = 4
	serviceTime        = 100 * time.Millisecond
	crossCentreDelay   = 7 * time.Millisecond
	deadline           = 600 * time.Millisecond
	reportLag          = 200 * time.Millisecond
	simulatedTime      = 60 * time.Second
	simulatedInstances = 6
)

// condition is one set of parameters under which the policies are compared.
type condition struct {
	name string
	// load is the offered load as a share of the capacity of all endpoints.
	load float64
	// slowdown multiplies the service time of the first endpoint.
	slowdown float64
	// failureShare is the share of calls that fail at once at the first endpoint.
	failureShare float64
	// lag is the time between load reports.
	lag time.Duration
}

var conditions = []condition{
	{name: "half load", load: 0.5, slowdown: 1, lag: reportLag},
	{name: "0.8 load", load: 0.8, slowdown: 1, lag: reportLag},
	{name: "0.95 load", load: 0.95, slowdown: 1, lag: reportLag},
	{name: "one endpoint 10x slow", load: 0.6, slowdown: 10, lag: reportLag},
	{name: "one endpoint failing", load: 0.6, slowdown: 1, failureShare: 1, lag: reportLag},
	{name: "reports 10 s old", load: 0.8, slowdown: 1, lag: 10 * time.Second},
}

// fakeEndpoint simulates an endpoint.
type fakeEndpoint struct {
	name         ident.Endpoint
	slowdown     float64
	failureShare float64
	running      int
	queue        []func()
}

// simulation is one run of a policy under a condition.
type simulation struct {
	clock       *timer.Scheduler
	random      *rand.Rand
	policy      *Policy
	directories []*Directory
	endpoints   map[ident.Endpoint]*fakeEndpoint
	sent        int
	onTime      int
	crossed     int
}

func newSimulation(policy string, c condition) *simulation {
	s := &simulation{
		clock:     timer.NewScheduler(timer.Config{Start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}),
		random:    rand.New(rand.NewPCG(1, 2)),
		policy:    Lookup(policy),
		endpoints: map[ident.Endpoint]*fakeEndpoint{},
	}
	var list []Listing
	for i := range centres * endpointsPerCentre {
		name := ident.Endpoint(fmt.Sprintf("e-%d", i))
		list = append(list, Listing{Name: name, Service: "s", DataCentre: centre(i), Address: "x"})
		s.endpoints[name] = &fakeEndpoint{name: name, slowdown: 1}
	}
	s.endpoints["e-0"].slowdown = c.slowdown
	s.endpoints["e-0"].failureShare = c.failureShare
	for range simulatedInstances {
		directory := NewDirectory()
		directory.Update(list)
		s.directories = append(s.directories, directory)
	}
	s.clock.Every(c.lag, s.reportLoads)
	return s
}

func centre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc-%d", i%centres)) }

// reportLoads gives every instance a load report of each endpoint, which the instances
// use until the next one.
func (s *simulation) reportLoads() {
	for _, directory := range s.directories {
		for name, f := range s.endpoints {
			directory.RecordLoad(s.clock.Now(), name, Load{Running: f.running, Waiting: len(f.queue)})
		}
	}
}

// sendCall sends a call to the endpoint that the policy chooses for an instance.
func (s *simulation) sendCall(instance int) {
	directory := s.directories[instance]
	local := centre(instance)
	now := s.clock.Now()
	e := s.policy.Choose(&PolicyInput{
		Now: now, Candidates: directory.Candidates(now, "s", nil), Seat: ident.Instance(fmt.Sprint(instance)), DataCentre: local,
		Concurrency: concurrency, ExpectedMillis: float64(serviceTime.Milliseconds()), CrossRoundTripMillis: float64(crossCentreDelay.Milliseconds()),
		RemainingMillis: float64(deadline.Milliseconds()), Random: s.random,
	})
	s.sent++
	delay := time.Duration(0)
	if e.DataCentre != local {
		s.crossed++
		delay = crossCentreDelay
	}
	e.RecordStart(now, 0)
	f := s.endpoints[e.Name]
	if s.random.Float64() < f.failureShare {
		e.RecordFailure(now)
		return
	}
	s.clock.After(delay, func() {
		f.accept(s, func(took time.Duration) {
			e.RecordSuccess(s.clock.Now(), s.clock.Now().Sub(now))
			if s.clock.Now().Sub(now) <= deadline {
				s.onTime++
			}
		})
	})
}

// accept runs a call, or queues it while the endpoint is busy.
func (f *fakeEndpoint) accept(s *simulation, done func(time.Duration)) {
	if f.running >= concurrency {
		f.queue = append(f.queue, func() { f.accept(s, done) })
		return
	}
	f.running++
	took := time.Duration(float64(serviceTime) * f.slowdown * (0.5 + s.random.Float64()))
	s.clock.After(took, func() {
		f.running--
		done(took)
		if len(f.queue) > 0 {
			next := f.queue[0]
			f.queue = f.queue[1:]
			next()
		}
	})
}

// simulate returns the share of calls that completed within the deadline, and the share
// that went to another data centre.
func simulate(policy string, c condition) (onTime, crossed float64) {
	s := newSimulation(policy, c)
	rate := c.load * centres * endpointsPerCentre * concurrency / serviceTime.Seconds()
	end := s.clock.Now().Add(simulatedTime)
	var next func()
	next = func() {
		if s.clock.Now().After(end) {
			return
		}
		s.sendCall(s.random.IntN(simulatedInstances))
		s.clock.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	for s.clock.Now().Before(end.Add(2 * deadline)) {
		due, ok := s.clock.NextDue()
		if !ok {
			break
		}
		s.clock.Advance(due)
	}
	return float64(s.onTime) / float64(s.sent), float64(s.crossed) / float64(s.sent)
}

// TestPoliciesCompared guards against a least policy that is worse than the naive one:
// it must never complete fewer calls in time, must send at most half as many to other
// data centres and, while no endpoint fails, must complete 99% in time at up to 0.8 of
// the capacity.
func TestPoliciesCompared(t *testing.T) {
	for _, c := range conditions {
		t.Run(c.name, func(t *testing.T) {
			onTime, crossed := simulate("least", c)
			naiveOnTime, naiveCrossed := simulate("naive", c)
			t.Logf("inTime=%.4f naiveInTime=%.4f cross=%.3f naiveCross=%.3f", onTime, naiveOnTime, crossed, naiveCrossed)
			if onTime < naiveOnTime {
				t.Errorf("share in time is %.4f, naive %.4f", onTime, naiveOnTime)
			}
			if crossed > naiveCrossed/2 {
				t.Errorf("share sent to other data centres is %.3f, naive %.3f, want at most half", crossed, naiveCrossed)
			}
			if c.load <= 0.8 && c.failureShare == 0 && onTime < 0.99 {
				t.Errorf("share in time is %.4f at load %.2g, want at least 0.99", onTime, c.load)
			}
		})
	}
}

func TestCandidates(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := NewDirectory()
	d.Update([]Listing{{Name: "a", Service: "s", Address: "1"}, {Name: "b", Service: "s", Address: "2"}, {Name: "c", Service: "s", Address: "3"}})
	names := func(at time.Time) (all string) {
		for _, e := range d.Candidates(at, "s", nil) {
			all += string(e.Name)
		}
		return all
	}
	t.Run("an endpoint that says it leaves gets nothing while the list lags", func(t *testing.T) {
		d.MarkLeaving(now, "a")
		if got := names(now); got != "bc" {
			t.Errorf("candidates are %q, want b and c", got)
		}
		if got := names(now.Add(2 * maxListLag)); got != "abc" {
			t.Errorf("candidates are %q after maxListLag, want all", got)
		}
	})
	t.Run("failures in a row eject, and not more than half", func(t *testing.T) {
		at := now.Add(2 * maxListLag)
		for _, name := range []ident.Endpoint{"a", "b"} {
			for range ejectAfterFailures {
				d.Lookup(name).RecordStart(at, 0)
				d.Lookup(name).RecordFailure(at)
			}
			if name == "a" {
				if got := names(at); got != "bc" {
					t.Errorf("candidates are %q after one ejection, want b and c", got)
				}
			}
		}
		if got := names(at); len(got) != 3 {
			t.Errorf("candidates are %q with two of three ejected, want all", got)
		}
	})
}

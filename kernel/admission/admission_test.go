package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var (
	own   = ident.Pool{Service: "first"}
	later = ident.Pool{Service: "later"}
	start = time.Unix(1_700_000_000, 0)
)

const callTime = 450 * time.Millisecond

// bench is a controller with settable capacities and reports. Both pools compute 1,000 pieces a
// second in full calls, and the own one is idle.
type bench struct {
	*Controller
	now      time.Time
	capacity map[ident.Pool]float64
	reported map[ident.Pool]time.Duration
	extra    time.Duration
	count    int
}

func newBench() *bench {
	b := &bench{now: start, capacity: map[ident.Pool]float64{own: 1000, later: 1000}, reported: map[ident.Pool]time.Duration{}}
	b.Controller = NewController(Config{
		Capacity:      func(p ident.Pool) float64 { return b.capacity[p] },
		ReportedWait:  func(p ident.Pool) time.Duration { return b.reported[p] },
		ExtraCallTime: func(ident.Pool) time.Duration { return b.extra },
	})
	return b
}

func (b *bench) queue() Queue {
	return Queue{Pool: own, FullCallTime: callTime, TimeToFinish: func(pieces int) time.Duration {
		// One call of 1,000 pieces at a time.
		return time.Duration(1+max(pieces-1, 0)/1000) * callTime
	}}
}

// request returns a request with one piece here and the given number later, which has 450 ms
// for waits at later pools.
func (b *bench) request(weight float64, pieces int) *Request {
	b.count++
	return &Request{ID: ident.RequestID(fmt.Sprintf("r%03d", b.count)), Weight: weight, Workspace: "w", ReceivedAt: b.now, DueAt: b.now.Add(900 * time.Millisecond), Deadline: b.now.Add(8 * time.Second), Pieces: 1, Downstream: []Demand{{later, pieces}}}
}

func (b *bench) decideOne(r *Request) Decision { return b.Decide(b.now, b.queue(), []*Request{r})[0] }

// fill starts requests that need some pieces of the later pool.
func (b *bench) fill(pieces int, weight float64) {
	b.HandleStarted(b.now, own, b.request(weight, pieces))
}

func wantNear(t *testing.T, label string, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > time.Millisecond {
		t.Errorf("%s: %v, want %v", label, got, want)
	}
}

// An account that does not drain refuses requests after the backlog is gone; one that drains
// too fast starts more than the pool can do.
func TestAccountDrainsAtCapacity(t *testing.T) {
	a := NewAccount(start)
	a.Update(start, 1000, 0)
	a.Add(start, 950, 1)
	wantNear(t, "wait", a.Wait(start, 1), time.Second)
	now := start.Add(400 * time.Millisecond)
	a.Update(now, 1000, 0)
	wantNear(t, "wait after 0.4 s", a.Wait(now, 1), 600*time.Millisecond)
	a.Update(now, 500, 0)
	wantNear(t, "wait at half the capacity", a.Wait(now, 1), 1200*time.Millisecond)
	now = now.Add(2 * time.Second)
	a.Update(now, 1000, 0)
	wantNear(t, "wait after all", a.Wait(now, 1), 0)
}

// A wait that the batcher of a pool reports counts only as far as the account does not explain
// it: pieces reach the pool about a second after they are added, and would count twice.
func TestReportCorrectsAccountUpwards(t *testing.T) {
	a := NewAccount(start)
	a.Update(start, 1000, 0)
	a.Add(start, 285, 1)
	now := start.Add(sampleInterval)
	a.Update(now, 1000, 0)
	now = now.Add(700 * time.Millisecond)
	a.Update(now, 1000, 200*time.Millisecond)
	wantNear(t, "explained report", a.Wait(now, 1), 0)
	a.Update(now, 1000, 700*time.Millisecond)
	wantNear(t, "unexplained report", a.Wait(now, 1), 500*time.Millisecond)
	now = now.Add(2 * explainedWindow)
	a.Update(now, 1000, 200*time.Millisecond)
	wantNear(t, "report after the window", a.Wait(now, 1), 200*time.Millisecond)
	a.Update(now, 1000, reportTolerance)
	wantNear(t, "report within the tolerance", a.Wait(now, 1), 0)
}

// A surprising wait that is due to less urgent pieces must not keep urgent requests out: they go
// first where not all can be in time.
func TestSurprisingWaitCountsByWeight(t *testing.T) {
	a := NewAccount(start)
	a.Update(start, 1000, 0)
	a.Add(start, 1, 1)
	a.Add(start, 3, 0.5)
	now := start.Add(2 * time.Millisecond)
	a.Update(now, 1000, time.Second)
	if urgent, modest := a.Wait(now, 1), a.Wait(now, 0.5); urgent > 300*time.Millisecond || modest < 900*time.Millisecond {
		t.Errorf("waits %v and %v, want a quarter and all of a second", urgent, modest)
	}
}

// A request whose pieces would wait longer than it can afford is refused before its first piece.
func TestRequestThatCannotBeOnTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench()
	b.fill(400, 1)
	if d := b.decideOne(b.request(1, 6)); d.Action != Start {
		t.Errorf("within its slack: %+v", d)
	}
	b.fill(100, 1)
	d := b.decideOne(b.request(1, 6))
	if d.Action != Refuse || d.Short != later {
		t.Errorf("beyond its slack: %+v", d)
	}
	if d.RetryAfter < MinRetryAfter || d.RetryAfter > 8*time.Second/3 {
		t.Errorf("Retry-After %v", d.RetryAfter)
	}
	b.now = b.now.Add(100 * time.Millisecond)
	if d := b.decideOne(b.request(1, 6)); d.Action != Start {
		t.Errorf("after the backlog has drained: %+v", d)
	}
}

// Requests that are decided on together count for each other: the second half must not start on
// the capacity that the first half takes.
func TestRequestsDecidedTogetherCountForEachOther(t *testing.T) {
	b := newBench()
	var requests []*Request
	for range 100 {
		requests = append(requests, b.request(1, 10))
	}
	started := 0
	for _, d := range b.Decide(b.now, b.queue(), requests) {
		if d.Action == Start {
			started++
		}
	}
	// 450 ms of slack hold 427 pieces.
	if started < 40 || started > 46 {
		t.Errorf("%d of 100 started, want about 43", started)
	}
}

// Where the pool of the first stage is the one that is short, its queue must not grow beyond what
// can be on time.
func TestQueueOfOwnPoolIsBounded(t *testing.T) {
	b := newBench()
	var requests []*Request
	for range 5 {
		// One full call each, which the bench runs one after the other.
		r := b.request(1, 0)
		r.Pieces, r.Downstream = 1000, nil
		requests = append(requests, r)
	}
	for i, d := range b.Decide(b.now, b.queue(), requests) {
		want := Refuse
		if i < 2 {
			want = Start
		}
		if d.Action != want || want == Refuse && d.Short != own {
			t.Errorf("request %d: %+v, want action %v", i, d, want)
		}
	}
}

// Less urgent requests leave half of the slack to urgent ones that come next. Without urgent
// ones lately, they may use all of it.
func TestLessUrgentRequestsLeaveSlack(t *testing.T) {
	b := newBench()
	b.fill(300, 1.0/9)
	if d := b.decideOne(b.request(1.0/9, 6)); d.Action != Start {
		t.Errorf("without urgent requests: %+v", d)
	}
	urgent, modest := b.request(1, 6), b.request(1.0/9, 6)
	for _, d := range b.Decide(b.now, b.queue(), []*Request{modest, urgent}) {
		if want := map[*Request]Action{urgent: Start, modest: Hold}[d.Request]; d.Action != want {
			t.Errorf("weight %v: %+v", d.Request.Weight, d)
		}
	}
	// It is held as long as it can still be on time, then started.
	b.now = b.now.Add(100 * time.Millisecond)
	if d := b.decideOne(modest); d.Action != Start {
		t.Errorf("after a while: %+v", d)
	}
	b.now = b.now.Add(2 * classTTL)
	b.fill(300, 1.0/9)
	if d := b.decideOne(b.request(1.0/9, 6)); d.Action != Start {
		t.Errorf("long after the last urgent request: %+v", d)
	}
}

// A held request would wait in vain if the more urgent ones leave too little capacity for the
// backlog to drain in its time.
func TestHeldRequestIsRefusedWhenUrgentOnesTakeTheCapacity(t *testing.T) {
	b := newBench()
	b.decideOne(b.request(1, 6))
	b.fill(330, 1.0/9)
	if d := b.decideOne(b.request(1.0/9, 6)); d.Action != Hold {
		t.Errorf("without urgent load: %+v", d)
	}
	b = newBench()
	for range 200 {
		b.now = b.now.Add(10 * time.Millisecond)
		b.decideOne(b.request(1, 9))
		b.fill(9, 1)
	}
	b.fill(330, 1.0/9)
	if d := b.decideOne(b.request(1.0/9, 6)); d.Action != Refuse {
		t.Errorf("with urgent load: %+v", d)
	}
}

// A pool that is slower than its profile leaves less time for waits.
func TestSlowCallsReduceSlack(t *testing.T) {
	b := newBench()
	b.fill(200, 1)
	b.extra = 300 * time.Millisecond
	if d := b.decideOne(b.request(1, 6)); d.Action != Refuse {
		t.Errorf("%+v", d)
	}
}

// Without endpoints it is unknown when a request can run. They may be back in a moment, so it
// waits as long as it can still be on time.
func TestPoolWithoutEndpointsHolds(t *testing.T) {
	b := newBench()
	b.capacity[later] = 0
	r := b.request(1, 6)
	if d := b.decideOne(r); d.Action != Hold || d.Short != later {
		t.Errorf("%+v", d)
	}
	b.now = b.now.Add(700 * time.Millisecond)
	if d := b.decideOne(r); d.Action != Refuse {
		t.Errorf("when it is late: %+v", d)
	}
}

// A request that comes late, because its caller was refused before, is served while there is
// capacity, after those that can be on time.
func TestLateRequestIsServedAfterTimelyOnes(t *testing.T) {
	b := newBench()
	late, timely := b.request(1, 6), b.request(1, 6)
	late.DueAt = b.now.Add(-time.Second)
	decisions := b.Decide(b.now, b.queue(), []*Request{late, timely})
	if decisions[0].Request != timely || decisions[0].Action != Start || decisions[1].Action != Start {
		t.Errorf("%+v", decisions)
	}
}

// order returns the ids in the order of decisions.
func order(decisions []Decision) []ident.RequestID {
	var ids []ident.RequestID
	for _, d := range decisions {
		ids = append(ids, d.Request.ID)
	}
	return ids
}

func TestOrderOfStart(t *testing.T) {
	b := newBench()
	modest, urgent, cheap, short := b.request(0.3, 6), b.request(1, 60), b.request(1, 6), b.request(1, 6)
	modest.ID, urgent.ID, cheap.ID, short.ID = "modest", "costly", "cheap", "short"
	short.DueAt = b.now.Add(700 * time.Millisecond)
	got := order(b.Decide(b.now, b.queue(), []*Request{modest, urgent, cheap, short}))
	want := []ident.RequestID{"short", "cheap", "costly", "modest"}
	if !slices.Equal(got, want) {
		t.Errorf("order %v, want %v: urgency, then cost, then those that were refused before", got, want)
	}
}

// Between workspaces that have had about the same, the request that needs less goes first: more
// of them can be served.
func TestCheapRequestGoesBeforeCostlyOneOfOtherWorkspace(t *testing.T) {
	b := newBench()
	for _, w := range []ident.Workspace{"one", "other"} {
		for n := range 10 {
			r := b.request(1, 6)
			r.Workspace = w
			if w == "other" || n > 0 {
				b.HandleStarted(b.now, own, r)
			}
		}
	}
	// The costly one would be first by its workspace's use.
	costly, cheap := b.request(1, 4), b.request(1, 1)
	costly.Workspace, cheap.Workspace = "one", "other"
	if got := b.Decide(b.now, b.queue(), []*Request{costly, cheap}); got[0].Request != cheap {
		t.Errorf("order %v, want the cheap one first", order(got))
	}
}

// A workspace that has had more than its share goes behind the others, also with cheap requests,
// but not with more urgent ones.
func TestWorkspaceBeyondItsShareGoesLast(t *testing.T) {
	b := newBench()
	for range 10 {
		r := b.request(1, 6)
		r.Workspace = "heavy"
		b.HandleStarted(b.now, own, r)
	}
	for n := range 5 {
		r := b.request(1, 6)
		r.Workspace = ident.Workspace(fmt.Sprint("light", n))
		b.HandleStarted(b.now, own, r)
	}
	b.now = b.now.Add(time.Second)
	heavy, light, urgent := b.request(1, 2), b.request(1, 30), b.request(2, 6)
	heavy.ID, heavy.Workspace = "heavy", "heavy"
	light.ID, light.Workspace = "light", "light1"
	urgent.ID, urgent.Workspace = "urgent", "heavy"
	if got, want := order(b.Decide(b.now, b.queue(), []*Request{heavy, light, urgent})), []ident.RequestID{"urgent", "light", "heavy"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	// Use is forgotten after some bursts' length.
	b.now = b.now.Add(10 * shareTime)
	heavy, light = b.request(1, 2), b.request(1, 30)
	heavy.ID, heavy.Workspace, light.ID, light.Workspace = "heavy", "heavy", "light", "light1"
	if got, want := order(b.Decide(b.now, b.queue(), []*Request{light, heavy})), []ident.RequestID{"heavy", "light"}; !slices.Equal(got, want) {
		t.Errorf("later: order %v, want %v", got, want)
	}
}

// What counts is the use of the last seconds: a workspace that had much before does not go behind
// one that has had some just now.
func TestUseIsForgottenGradually(t *testing.T) {
	b := newBench()
	had := func(w ident.Workspace, count int) {
		for range count {
			r := b.request(1, 6)
			r.Workspace = w
			b.HandleStarted(b.now, own, r)
		}
	}
	had("before", 10)
	b.now = b.now.Add(3 * shareTime)
	had("now", 3)
	before, now := b.request(1, 6), b.request(1, 6)
	before.Workspace, now.Workspace = "before", "now"
	if got := b.Decide(b.now, b.queue(), []*Request{now, before}); got[0].Request != before {
		t.Errorf("order %v, want the one that had much before", order(got))
	}
}

// A request whose caller has been refused goes before an equal one of a workspace that has had
// as much, although it needs a little more.
func TestRefusedBeforeGoesBeforeEqual(t *testing.T) {
	b := newBench()
	fresh, again := b.request(1, 9), b.request(1, 10)
	fresh.Workspace, again.Workspace = "one", "other"
	again.DueAt = b.now.Add(700 * time.Millisecond)
	if got := b.Decide(b.now, b.queue(), []*Request{fresh, again}); got[0].Request != again {
		t.Errorf("order %v, want the one that was refused before", order(got))
	}
}

// Within one decision, workspaces with equal shares take turns, even if one asks more.
func TestWorkspacesTakeTurns(t *testing.T) {
	b := newBench()
	var requests []*Request
	for n := range 6 {
		r := b.request(1, 6)
		r.Workspace = "many"
		if n >= 4 {
			r.Workspace = "few"
		}
		r.ID = ident.RequestID(fmt.Sprint(r.Workspace, n))
		requests = append(requests, r)
	}
	got := order(b.Decide(b.now, b.queue(), requests))
	if at := slices.Index(got, "few5"); at > 3 {
		t.Errorf("order %v, want both of few among the first four", got)
	}
}

// Callers that come back at the same moment are refused again. Each gets a place of its own, as
// far as its time allows.
func TestCalendarSpreadsReturns(t *testing.T) {
	var c calendar
	var places []time.Duration
	for range 40 {
		places = append(places, c.place(start, 50*time.Millisecond, 0, 9*time.Second))
	}
	for i, p := range places {
		if want := MinRetryAfter + time.Duration(i)*50*time.Millisecond; p != want {
			t.Fatalf("place %d: %v, want %v", i, p, want)
		}
	}
	seen := map[time.Duration]bool{}
	for range 50 {
		p := c.place(start, 50*time.Millisecond, 0, 3*time.Second)
		if p > time.Second || p < MinRetryAfter {
			t.Fatalf("place %v, want at most a third of the caller's time and at least %v", p, MinRetryAfter)
		}
		seen[p.Round(time.Millisecond)] = true
	}
	if len(seen) < 40 {
		t.Errorf("50 callers without a free place share %d times", len(seen))
	}
	if p := c.place(start.Add(time.Hour), time.Second, 2*time.Second, 9*time.Second); p != 2*time.Second {
		t.Errorf("place %v, want the time in which the backlog drains", p)
	}
}

// In an overload, less capacity is left for callers that come back, so their places lie farther
// apart.
func TestReturnsAreSlowerInOverload(t *testing.T) {
	spread := func(perStep int) time.Duration {
		b := newBench()
		for range 200 {
			b.now = b.now.Add(10 * time.Millisecond)
			b.decideOne(b.request(1, perStep))
		}
		b.fill(2000, 1)
		first, second := b.decideOne(b.request(1, 6)), b.decideOne(b.request(1, 6))
		return second.RetryAfter - first.RetryAfter
	}
	// The drain of the backlog is the same in both.
	if calm, overload := spread(1), spread(30); overload < 3*calm {
		t.Errorf("places %v apart in calm conditions, %v in an overload", calm, overload)
	}
}

func TestContentionIsReportedOnce(t *testing.T) {
	b := newBench()
	b.fill(500, 1)
	for range 5 {
		b.decideOne(b.request(1, 6))
	}
	changes := b.TakeChanges(b.now)
	if len(changes) != 1 || !changes[0].Contended || changes[0].Pool != later || len(changes[0].Largest) != 1 || changes[0].Largest[0].Workspace != "w" || math.Abs(changes[0].Largest[0].Part-1) > 0.001 {
		t.Fatalf("changes %+v, want one", changes)
	}
	if changes := b.TakeChanges(b.now.Add(relievedAfter / 2)); len(changes) > 0 {
		t.Fatalf("changes %+v before the pool is relieved", changes)
	}
	changes = b.TakeChanges(b.now.Add(relievedAfter))
	if len(changes) != 1 || changes[0].Contended {
		t.Fatalf("changes %+v, want relief", changes)
	}
}

func TestCounts(t *testing.T) {
	b := newBench()
	r := b.request(1, 6)
	b.decideOne(r)
	b.decideOne(r)
	b.HandleStarted(b.now, own, r)
	b.fill(300, 1)
	held := b.request(0.5, 6)
	b.decideOne(held)
	b.decideOne(held)
	b.fill(3000, 1)
	b.decideOne(b.request(1, 6))
	if got, want := b.Counts()["first"], (Counts{Asked: 3, Started: 3, Held: 1, Refused: 1}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// What the controller keeps must not grow with the requests that it has seen.
func TestStateIsForgotten(t *testing.T) {
	b := newBench()
	for n := range 1000 {
		b.now = b.now.Add(20 * time.Millisecond)
		r := b.request(1, 6)
		r.Workspace = ident.Workspace(fmt.Sprint(n))
		if d := b.decideOne(r); d.Action == Start && n%2 == 0 {
			b.HandleStarted(b.now, own, r)
		} else {
			b.Forget(r.ID)
		}
	}
	b.now = b.now.Add(2 * time.Minute)
	b.Decide(b.now, b.queue(), nil)
	b.now = b.now.Add(2 * time.Second)
	b.Decide(b.now, b.queue(), nil)
	if n := len(b.accounts) + len(b.shares) + len(b.held) + len(b.asked) + len(b.calendars) + len(b.classes[own]); n > 0 {
		t.Errorf("%d accounts, %d shares, %d held, %d asked, %d calendars, %d classes are left", len(b.accounts), len(b.shares), len(b.held), len(b.asked), len(b.calendars), len(b.classes[own]))
	}
}

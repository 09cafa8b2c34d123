package admission

import (
	"math"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/value"
)

const (
	// rankShare is the share of the slack of the most urgent requests that the next less
	// urgent ones may use, and so on for each rank. The rest stays free for urgent requests
	// that come next.
	rankShare = 0.5
	// classTTL is how long a kind of requests counts as seen lately.
	classTTL = 5 * time.Second
	// estimateTolerance is how far the estimated end of a request may lie after its due time.
	// The estimates are those of full calls, which are up to half longer than others.
	estimateTolerance = 100 * time.Millisecond
	// maxLateCompletion is the time from the arrival of a request that is late already until
	// its first calls must have ended. Beyond it, a refusal costs its caller less than the
	// wait.
	maxLateCompletion = 1200 * time.Millisecond
	// minDrain bounds the estimated share of a pool's capacity that more urgent requests
	// leave.
	minDrain = 0.1
	// resultShare is the share of the capacity for results that requests may use while more
	// urgent ones need it too.
	resultShare = 0.75
	// maxRank bounds the rank of less urgent requests: workspaces may have many priorities, and
	// the share of the slack halves with each.
	maxRank = 2
	// largeResultRatio is the ratio of the results of two kinds of requests up to which they
	// compete for the capacity for results.
	largeResultRatio = 4
)

// Demand is a number of pieces that a request needs at a pool of a later stage.
type Demand struct {
	Pool   ident.Pool
	Pieces int
}

// Request is a request that waits for its first stage.
type Request struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	// Weight is the importance of the request. A higher one is more urgent.
	Weight float64
	// ReceivedAt is when the pool got it, DueAt when its pieces in this pool have to be done
	// for it to be on time, with one full call for each later stage, and Deadline when they
	// are of no use.
	ReceivedAt, DueAt, Deadline time.Time
	// Pieces is the number of pieces that wait in this pool, and ResultBytes the size of all
	// their results.
	Pieces      int
	ResultBytes int
	// Downstream holds the pieces of later stages.
	Downstream []Demand
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Start means that the request's pieces may be put into calls.
	Start Action = iota
	// Hold means that it waits, since it may start later and still be on time.
	Hold
	// Refuse means that it cannot be on time.
	Refuse
)

// Decision is what to do with one request.
type Decision struct {
	Request *Request
	Action  Action
	// Short is the pool whose capacity the request is held or refused for, and Wait the wait
	// there.
	Short ident.Pool
	Wait  time.Duration
	// Slack is the wait at later stages that the request can afford or, if it is less, may
	// use.
	Slack time.Duration
	// RetryAfter is set for refused requests.
	RetryAfter time.Duration
}

// Queue describes the pool's own endpoints and the pieces that go before all requests that are
// to be decided on.
type Queue struct {
	Pool ident.Pool
	// Ahead is the number of pieces that go first.
	Ahead int
	// ResultBytes is the capacity for results, and ReservedBytes the part of it that is taken
	// or that the pieces ahead need.
	ResultBytes, ReservedBytes int
	// FullCallTime is the time of a full call, TimeToFinish that until a number of pieces
	// are done.
	FullCallTime time.Duration
	TimeToFinish func(pieces int) time.Duration
}

// Config configures a Controller.
type Config struct {
	// Capacity returns the pieces per second that a pool computes in full calls.
	Capacity func(ident.Pool) float64
	// ReportedWait returns the wait of a piece for an endpoint of a pool, as last reported
	// by the pool's batcher.
	ReportedWait func(ident.Pool) time.Duration
	// ExtraCallTime returns how much longer than usual a full call of a pool takes.
	ExtraCallTime func(ident.Pool) time.Duration
}

// Counts are the requests of a pool by what was decided on them, since the start. A request is
// held at most once.
type Counts struct {
	Asked, Started, Held, Refused int
}

// class is a kind of requests: those of equal weight that have, or do not have, later stages.
type class struct {
	weight     float64
	downstream bool
}

// classState is what is known of a kind of requests.
type classState struct {
	seenAt time.Time
	// timeToDue is the longest time to due seen lately, and resultBytes the largest results.
	timeToDue   time.Duration
	resultBytes int
	timeToDueAt time.Time
}

// Controller decides on the requests of the first-stage pools of one batcher.
type Controller struct {
	config    Config
	accounts  map[ident.Pool]*Account
	shares    map[float64]*shares
	calendars map[float64]*calendar
	classes   map[ident.Pool]map[class]*classState
	held      map[ident.RequestID]time.Time
	asked     map[ident.RequestID]time.Time
	contended map[ident.Pool]time.Time
	counts    map[ident.Service]*Counts
	changes   []Contention
	expiredAt time.Time
}

// NewController returns a controller without any backlog.
func NewController(c Config) *Controller {
	return &Controller{
		config:    c,
		accounts:  map[ident.Pool]*Account{},
		shares:    map[float64]*shares{},
		calendars: map[float64]*calendar{},
		classes:   map[ident.Pool]map[class]*classState{},
		held:      map[ident.RequestID]time.Time{},
		asked:     map[ident.RequestID]time.Time{},
		contended: map[ident.Pool]time.Time{},
		counts:    map[ident.Service]*Counts{},
	}
}

// account returns the account of a pool, updated to the given time.
func (c *Controller) account(now time.Time, pool ident.Pool) *Account {
	a := c.accounts[pool]
	if a == nil {
		a = NewAccount(now)
		c.accounts[pool] = a
	}
	if !a.refreshedAt.Equal(now) {
		a.Update(now, c.config.Capacity(pool), c.config.ReportedWait(pool))
	}
	return a
}

// HandleStarted adds a request whose first piece is put into a call to the accounts.
func (c *Controller) HandleStarted(now time.Time, pool ident.Pool, r *Request) {
	cost := c.costOf(now, pool, r)
	// The batcher knows the backlog of its own pool. Only the rate counts there.
	own := c.account(now, pool)
	own.Add(now, r.Pieces, r.Weight)
	own.pieces = 0
	for _, d := range r.Downstream {
		c.account(now, d.Pool).Add(now, d.Pieces, r.Weight)
	}
	c.sharesOf(r.Weight).add(now, r.Workspace, cost)
	c.countOf(pool).Started++
	delete(c.held, r.ID)
	delete(c.asked, r.ID)
}

// costOf returns the capacity that a request needs in all pools, in seconds of whole pools.
func (c *Controller) costOf(now time.Time, pool ident.Pool, r *Request) float64 {
	cost := c.account(now, pool).timeFor(r.Pieces)
	for _, d := range r.Downstream {
		cost += c.account(now, d.Pool).timeFor(d.Pieces)
	}
	return cost.Seconds()
}

func (c *Controller) sharesOf(weight float64) *shares {
	s := c.shares[weight]
	if s == nil {
		s = newShares()
		c.shares[weight] = s
	}
	return s
}

func (c *Controller) countOf(pool ident.Pool) *Counts {
	n := c.counts[pool.Service]
	if n == nil {
		n = &Counts{}
		c.counts[pool.Service] = n
	}
	return n
}

// Counts returns the counts by the service of the first stage.
func (c *Controller) Counts() map[ident.Service]Counts {
	counts := map[ident.Service]Counts{}
	for s, n := range c.counts {
		counts[s] = *n
	}
	return counts
}

// Decide decides on all waiting requests of a pool of which no piece has started, and returns
// the decisions in the order in which the requests are to start.
func (c *Controller) Decide(now time.Time, q Queue, requests []*Request) []Decision {
	c.expire(now)
	for _, r := range requests {
		c.noteClass(now, q.Pool, r)
	}
	ordered := c.order(now, q, requests)
	decisions := make([]Decision, 0, len(ordered))
	w := walk{ahead: q.Ahead, added: map[ident.Pool]int{}}
	for _, r := range ordered {
		d := c.decide(now, q, r, &w)
		if _, known := c.asked[r.ID]; !known {
			c.asked[r.ID] = now
			c.countOf(q.Pool).Asked++
			c.account(now, q.Pool).Ask(now, r.Pieces)
			for _, n := range r.Downstream {
				c.account(now, n.Pool).Ask(now, n.Pieces)
			}
		}
		switch d.Action {
		case Hold:
			if _, known := c.held[r.ID]; !known {
				c.held[r.ID] = now
				c.countOf(q.Pool).Held++
			}
			c.noteContended(now, d)
		case Refuse:
			d.RetryAfter = c.retryAfter(now, q.Pool, r, d.Wait)
			c.countOf(q.Pool).Refused++
			delete(c.held, r.ID)
			delete(c.asked, r.ID)
			c.noteContended(now, d)
		}
		decisions = append(decisions, d)
	}
	c.noteRelieved(now)
	return decisions
}

// walk is what the requests that were decided on before take.
type walk struct {
	// ahead is the number of pieces in this pool, resultBytes the size of their results, and
	// added the number of pieces in later pools.
	ahead       int
	resultBytes int
	added       map[ident.Pool]int
}

// decide decides on one request, after those that start before it.
func (c *Controller) decide(now time.Time, q Queue, r *candidate, w *walk) Decision {
	d := Decision{Request: r.Request, Short: q.Pool}
	// startIn is the time until the request's call in this pool. More urgent requests that
	// arrive meanwhile go first.
	startIn := max(q.TimeToFinish(w.ahead+r.Pieces)-q.FullCallTime, 0)
	startIn = time.Duration(float64(startIn) / max(1-c.account(now, q.Pool).ShareAbove(now, r.Weight), minDrain))
	due := r.DueAt
	if r.late {
		due = r.ReceivedAt.Add(maxLateCompletion)
	}
	slack := due.Sub(now) - startIn - q.FullCallTime
	wait, longest, drain, measurable := time.Duration(0), time.Duration(0), 1.0, true
	for _, n := range r.Downstream {
		a := c.account(now, n.Pool)
		slack -= c.config.ExtraCallTime(n.Pool)
		left := max(1-a.ShareAbove(now, r.Weight), minDrain)
		poolWait := max(a.Wait(now, r.Weight)+a.timeFor(w.added[n.Pool])-time.Duration(left*float64(startIn)), 0)
		if a.capacity <= 0 {
			measurable = false
		}
		if poolWait > 0 {
			drain = min(drain, left)
		}
		if poolWait > longest {
			longest = poolWait
			d.Short = n.Pool
		}
		wait += poolWait
	}
	allowed := c.allowed(q, r, slack)
	d.Wait, d.Slack = wait, allowed
	if slack < -estimateTolerance {
		d.Action, d.Short, d.Wait = Refuse, q.Pool, startIn
		if wait > startIn {
			d.Short, d.Wait = r.shortest(d.Short, q.Pool, longest), wait
		}
		return d
	}
	if !c.hasResultCapacity(q, r, w) {
		d.Action, d.Short = Hold, q.Pool
		return d
	}
	if wait <= allowed {
		d.Action = Start
		w.ahead += r.Pieces
		w.resultBytes += r.ResultBytes
	} else {
		d.Action = Hold
		// While the request waits, the backlog drains and its slack becomes shorter.
		heldFor := time.Duration(float64(wait-allowed) / drain)
		if measurable && heldFor > slack-allowed {
			d.Action = Refuse
			return d
		}
	}
	for _, n := range r.Downstream {
		w.added[n.Pool] += n.Pieces
	}
	return d
}

// hasResultCapacity reports whether the results of a request may be put into the pool. Requests
// leave a share of the capacity to more urgent ones whose results are of about the same size.
func (c *Controller) hasResultCapacity(q Queue, r *candidate, w *walk) bool {
	if r.ResultBytes == 0 || q.ResultBytes == 0 {
		return true
	}
	competes := false
	for k, s := range c.classes[q.Pool] {
		if k.weight > r.Weight && s.resultBytes >= r.ResultBytes/largeResultRatio && s.resultBytes <= r.ResultBytes*largeResultRatio {
			competes = true
		}
	}
	return !competes || float64(q.ReservedBytes+w.resultBytes+r.ResultBytes) <= resultShare*float64(q.ResultBytes)
}

// shortest returns the pool with the longest wait.
func (r *candidate) shortest(downstream, own ident.Pool, longest time.Duration) ident.Pool {
	if longest > 0 {
		return downstream
	}
	return own
}

// allowed returns the wait at later stages that a request may use: its own slack, and for the
// less urgent ones a part of the slack of the most urgent kind.
func (c *Controller) allowed(q Queue, r *candidate, slack time.Duration) time.Duration {
	rank, top := 0, 0.0
	var topSlack time.Duration
	weights := value.NewSet[float64]()
	for k, s := range c.classes[q.Pool] {
		if k.weight > r.Weight && k.downstream {
			weights.Add(k.weight)
		}
		if k.downstream && k.weight > top {
			top, topSlack = k.weight, s.timeToDue-q.FullCallTime
		}
	}
	rank = min(len(weights), maxRank)
	if r.late {
		rank++
	}
	part := math.Pow(rankShare, float64(rank))
	if rank > 0 {
		slack = min(slack, time.Duration(part*float64(topSlack)))
	}
	return max(slack, time.Duration(part*float64(estimateTolerance)))
}

func classOf(r *Request) class {
	return class{weight: r.Weight, downstream: len(r.Downstream) > 0}
}

// noteClass records that a kind of requests has been seen.
func (c *Controller) noteClass(now time.Time, pool ident.Pool, r *Request) {
	if c.classes[pool] == nil {
		c.classes[pool] = map[class]*classState{}
	}
	s := c.classes[pool][classOf(r)]
	if s == nil {
		s = &classState{}
		c.classes[pool][classOf(r)] = s
	}
	s.seenAt = now
	toDue := r.DueAt.Sub(r.ReceivedAt)
	if now.Sub(s.timeToDueAt) > classTTL {
		s.timeToDue, s.resultBytes = 0, 0
	}
	if toDue >= s.timeToDue {
		s.timeToDue, s.timeToDueAt = toDue, now
	}
	s.resultBytes = max(s.resultBytes, r.ResultBytes)
}

// retryAfter returns when a refused caller is to come back.
func (c *Controller) retryAfter(now time.Time, pool ident.Pool, r *candidate, drained time.Duration) time.Duration {
	k := c.calendars[r.Weight]
	if k == nil {
		k = &calendar{}
		c.calendars[r.Weight] = k
	}
	// The scarcest pool bounds the rate at which callers can come back.
	cost := c.account(now, pool).spareTimeFor(now, r.Pieces)
	for _, d := range r.Downstream {
		cost = max(cost, c.account(now, d.Pool).spareTimeFor(now, d.Pieces))
	}
	return k.place(now, cost, drained, r.Deadline.Sub(now))
}

// Forget drops what is kept of a request that no longer waits.
func (c *Controller) Forget(id ident.RequestID) {
	delete(c.held, id)
	delete(c.asked, id)
}

// expire drops what has not been used lately, once a second.
func (c *Controller) expire(now time.Time) {
	if now.Sub(c.expiredAt) < time.Second {
		return
	}
	c.expiredAt = now
	for weight, s := range c.shares {
		if s.expire(now); len(s.used) == 0 {
			delete(c.shares, weight)
		}
	}
	for _, byClass := range c.classes {
		for k, s := range byClass {
			if now.Sub(s.seenAt) > classTTL {
				delete(byClass, k)
			}
		}
	}
	for pool, a := range c.accounts {
		a.Update(now, c.config.Capacity(pool), c.config.ReportedWait(pool))
		if a.Idle(now) {
			delete(c.accounts, pool)
		}
	}
	for weight, k := range c.calendars {
		if k.nextFree.Before(now) {
			delete(c.calendars, weight)
		}
	}
	for id, at := range c.asked {
		if now.Sub(at) > time.Minute {
			c.Forget(id)
		}
	}
}

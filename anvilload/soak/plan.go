package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind names a disturbance.
type kind string

// The disturbances.
const (
	kill          kind = "kill"
	stop          kind = "stop"
	pause         kind = "pause"
	hangUp        kind = "hangUp"
	storeDown     kind = "storeDown"
	storeForgets  kind = "storeForgets"
	storeLink     kind = "storeLink"
	peerLink      kind = "peerLink"
	workerLink    kind = "workerLink"
	workerBroken  kind = "workerBroken"
	workerFull    kind = "workerFull"
	streamsCut    kind = "streamsCut"
	drain         kind = "drain"
	configuration kind = "configuration"
)

// kinds lists the disturbances with the number of times that each is drawn
// among others.
var kinds = []struct {
	kind  kind
	times int
}{
	{kill, 3}, {stop, 3}, {pause, 2}, {hangUp, 1}, {storeDown, 2}, {storeForgets, 1}, {storeLink, 2},
	{peerLink, 2}, {workerLink, 3}, {workerBroken, 2}, {workerFull, 1}, {streamsCut, 2}, {drain, 2}, {configuration, 4},
}

// event is one disturbance of a run.
type event struct {
	at     time.Duration
	kind   kind
	length time.Duration
	// target numbers a daemon or a worker.
	target int
	link   linkState
}

func (e event) String() string {
	return fmt.Sprintf("%v %s target=%d for=%v link=%d", e.at, e.kind, e.target, e.length, e.link)
}

const (
	// firstEvent is when the disturbances begin, and calmEnd how long before
	// the end of a run the last one is over: the daemons recover in that time.
	firstEvent = time.Second
	calmEnd    = 5 * time.Second
	// series is the most events that come shortly after each other.
	series = 3
)

// newPlan draws the disturbances of a run. They come in series and overlap.
func newPlan(c Config) []event {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	var bag []kind
	for _, k := range kinds {
		for range k.times {
			bag = append(bag, k.kind)
		}
	}
	var plan []event
	last := c.Duration - calmEnd
	for at := firstEvent; at < last; at += time.Duration(300+random.IntN(1500)) * time.Millisecond {
		k := bag[random.IntN(len(bag))]
		for n := range 1 + random.IntN(series) {
			e := event{
				at:     at + time.Duration(n*random.IntN(250))*time.Millisecond,
				kind:   k,
				length: time.Duration(200+random.IntN(2500)) * time.Millisecond,
				target: random.IntN(1 << 16),
				link:   linkDelayed + linkState(random.IntN(int(linkReset-linkDelayed)+1)),
			}
			if e.at+e.length > last {
				e.length = max(last-e.at, 0)
			}
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(x, y event) int { return int(x.at - y.at) })
	return plan
}

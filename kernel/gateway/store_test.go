package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/value"
)

const (
	// storeDelay is the one-way delay to the store, listTransferTime the time in
	// which a full list arrives.
	storeDelay       = 4 * time.Millisecond
	listTransferTime = 8 * time.Millisecond
	// storeWatchWait is how long the store holds a watch without changes.
	// watchTimeout and listTimeout are those of a reader's calls.
	storeWatchWait = 900 * time.Millisecond
	watchTimeout   = 1400 * time.Millisecond
	listTimeout    = 1500 * time.Millisecond
	// followerPeriod is the interval at which an instance checks whether it reads the
	// store.
	followerPeriod = 100 * time.Millisecond
	// storeIdleTime is how long a reader keeps an unused connection to the store.
	storeIdleTime = time.Second
	// minRetryPause and maxRetryPause bound a reader's pause after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// pathState is what happens to calls and messages on a path.
type pathState int

const (
	pathOpen pathState = iota
	pathSilent
	pathResetting
)

// testStore is the platform's store as the instances of a fleet reach it.
type testStore struct {
	fleet    *testFleet
	records  map[string]replica.Record
	revision replica.Revision
	watches  []*storeWatch
	// paths holds the instances' paths to the store, if they are not open.
	paths map[ident.Instance]pathState
	// staleConnections holds the instances whose connection to the store is dead
	// without a reset.
	staleConnections value.Set[ident.Instance]
	readers          map[ident.Instance]*storeReader
	// lists counts the full lists that were sent.
	lists int
	// slowness is what the store's replies take longer than storeDelay.
	slowness time.Duration
}

// storeWatch is a watch that waits for changes.
type storeWatch struct {
	after    replica.Revision
	answered bool
	reply    func([]replica.Record, replica.Revision)
}

func newTestStore(f *testFleet, records []replica.Record) *testStore {
	s := &testStore{fleet: f, records: map[string]replica.Record{}, paths: map[ident.Instance]pathState{}, staleConnections: value.NewSet[ident.Instance](), readers: map[ident.Instance]*storeReader{}}
	for _, r := range records {
		s.put(r)
	}
	return s
}

// put stores a record under the next revision and answers the waiting watches.
func (s *testStore) put(r replica.Record) {
	s.revision++
	r.Revision = s.revision
	s.records[r.Key] = r
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		s.answer(w)
	}
}

func (s *testStore) answer(w *storeWatch) {
	if w.answered {
		return
	}
	w.answered = true
	var changes []replica.Record
	for _, key := range value.SortedKeys(s.records) {
		if r := s.records[key]; r.Revision > w.after {
			changes = append(changes, r)
		}
	}
	w.reply(changes, s.revision)
}

func (s *testStore) list() ([]replica.Record, replica.Revision) {
	s.lists++
	var all []replica.Record
	for _, key := range value.SortedKeys(s.records) {
		if r := s.records[key]; !r.Removed {
			all = append(all, r)
		}
	}
	return all, s.revision
}

// reset fails an instance's call to the store that is in progress.
func (s *testStore) reset(name ident.Instance) {
	if r := s.readers[name]; r != nil && r.fail != nil {
		r.fail()
	}
}

// storeReader reads the store for one process of an instance as package metadata
// of the daemon does.
type storeReader struct {
	store   *testStore
	name    ident.Instance
	gateway *Gateway
	listed  bool
	// historyGone is set if the store does not have the revision of the last watch.
	historyGone bool
	unavailable bool
	pause       time.Duration
	calledAt    time.Time
	// fail fails the call in progress; nil if there is none.
	fail func()
}

// follow starts the reader of an instance's present process.
func (s *testStore) follow(name ident.Instance) {
	r := &storeReader{store: s, name: name, gateway: s.fleet.gateways[name]}
	s.readers[name] = r
	delete(s.staleConnections, name)
	s.fleet.timers.After(0, r.step)
}

func (r *storeReader) ended() bool {
	return r.store.fleet.gateways[r.name] != r.gateway || r.store.fleet.down[r.name]
}

// step makes the next call, or waits if the instance does not read.
func (r *storeReader) step() {
	switch {
	case r.ended():
	case !r.gateway.ReadsPlatform():
		r.unavailable, r.pause = false, 0
		r.store.fleet.timers.After(followerPeriod, r.step)
	case r.listed:
		after := r.gateway.AsOf()
		r.call(watchTimeout, func(reply func(func())) {
			if after.Era() != r.store.revision.Era() || after > r.store.revision {
				reply(func() { r.historyGone = true })
				return
			}
			w := &storeWatch{after: after, reply: func(changes []replica.Record, asOf replica.Revision) {
				reply(func() { r.gateway.HandleChanges(changes, asOf) })
			}}
			if r.store.revision > after {
				r.store.answer(w)
				return
			}
			r.store.watches = append(r.store.watches, w)
			r.store.fleet.timers.After(storeWatchWait, func() { r.store.answer(w) })
		})
	default:
		r.call(listTimeout, func(reply func(func())) {
			all, asOf := r.store.list()
			r.store.fleet.timers.After(listTransferTime, func() {
				reply(func() { r.gateway.HandleFullList(all, asOf) })
			})
		})
	}
}

// call makes one call. start is called when it has arrived at the store, with a
// function that sends the reply back.
func (r *storeReader) call(timeout time.Duration, start func(reply func(apply func()))) {
	timers := r.store.fleet.timers
	finished := false
	finish := func(apply func()) {
		if finished || r.ended() {
			return
		}
		finished, r.fail, r.calledAt = true, nil, timers.Now()
		if apply == nil {
			// The connection of a failed call is not used again.
			delete(r.store.staleConnections, r.name)
		}
		r.handleOutcome(apply)
		timers.After(r.pause, r.step)
	}
	r.fail = func() { finish(nil) }
	stale := r.store.staleConnections.Has(r.name) && timers.Now().Sub(r.calledAt) < storeIdleTime
	delete(r.store.staleConnections, r.name)
	if r.path() == pathResetting {
		timers.After(storeDelay, r.fail)
		return
	}
	timers.After(timeout, func() { finish(nil) })
	if r.path() == pathSilent || stale {
		return
	}
	timers.After(storeDelay, func() {
		start(func(apply func()) {
			timers.After(storeDelay+r.store.slowness+r.store.fleet.slowness[r.name], func() {
				if r.path() == pathOpen && !r.store.staleConnections.Has(r.name) {
					finish(apply)
				}
			})
		})
	})
}

func (r *storeReader) path() pathState { return r.store.paths[r.name] }

// handleOutcome applies the reply of a call; apply is nil if the call failed.
func (r *storeReader) handleOutcome(apply func()) {
	if apply == nil {
		r.listed = false
		if !r.unavailable {
			r.unavailable = true
			r.gateway.HandlePlatformUnavailable()
		}
		r.pause = min(max(2*r.pause, minRetryPause), maxRetryPause)
		return
	}
	apply()
	r.listed, r.historyGone, r.pause = !r.historyGone, false, 0
	if r.unavailable {
		r.unavailable = false
		r.gateway.HandlePlatformAvailable()
	}
}

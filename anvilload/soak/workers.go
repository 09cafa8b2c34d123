package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// faultTable holds the faults of each worker by event, so that an event that ends leaves those
// of the others.
type faultTable struct {
	mutex sync.Mutex
	begun map[string][]*worker.Faults
	// apply replaces the faults of a worker.
	apply func(name string, f worker.Faults)
}

func newFaultTable(apply func(string, worker.Faults)) *faultTable {
	return &faultTable{begun: map[string][]*worker.Faults{}, apply: apply}
}

// begin adds faults to those of a worker. The result ends them.
func (t *faultTable) begin(name string, f worker.Faults) (end func()) {
	t.change(name, func(all []*worker.Faults) []*worker.Faults { return append(all, &f) })
	return func() {
		t.change(name, func(all []*worker.Faults) []*worker.Faults {
			return slices.DeleteFunc(all, func(other *worker.Faults) bool { return other == &f })
		})
	}
}

// change changes the faults of a worker and applies them together.
func (t *faultTable) change(name string, edit func([]*worker.Faults) []*worker.Faults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.begun[name] = edit(t.begun[name])
	var sum worker.Faults
	for _, f := range t.begun[name] {
		sum.Full = sum.Full || f.Full
		sum.Leaving = sum.Leaving || f.Leaving
		sum.Disconnects = sum.Disconnects || f.Disconnects
		sum.Rest = cmp.Or(sum.Rest, f.Rest)
		sum.CutAfterEvents = max(sum.CutAfterEvents, f.CutAfterEvents)
	}
	t.apply(name, sum)
}

// limitWorker lets a worker name a rate limit.
func (r *runner) limitWorker(name string, e event) {
	r.holdToLimit(limitSpan{worker: name, rate: workerRateLimit, contact: limitContactTime, window: limitWindow}, e.duration, func(time.Duration) {
		r.site.SetRateLimit(name, strconv.Itoa(workerRateLimit))
	}, func() { r.site.SetRateLimit(name, "") })
}

// chillWorker makes a worker cold.
func (r *runner) chillWorker(name string, e event) {
	r.holdToLimit(limitSpan{worker: name, rate: workerColdRate, contact: coldContactTime, window: coldWindow}, e.duration, func(d time.Duration) {
		r.site.Chill(name, d, workerColdRate)
	}, func() { r.site.Chill(name, 0, workerColdRate) })
}

// holdToLimit limits a worker for a time and records that. Only one event at a time does.
func (r *runner) holdToLimit(l limitSpan, duration time.Duration, begin func(time.Duration), end func()) {
	r.mutex.Lock()
	if r.limited[l.worker] {
		r.mutex.Unlock()
		return
	}
	r.limited[l.worker] = true
	r.mutex.Unlock()
	l.from = time.Now()
	d := l.contact + l.window + duration
	begin(d)
	time.Sleep(d)
	l.to = time.Now()
	end()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limited[l.worker] = false
	r.history.limits = append(r.history.limits, l)
}

// applyWorkerEvent applies an event that affects a worker or its link.
func (r *runner) applyWorkerEvent(e event) {
	services := map[eventKind][]string{
		eventWorkerLink:   {"orders", "registry", "planning", "models"},
		eventWorkerBroken: {"orders", "registry", "planning"},
		eventWorkerFull:   {"orders", "models"},
		eventWorkerRests:  {"orders", "models"},
		eventStreamsCut:   {"models"},
		eventDrain:        {"orders", "models"},
	}[e.kind]
	name := fmt.Sprintf("%s-%d", services[e.target%len(services)], e.target/len(services)%site.WorkersPerService)
	if e.kind == eventDrain {
		r.drainWorker(name, e.duration)
		return
	}
	from := time.Now()
	faults := map[eventKind]worker.Faults{eventWorkerBroken: {Disconnects: true}, eventWorkerFull: {Full: true}, eventWorkerRests: {Full: true, Rest: workerRestText}, eventStreamsCut: {CutAfterEvents: 5}}
	if e.kind == eventWorkerLink {
		r.impairLink(name, e)
	} else {
		end := r.faults.begin(name, faults[e.kind])
		time.Sleep(e.duration)
		end()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.history.faultSpans = append(r.history.faultSpans, faultSpan{from: from, to: time.Now(), daemon: noDaemon, worker: name})
}

// beginLeaving marks a worker's service as one that a worker leaves. It returns false if
// another one does: only one worker of a service leaves at a time.
func (r *runner) beginLeaving(name string) bool {
	service := name[:len(name)-2]
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.draining[service] {
		return false
	}
	r.draining[service] = true
	return true
}

// endLeaving lets a worker come back as a new process, and records the time in which it was
// leaving unless that is not known.
func (r *runner) endLeaving(d drainSpan, known bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.site.Restore(d.worker)
	r.draining[d.worker[:len(d.worker)-2]] = false
	if known {
		r.history.drains = append(r.history.drains, d)
	}
}

// drainWorker marks a worker as draining and restores it later.
func (r *runner) drainWorker(name string, duration time.Duration) {
	if !r.beginLeaving(name) {
		return
	}
	r.mutex.Lock()
	r.site.Drain(name)
	r.mutex.Unlock()
	d := drainSpan{worker: name, from: time.Now()}
	time.Sleep(duration + maxDrainDelay)
	d.to = time.Now()
	r.endLeaving(d, true)
}

// leaveByWord lets a worker say in its answers, and not in its entry, that it leaves.
func (r *runner) leaveByWord(name string, duration time.Duration) {
	if !r.beginLeaving(name) {
		return
	}
	begun := time.Now()
	end := r.faults.begin(name, worker.Faults{Leaving: true})
	time.Sleep(duration + 2*maxDrainDelay)
	d := drainSpan{worker: name, to: time.Now()}
	end()
	told, known := r.firstArrival(name, begun)
	d.from = told.Add(noticeTime)
	r.endLeaving(d, known)
}

// firstArrival returns when the first request after a time reached a worker.
func (r *runner) firstArrival(name string, after time.Time) (first time.Time, found bool) {
	for _, record := range r.site.Recorder.Records() {
		for _, a := range record.Arrivals {
			if a.Worker == name && a.Start.After(after) && (!found || a.Start.Before(first)) {
				first, found = a.Start, true
			}
		}
	}
	return first, found
}

package soak

import (
	"fmt"
	"strconv"
	"time"

	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// limitWorker lets a worker name a rate limit. Only one event at a time limits it.
func (r *runner) limitWorker(name string, e event) {
	r.mutex.Lock()
	if r.limited[name] {
		r.mutex.Unlock()
		return
	}
	r.limited[name] = true
	r.mutex.Unlock()
	l := limitSpan{worker: name, from: time.Now()}
	r.site.SetRateLimit(name, strconv.Itoa(workerRateLimit))
	time.Sleep(limitContactTime + limitWindow + e.duration)
	l.to = time.Now()
	r.site.SetRateLimit(name, "")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limited[name] = false
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
		r.site.SetFaults(name, faults[e.kind])
		time.Sleep(e.duration)
		r.site.SetFaults(name, worker.Faults{})
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
	r.site.SetFaults(name, worker.Faults{Leaving: true})
	time.Sleep(duration + 2*maxDrainDelay)
	d := drainSpan{worker: name, to: time.Now()}
	r.site.SetFaults(name, worker.Faults{})
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

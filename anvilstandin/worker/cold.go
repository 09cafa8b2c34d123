package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Factors of the bound above which a cold worker crashes.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// coldState says for how long a worker is cold, and what reached it within the last second.
type coldState struct {
	until     time.Time
	perSecond float64
	arrivals  []time.Time
	crashes   int
}

// Chill makes the worker cold for a time, in which it crashes if it gets more than the bound
// for the given number of requests per second.
func (w *Worker) Chill(d time.Duration, perSecond float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cold = coldState{until: time.Now().Add(d), perSecond: perSecond, crashes: w.cold.crashes}
}

// ColdCrashes returns how many requests found the worker crashed because it was cold.
func (w *Worker) ColdCrashes() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cold.crashes
}

// takeCold counts a request and closes its connection if a cold worker has had too many.
func (w *Worker) takeCold() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if !now.Before(w.cold.until) {
		return
	}
	w.cold.arrivals = slices.DeleteFunc(append(w.cold.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if float64(len(w.cold.arrivals)) > coldFactor*w.cold.perSecond+coldSlack {
		w.cold.crashes++
		panic(http.ErrAbortHandler)
	}
}

// serveHealth answers a health check, which needs no slot, and reports whether it was one.
func (w *Worker) serveHealth(out http.ResponseWriter, r *http.Request) bool {
	if r.Method != http.MethodGet || r.URL.Path != "/health" {
		return false
	}
	w.describeItself(out)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.config.Name {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	out.Header().Set("Cold-Ms", strconv.FormatInt(max(time.Until(w.cold.until).Milliseconds(), 0), 10))
	return true
}

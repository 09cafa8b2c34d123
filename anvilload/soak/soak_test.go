package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"anvilcross/anvilload/fleet"
	"anvilcross/anvilstandin/client"
	"anvilcross/anvilstandin/worker"
)

var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "anvilcross")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if binary, err = fleet.Build(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// TestShortRun runs real daemons, with the events of a fixed seed, and expects
// that no check finds a violation.
func TestShortRun(t *testing.T) {
	for _, seed := range []uint64{1} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := Config{Seed: seed, Daemons: 4, Callers: 8, Duration: 12 * time.Second, Binary: binary, Directory: t.TempDir()}
			report, err := Run(c)
			if err != nil {
				t.Fatal(err)
			}
			if len(report.Violations) > 0 {
				var text strings.Builder
				report.Write(&text, c)
				t.Fatal(text.String())
			}
		})
	}
}

var testStart = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

// wholeExchange returns the exchange of a request that one worker served whole,
// and the workers' record of the request.
func wholeExchange(route string, offset time.Duration) (exchange, worker.Record) {
	request := client.NewRequest(route)
	request.Timeout = requestDeadline
	s := exchange{request: request, sentAt: at(offset), reply: client.ExpectedReply(request)}
	s.reply.Elapsed = 20 * time.Millisecond
	attempt := worker.Attempt{Worker: "orders-0", Start: at(offset), End: at(offset + 20*time.Millisecond)}
	return s, worker.Record{Arrivals: []worker.Attempt{attempt}, Runs: []worker.Attempt{attempt}}
}

// TestEachCheckCatchesABrokenDaemon feeds each check the history that a daemon
// leaves if it violates just that guarantee. A check that always passes would
// otherwise go unnoticed.
func TestEachCheckCatchesABrokenDaemon(t *testing.T) {
	cases := map[string]func(h *history, s *exchange, r *worker.Record){
		"whole":     func(_ *history, s *exchange, _ *worker.Record) { s.reply.Body = s.reply.Body[:10] },
		"once":      func(_ *history, _ *exchange, r *worker.Record) { r.Runs = append(r.Runs, r.Runs[0]) },
		"refused":   func(_ *history, s *exchange, _ *worker.Record) { s.reply.Status = http.StatusServiceUnavailable },
		"workers":   func(h *history, _ *exchange, _ *worker.Record) { h.problems = []string{"a key was passed on"} },
		"answered":  func(_ *history, s *exchange, _ *worker.Record) { s.reply.Elapsed = requestDeadline + 2*timingSlack },
		"recovered": func(h *history, s *exchange, _ *worker.Record) { s.reply.Status, h.eventsEnd = 502, at(-time.Minute) },
		"drain": func(h *history, _ *exchange, _ *worker.Record) {
			h.drains = []drainSpan{{worker: "orders-0", from: at(-10 * time.Second), to: at(time.Minute)}}
		},
		"forward": func(h *history, _ *exchange, _ *worker.Record) {
			h.probes = []versionProbe{{version: 2, status: 200, publishedAt: at(0), sentAt: at(time.Second)}, {version: 2, status: 404, publishedAt: at(0), sentAt: at(2 * time.Second)}}
		},
		"inForce": func(h *history, _ *exchange, _ *worker.Record) {
			h.probes = []versionProbe{{version: 2, status: 404, publishedAt: at(0), sentAt: at(10 * time.Second)}}
		},
		"left": func(_ *history, s *exchange, r *worker.Record) {
			s.request.Route, s.leftAt = "verse", s.sentAt
			r.Runs[0].End = s.sentAt.Add(5 * time.Second)
		},
		"limit": func(h *history, _ *exchange, r *worker.Record) {
			h.limits = []limitSpan{{worker: "orders-0", from: at(-10 * time.Second), to: at(time.Minute), rate: workerRateLimit, contact: limitContactTime, window: limitWindow}}
			for range 30 {
				r.Arrivals = append(r.Arrivals, r.Arrivals[0])
			}
		},
		"rest": func(_ *history, s *exchange, r *worker.Record) {
			r.Rests = r.Arrivals[:1]
			for range 3 {
				r.Arrivals = append(r.Arrivals, worker.Attempt{Worker: "orders-0", Start: s.sentAt.Add(time.Second)})
			}
		},
		"budget": func(_ *history, _ *exchange, r *worker.Record) {
			for range 30 {
				r.Arrivals = append(r.Arrivals, r.Arrivals[0])
			}
		},
	}
	if len(cases) != len(checks) {
		t.Fatalf("%d cases for %d checks", len(cases), len(checks))
	}
	for _, c := range checks {
		t.Run(c.name, func(t *testing.T) {
			h := &history{startedAt: at(0), endedAt: at(time.Minute), workerRecords: map[string]worker.Record{}}
			s, r := wholeExchange("order", time.Second)
			updateHistory := func() {
				h.exchanges, h.workerRecords[s.request.ID] = []exchange{s}, r
			}
			updateHistory()
			if found := c.find(h); len(found) > 0 {
				t.Fatalf("reports violations in a correct history: %v", found)
			}
			cases[c.name](h, &s, &r)
			updateHistory()
			if len(c.find(h)) == 0 {
				t.Fatal("reports no violation in a faulty history")
			}
		})
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	c := Config{Seed: 5, Duration: 20 * time.Second}
	first, second := newPlan(c), newPlan(c)
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Fatal("two plans from the same seed differ")
	}
	for _, e := range first {
		if e.offset+e.duration > c.Duration-calmPeriod {
			t.Fatalf("%v ends within the calm period", e)
		}
	}
}

// An event that ends takes back what another one has the same worker do or say: a worker that
// leaves by its word stops to say so, and the requests that reach it then count as late.
func TestOverlappingFaultsAreKeptApart(t *testing.T) {
	applied := map[string]worker.Faults{}
	faults := newFaultTable(func(name string, f worker.Faults) { applied[name] = f })
	want := func(t *testing.T, w worker.Faults) {
		t.Helper()
		if got := applied["models-2"]; got != w {
			t.Fatalf("got %+v, want %+v", got, w)
		}
	}
	endLeaving := faults.begin("models-2", worker.Faults{Leaving: true})
	endRest := faults.begin("models-2", worker.Faults{Full: true, Rest: "2"})
	endFull := faults.begin("models-2", worker.Faults{Full: true})
	want(t, worker.Faults{Leaving: true, Full: true, Rest: "2"})
	endRest()
	want(t, worker.Faults{Leaving: true, Full: true})
	endFull()
	want(t, worker.Faults{Leaving: true})
	endLeaving()
	want(t, worker.Faults{})
}

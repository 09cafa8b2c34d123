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

// A short run with real processes, by fixed seeds.
func TestShortRun(t *testing.T) {
	for _, seed := range []uint64{1} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := Config{Seed: seed, Daemons: 4, Clients: 8, Duration: 12 * time.Second, Binary: binary, Directory: t.TempDir()}
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

// good is a request that was served whole at one worker.
func good(route string, when time.Duration) (sent, worker.RequestRecord) {
	request := client.NewRequest(route)
	request.Timeout = requestDeadline
	s := sent{request: request, at: at(when), reply: client.ExpectedReply(request)}
	s.reply.Elapsed = 20 * time.Millisecond
	visit := worker.Attempt{Worker: "orders-0", Start: at(when), End: at(when + 20*time.Millisecond)}
	return s, worker.RequestRecord{Arrivals: []worker.Attempt{visit}, Runs: []worker.Attempt{visit}}
}

// A broken daemon shows in what callers and workers see: each case is what one
// that breaks just that promise would leave behind.
func TestEachCheckCatchesABrokenDaemon(t *testing.T) {
	cases := map[string]func(h *history, s *sent, r *worker.RequestRecord){
		"whole":     func(_ *history, s *sent, _ *worker.RequestRecord) { s.reply.Body = s.reply.Body[:10] },
		"once":      func(_ *history, _ *sent, r *worker.RequestRecord) { r.Runs = append(r.Runs, r.Runs[0]) },
		"refused":   func(_ *history, s *sent, _ *worker.RequestRecord) { s.reply.Status = http.StatusServiceUnavailable },
		"workers":   func(h *history, _ *sent, _ *worker.RequestRecord) { h.problems = []string{"a key was passed on"} },
		"answered":  func(_ *history, s *sent, _ *worker.RequestRecord) { s.reply.Elapsed = requestDeadline + 2*boundSlack },
		"recovered": func(h *history, s *sent, _ *worker.RequestRecord) { s.reply.Status, h.quiet = 502, at(-time.Minute) },
		"drain": func(h *history, _ *sent, _ *worker.RequestRecord) {
			h.drained = []drained{{worker: "orders-0", from: at(-10 * time.Second), to: at(time.Minute)}}
		},
		"forward": func(h *history, _ *sent, _ *worker.RequestRecord) {
			h.probes = []probe{{version: 2, status: 200, published: at(0), at: at(time.Second)}, {version: 2, status: 404, published: at(0), at: at(2 * time.Second)}}
		},
		"inForce": func(h *history, _ *sent, _ *worker.RequestRecord) {
			h.probes = []probe{{version: 2, status: 404, published: at(0), at: at(10 * time.Second)}}
		},
		"left": func(_ *history, s *sent, r *worker.RequestRecord) {
			s.request.Route, s.left = "verse", s.at
			r.Runs[0].End = s.at.Add(5 * time.Second)
		},
		"budget": func(_ *history, _ *sent, r *worker.RequestRecord) {
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
			h := &history{began: at(0), ended: at(time.Minute), records: map[string]worker.RequestRecord{}}
			s, r := good("order", time.Second)
			keep := func() {
				h.sent, h.records[s.request.ID] = []sent{s}, r
			}
			keep()
			if found := c.find(h); len(found) > 0 {
				t.Fatalf("finds fault with a sound history: %v", found)
			}
			cases[c.name](h, &s, &r)
			keep()
			if len(c.find(h)) == 0 {
				t.Fatal("misses it")
			}
		})
	}
}

func TestPlanFollowsFromTheSeed(t *testing.T) {
	c := Config{Seed: 5, Duration: 20 * time.Second}
	first, second := newPlan(c), newPlan(c)
	if fmt.Sprint(first) != fmt.Sprint(second) {
		t.Fatal("two plans of one seed differ")
	}
	for _, e := range first {
		if e.at+e.length > c.Duration-calmEnd {
			t.Fatalf("%v ends after the calm has begun", e)
		}
	}
}

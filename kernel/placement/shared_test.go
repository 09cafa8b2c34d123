package placement

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
)

func process(n int) ident.EndpointProcess {
	return ident.EndpointProcess{Endpoint: ident.Endpoint(fmt.Sprintf("e-%02d", n))}
}

// observe records count samples of an endpoint that takes ratio times the usual time.
func observe(s *speeds, now time.Time, p ident.EndpointProcess, ratio float64, count int) {
	for range count {
		s.record(now, p, sample{tokens: 8000, usual: 200, observed: 200 * ratio})
	}
}

// Guards against a single slow answer that marks an endpoint as slow, against a slow endpoint that is
// not recognised, and against a service that is slow as a whole being taken for slow endpoints.
func TestLearnedSpeed(t *testing.T) {
	s := newSpeeds()
	for n := range 8 {
		observe(s, start, process(n), 1.3, 10)
	}
	observe(s, start, process(8), 2.6, 1)
	observe(s, start, process(9), 2.6, 10)
	now := start.Add(pacesTTL)
	median := s.pace(now, process(0), 0)
	if median < 1.2 || median > 1.35 {
		t.Errorf("pace %.2f at a usual endpoint of a service with 1.3", median)
	}
	if ratio := s.pace(now, process(8), 0) / median; ratio > 1.1 {
		t.Errorf("ratio %.2f after one slow answer", ratio)
	}
	if ratio := s.pace(now, process(9), 0) / median; ratio < 1.35 || ratio > 2 {
		t.Errorf("ratio %.2f at an endpoint that takes twice as long", ratio)
	}
	if ratio := s.pace(now, process(10), 0) / median; ratio != 1 {
		t.Errorf("ratio %.2f at an endpoint that was not observed", ratio)
	}
	later := start.Add(10 * speedHalfLife)
	if ratio := s.pace(later, process(9), 0) / s.pace(later, process(0), 0); ratio > 1.05 {
		t.Errorf("ratio %.2f long after the last observation", ratio)
	}
}

// Guards against work figures that are used although they are false, and against a lasting falsehood
// that makes an endpoint look slow or fast.
func TestWorkFiguresAgainstObservations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	t.Run("true figures are used", func(t *testing.T) {
		s := newSpeeds()
		for n := range 100 {
			work := []float64{1, 2.5}[random.IntN(2)]
			s.record(start, process(n%4), sample{tokens: 8000, usual: 200, observed: 200 * work, workBefore: work, workAfter: work})
		}
		now := start.Add(pacesTTL)
		if slow, fast := s.pace(now, process(0), 2.5), s.pace(now, process(0), 1); slow < 2*fast {
			t.Errorf("pace %.2f with a figure of 250, %.2f with 100", slow, fast)
		}
	})
	t.Run("random figures are not", func(t *testing.T) {
		s := newSpeeds()
		for n := range 100 {
			draw := func() float64 { return []float64{0.2, 1, 5}[random.IntN(3)] }
			s.record(start, process(n%4), sample{tokens: 8000, usual: 200, observed: 200, workBefore: draw(), workAfter: draw()})
		}
		now := start.Add(pacesTTL)
		if pace := s.pace(now, process(0), 5); pace < 0.8 || pace > 1.2 {
			t.Errorf("pace %.2f with a false figure of 500", pace)
		}
	})
	t.Run("a constant falsehood cancels out", func(t *testing.T) {
		s := newSpeeds()
		for n := range 100 {
			o := sample{tokens: 8000, usual: 200, observed: 200}
			if n%4 == 0 {
				o.workBefore, o.workAfter = 2.5, 2.5
			}
			s.record(start, process(n%4), o)
		}
		now := start.Add(pacesTTL)
		if pace := s.pace(now, process(0), 2.5); pace > 1.5 {
			t.Errorf("pace %.2f with a figure that is always 250", pace)
		}
		if pace := s.pace(now, process(0), 0); pace < 0.8 || pace > 1.2 {
			t.Errorf("pace %.2f without the figure", pace)
		}
	})
}

// Guards against reports that count twice when they arrive twice, that are of an earlier process, or
// that go on for ever.
func TestReportsOfSpeed(t *testing.T) {
	d := endpoints.NewDirectory()
	for n := range 4 {
		d.Upsert(endpoints.Listing{Name: process(n).Endpoint, Service: "models", Address: fmt.Sprint(n), StartedUnixMillis: 7})
	}
	from, to := NewTable(Config{Directory: d}), NewTable(Config{Directory: d})
	from.Expire(start, time.Second)
	p := ident.EndpointProcess{Endpoint: "e-00", StartedUnixMillis: 7}
	observe(from.service("models").speeds, start, p, 3, 4)
	reports := from.Reports(start.Add(time.Second))
	if len(reports) != 1 {
		t.Fatalf("reports %v", reports)
	}
	text, err := json.Marshal(reports)
	if err != nil || len(text) > 80 {
		t.Errorf("%d bytes %s, error %v", len(text), text, err)
	}
	for range 3 {
		to.Merge(start.Add(time.Second), "other", reports, nil)
	}
	s := to.service("models").speeds
	if got, want := s.others["other"][p].Weight, reports["e-00"].Weight; got != want {
		t.Errorf("weight %v after three equal reports, want %v", got, want)
	}
	if again := from.Reports(start.Add(3 * time.Second)); again != nil {
		t.Errorf("reports %v long after the observation", again)
	}
	to.Merge(start, "other", map[ident.Endpoint]SpeedReport{"gone": reports["e-00"]}, map[ident.Endpoint]float64{"gone": 2})
	to.Merge(start, "core", nil, map[ident.Endpoint]float64{"e-03": 2})
	if ratio := to.Ratios(start.Add(pacesTTL))["e-03"]; ratio != 2 {
		t.Errorf("ratio %v, want the reported one of 2", ratio)
	}
	if len(s.others["other"]) != 1 || len(s.told) != 1 {
		t.Errorf("reports of unknown endpoints were kept")
	}
	s.update(start.Add(time.Hour))
	if len(s.others) != 0 {
		t.Errorf("sums of %d instances after an hour", len(s.others))
	}
}

// Guards against messages with values that no instance sends.
func TestCheckReports(t *testing.T) {
	good := map[ident.Endpoint]SpeedReport{"e": {Sums: Sums{Weight: 2, Log: -1, PerWork: 1}}}
	if err := CheckReports(good, map[ident.Endpoint]float64{"e": 1.5}); err != nil {
		t.Error(err)
	}
	for _, bad := range []Sums{{Weight: -1}, {Weight: 0, Log: 1}, {Weight: 1, Log: 50}, {Weight: 1, PerWork: -50}, {Weight: math.MaxFloat64}} {
		if CheckReports(map[ident.Endpoint]SpeedReport{"e": {Sums: bad}}, nil) == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
	if CheckReports(nil, map[ident.Endpoint]float64{"e": 0}) == nil {
		t.Error("a ratio of 0 is accepted")
	}
	for _, bad := range []Request{{Prompt: Prompt{Tokens: -1}}, {Prompt: Prompt{InputBytes: map[ident.DataCentre]int{"east": -1}}}, {Works: map[ident.Endpoint]WorkReport{"e": {Percent: 100, Age: -1}}}, {Excluded: make([]ident.Endpoint, maxListed+1)}} {
		if bad.Check() == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
}

// Guards against a placer that does not use the work figures that other instances have seen, or uses
// an older one or that of an earlier process.
func TestPlacerUsesWorkFiguresOfOthers(t *testing.T) {
	tb, all := newTestTable(), testEndpoints(t, "models", 2)
	for _, e := range all {
		tb.config.Directory.Upsert(e.Listing)
	}
	listed := tb.config.Directory.ByService("models")
	place := func(now time.Time, works map[ident.Endpoint]WorkReport) map[ident.Endpoint]int {
		counts := map[ident.Endpoint]int{}
		for range 50 {
			// Placements leave a backlog, which must not decide here.
			clear(tb.service("models").busyUntil)
			clear(tb.service("models").placed)
			counts[tb.Place(now, testCatalog(published.Engine{}), Request{Prompt: testPrompt(9000), Works: works}, listed).Endpoint]++
		}
		return counts
	}
	if counts := place(start, map[ident.Endpoint]WorkReport{"e-00": {Percent: 250, Age: 100 * time.Millisecond}}); counts["e-00"] > 0 {
		t.Errorf("placements %v while e-00 takes 2.5 times as long", counts)
	}
	if counts := place(start.Add(time.Second), map[ident.Endpoint]WorkReport{"e-01": {StartedUnixMillis: 9, Percent: 250}}); counts["e-00"] == 0 || counts["e-01"] == 0 {
		t.Errorf("placements %v while no figure is valid", counts)
	}
	listed[0].RecordResponse(start.Add(2*time.Second), false, time.Millisecond, endpoints.Load{Slots: 16, WorkPercent: 100})
	if counts := place(start.Add(2*time.Second), map[ident.Endpoint]WorkReport{"e-00": {Percent: 250, Age: 100 * time.Millisecond}}); counts["e-00"] == 0 {
		t.Errorf("placements %v by an older figure", counts)
	}
}

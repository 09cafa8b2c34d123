package survey

import (
	"testing"
	"time"

	"anvilcross/kernel/departures"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/timer"
)

const streamLife = 15 * time.Second

// testSurvey is a survey of one endpoint, which holds the part "own".
type testSurvey struct {
	*Survey
	t           *testing.T
	timers      *timer.Scheduler
	historyRead int
	result      *Result
}

func newTestSurvey(t *testing.T) *testSurvey {
	t.Helper()
	s := &testSurvey{t: t, timers: timer.NewScheduler(timer.Config{Start: time.Unix(1_700_000_000, 0)})}
	table := departures.NewTable(departures.Config{Retention: time.Minute})
	table.Begin(s.timers.Now())
	s.Survey = NewSurvey(Config{
		Timers: s.timers,
		Listed: func(ident.Service) []Process {
			return []Process{{Holder: origin.Holder{Endpoint: "a", Origin: origin.Origin{Service: "models", Version: "v1"}}}}
		},
		ListPrompts: func(ident.Endpoint, string) {},
		Departures:  table,
		StreamLife:  func() time.Duration { return streamLife },
		ReadHistory: func() { s.historyRead++ },
		LogEvent:    func(string, ...any) {},
	})
	return s
}

// ask asks for the part, of which the endpoint keeps some tokens.
func (s *testSurvey) ask(ranTokens, kept int) {
	s.result = nil
	s.Ask(&Question{Services: []ident.Service{"models"}, Part: "own", RanTokens: ranTokens, Reply: func(r Result) { s.result = &r }})
	s.HandleList("a", &origin.PromptList{Parts: []ident.PromptPart{"own"}, Tokens: []int{kept}})
}

func (s *testSurvey) wantResult(proved, unsure bool) {
	s.t.Helper()
	if s.result == nil || s.result.Proved != proved || s.result.Unsure != unsure {
		s.t.Fatalf("got %+v, want proved %v, unsure %v", s.result, proved, unsure)
	}
}

// A version is proved though a process of another one may have left, or is not proved though the
// endpoint can be seen to have made the events.
func TestProofs(t *testing.T) {
	t.Run("the endpoint has made the events", func(t *testing.T) {
		s := newTestSurvey(t)
		s.ask(55, 55)
		s.wantResult(true, false)
	})
	for name, ranTokens := range map[string]int{"it has made fewer": 56, "it is not known how many there are": 0} {
		t.Run(name, func(t *testing.T) {
			s := newTestSurvey(t)
			s.ask(ranTokens, 55)
			s.timers.Advance(s.timers.Now().Add(Timeout))
			s.wantResult(false, true)
		})
	}
	t.Run("the history tells that none has left", func(t *testing.T) {
		s := newTestSurvey(t)
		s.ask(0, 55)
		s.HandleHistory(&departures.History{Since: s.timers.Now().Add(-20 * time.Second)})
		s.wantResult(true, false)
	})
	t.Run("the instance has run long enough", func(t *testing.T) {
		s := newTestSurvey(t)
		s.timers.Advance(s.timers.Now().Add(streamLife))
		s.ask(0, 55)
		s.wantResult(true, false)
		if s.historyRead > 0 {
			t.Fatal("the history is read")
		}
	})
}

// Each question has the platform's history read, though it cannot tell more.
func TestHistoryIsReadSeldom(t *testing.T) {
	s := newTestSurvey(t)
	ask := func(want int) {
		t.Helper()
		s.ask(0, 55)
		if s.historyRead != want {
			t.Fatalf("the history is read %d times, want %d", s.historyRead, want)
		}
	}
	ask(1)
	ask(1)
	s.HandleHistory(nil)
	ask(1)
	s.timers.Advance(s.timers.Now().Add(historyRetry))
	ask(2)
	s.HandleHistory(&departures.History{Since: s.timers.Now()})
	s.timers.Advance(s.timers.Now().Add(historyRetry))
	ask(2)
}

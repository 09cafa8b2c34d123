// Package survey finds out which software version has read a part of a prompt, by asking the
// endpoints for the parts that they hold. An answer has to be proved: an endpoint that has not
// answered, or one that has left since, may have read the part too.
package survey

import (
	"slices"
	"time"

	"anvilcross/kernel/departures"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/timer"
)

const (
	// Timeout is how long a question waits for the answers.
	Timeout = 300 * time.Millisecond
	// holdingsTTL is the age up to which an endpoint's list of prompts counts.
	holdingsTTL = time.Second
	// historyRetry is the least time between two attempts to read the platform's history.
	historyRetry = time.Second
)

// Process is a listed process of an endpoint.
type Process struct {
	origin.Holder
	Address string
	// LeftAlone is set if the endpoint must not be asked.
	LeftAlone bool
}

// Result is the reply to a question.
type Result struct {
	origin.Origin
	// Proved is set if no other version has read the part.
	Proved bool
	// Unsure is set if this instance does not know which processes have left, so that another
	// one may know more.
	Unsure bool
}

// Question asks which version has read a prompt part.
type Question struct {
	Services []ident.Service
	Part     ident.PromptPart
	// RanTokens is how many tokens an endpoint keeps of the part, with those that it has
	// generated after it, if it made all events of the stream that the caller has; zero if that is
	// not known.
	RanTokens int
	// Reply is called once, at the latest after Timeout.
	Reply func(Result)
}

// Config sets up a Survey.
type Config struct {
	Timers *timer.Scheduler
	// Listed returns the listed processes of a service.
	Listed func(ident.Service) []Process
	// ListPrompts asks an endpoint, given with its address. Its answer comes through HandleList.
	ListPrompts func(ident.Endpoint, string)
	// Departures holds the processes that have left.
	Departures *departures.Table
	// StreamLife returns how long after its beginning a stream may be taken up.
	StreamLife func() time.Duration
	// ReadHistory asks for the platform's history; HandleHistory has to be called after it.
	ReadHistory func()
	LogEvent    func(name string, fields ...any)
}

// Survey asks endpoints on behalf of several questions.
type Survey struct {
	config   Config
	holdings *origin.Holdings
	// asked holds the endpoints that have not answered.
	asked     map[ident.Endpoint]origin.Holder
	questions []*Question
	// readingHistory is set while the platform's history is read, historyRead once it has been,
	// and historyAskedAt is when it was last asked for.
	readingHistory, historyRead bool
	historyAskedAt              time.Time
}

// NewSurvey returns a survey without questions.
func NewSurvey(c Config) *Survey {
	return &Survey{config: c, holdings: origin.NewHoldings(holdingsTTL), asked: map[ident.Endpoint]origin.Holder{}}
}

// Ask asks which version has read a prompt part, and replies once that is proved or cannot be.
func (s *Survey) Ask(q *Question) {
	s.askEndpoints(q.Services)
	s.askHistory()
	s.questions = append(s.questions, q)
	s.config.Timers.After(Timeout, func() { s.reply(func(other *Question) bool { return other == q }) })
	s.reply(nil)
}

// askHistory has the platform's history read, once, if a process that has left before this instance
// got its first list may have begun a stream.
func (s *Survey) askHistory() {
	now := s.config.Timers.Now()
	if s.config.Departures.KnowsSince(s.begunSince()) || s.historyRead || s.readingHistory || now.Sub(s.historyAskedAt) < historyRetry {
		return
	}
	s.readingHistory, s.historyAskedAt = true, now
	s.config.ReadHistory()
}

// begunSince returns the earliest time at which a stream may have begun that is taken up now.
func (s *Survey) begunSince() time.Time {
	return s.config.Timers.Now().Add(-s.config.StreamLife())
}

// askEndpoints has the endpoints of services list their prompts, unless they have just done so.
// Those that are listed as leaving, or seem unreachable, are asked too, since a stream may have
// begun there.
func (s *Survey) askEndpoints(services []ident.Service) {
	now := s.config.Timers.Now()
	for _, service := range services {
		for _, p := range s.config.Listed(service) {
			if p.LeftAlone || s.asked[p.Endpoint] == p.Holder || s.holdings.Fresh(now.Add(Timeout), p.Holder) {
				continue
			}
			s.asked[p.Endpoint] = p.Holder
			s.config.ListPrompts(p.Endpoint, p.Address)
		}
	}
}

// candidates returns the listed processes of services that may have begun a stream.
func (s *Survey) candidates(services []ident.Service) []origin.Candidate {
	var candidates []origin.Candidate
	for _, service := range services {
		for _, p := range s.config.Listed(service) {
			candidates = append(candidates, origin.Candidate{Holder: p.Holder, Awaited: s.asked[p.Endpoint] == p.Holder})
		}
	}
	return candidates
}

// reply replies to the questions that the answers so far decide, and to those whose time is up: an
// endpoint that has not answered by then may hold any part.
func (s *Survey) reply(expired func(*Question) bool) {
	var open []*Question
	questions := s.questions
	s.questions = nil
	for _, q := range questions {
		candidates := s.candidates(q.Services)
		result, verdict := s.judge(q, candidates)
		if verdict == origin.Open && (expired == nil || !expired(q)) {
			open = append(open, q)
			continue
		}
		s.config.LogEvent("promptPartSurveyed", "part", q.Part, "service", result.Service, "version", result.Version, "proved", result.Proved, "unanswered", s.unanswered(candidates), "departuresKnown", !result.Unsure)
		q.Reply(result)
	}
	s.questions = append(open, s.questions...)
}

// judge returns the result of a question by what is known now, and whether that is final.
func (s *Survey) judge(q *Question, candidates []origin.Candidate) (Result, origin.Verdict) {
	o, verdict := s.holdings.Judge(s.config.Timers.Now(), q.Part, q.Services, candidates)
	result := Result{Origin: o, Proved: verdict == origin.Proved}
	since := s.begunSince()
	switch {
	case !result.Proved || s.madeEvents(q):
	case !s.config.Departures.KnowsSince(since):
		result.Proved, result.Unsure = false, true
		if s.readingHistory {
			verdict = origin.Open
		}
	case s.config.Departures.MayHaveLeft(since, o, q.Services, processesOf(candidates)):
		result.Proved = false
	}
	return result, verdict
}

// madeEvents reports whether an endpoint has generated as many tokens after the part as the caller of
// the stream has. One that has only read the part, in an earlier turn of a session, has not.
func (s *Survey) madeEvents(q *Question) bool {
	return q.RanTokens > 0 && s.holdings.MostTokens(q.Services, q.Part) >= q.RanTokens
}

func processesOf(candidates []origin.Candidate) []departures.Process {
	var processes []departures.Process
	for _, c := range candidates {
		processes = append(processes, departures.Process{EndpointProcess: ident.EndpointProcess{Endpoint: c.Endpoint, StartedUnixMillis: c.StartedUnixMillis}, Origin: c.Origin})
	}
	return processes
}

// unanswered returns the names of the candidates that have given no valid report.
func (s *Survey) unanswered(candidates []origin.Candidate) []ident.Endpoint {
	var names []ident.Endpoint
	for _, c := range candidates {
		if !s.holdings.Fresh(s.config.Timers.Now(), c.Holder) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}

// HandleList handles an endpoint's list of the prompt parts that it holds; it is nil if the endpoint
// could not be asked. A list of another process than the listed one is that of an unknown version.
func (s *Survey) HandleList(name ident.Endpoint, list *origin.PromptList) {
	holder, asked := s.asked[name]
	if !asked {
		return
	}
	delete(s.asked, name)
	if list != nil {
		if listed := holder.StartedUnixMillis; listed != 0 && list.StartedUnixMillis != 0 && list.StartedUnixMillis != listed {
			holder.StartedUnixMillis, holder.Version = list.StartedUnixMillis, ""
		}
		s.holdings.RecordList(s.config.Timers.Now(), holder, *list)
	}
	s.reply(nil)
}

// HandleHistory handles the end of reading the platform's history; it is nil if that failed.
func (s *Survey) HandleHistory(h *departures.History) {
	s.readingHistory = false
	if h != nil {
		s.historyRead = true
		s.config.Departures.AddHistory(s.config.Timers.Now(), *h)
		s.config.LogEvent("departuresRead", "since", h.Since, "departures", len(h.Departures), "unidentified", countUnidentified(h.Departures), "joined", len(h.Joined))
	}
	s.reply(nil)
}

func countUnidentified(all []departures.Departure) int {
	return len(all) - len(slices.DeleteFunc(slices.Clone(all), func(d departures.Departure) bool { return d.Unidentified }))
}

// AskedCount returns the number of endpoints that have not answered.
func (s *Survey) AskedCount() int { return len(s.asked) }

// Expire drops the lists that are not valid any more.
func (s *Survey) Expire(now time.Time) { s.holdings.Expire(now) }

package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

const (
	// surveyTimeout is how long a survey waits for the endpoints' answers.
	surveyTimeout = 300 * time.Millisecond
	// holdingsTTL is the age up to which an endpoint's list of prompts counts.
	holdingsTTL = time.Second
)

// promptSurvey asks endpoints which prompts they hold, for the instances that ask it.
type promptSurvey struct {
	holdings *origin.Holdings
	// asked holds the endpoints that have not answered.
	asked     map[ident.Endpoint]origin.Holder
	questions []*promptQuestion
}

// promptQuestion asks which version has read a prompt part.
type promptQuestion struct {
	services []ident.Service
	part     ident.PromptPart
	reply    func(o origin.Origin, known bool)
}

func newPromptSurvey() *promptSurvey {
	return &promptSurvey{holdings: origin.NewHoldings(holdingsTTL), asked: map[ident.Endpoint]origin.Holder{}}
}

// holderOf returns the listed process of an endpoint as a holder of prompts.
func holderOf(e *endpoints.Endpoint) origin.Holder {
	return origin.Holder{Endpoint: e.Name, StartedUnixMillis: e.StartedUnixMillis, Origin: origin.Origin{Service: e.Service, Version: e.Version}}
}

// surveyPart finds out which version has read a prompt part and replies once that is proved
// or cannot be, at the latest after surveyTimeout.
func (g *Gateway) surveyPart(q *promptQuestion) {
	g.askEndpoints(q.services)
	g.survey.questions = append(g.survey.questions, q)
	g.timers.After(surveyTimeout, func() { g.replyToQuestions(func(other *promptQuestion) bool { return other == q }) })
	g.replyToQuestions(nil)
}

// askEndpoints has the endpoints of services list their prompts, unless they have just done
// so or want no requests. Those that are listed as leaving, or seem unreachable, are asked
// too, since a stream may have begun there.
func (g *Gateway) askEndpoints(services []ident.Service) {
	now := g.now()
	for _, s := range services {
		for _, e := range g.directory.ByService(s) {
			holder := holderOf(e)
			if e.RefusesContact(now) || g.directory.Evacuated(e) || g.isLimited(e) || g.survey.asked[e.Name] == holder || g.survey.holdings.Fresh(now.Add(surveyTimeout), holder) {
				continue
			}
			g.survey.asked[e.Name] = holder
			g.out.ListPrompts(e.Name, e.Address)
		}
	}
}

// candidates returns the processes of services that may have begun a stream.
func (g *Gateway) candidates(services []ident.Service) []origin.Candidate {
	var candidates []origin.Candidate
	for _, s := range services {
		for _, e := range g.directory.ByService(s) {
			holder := holderOf(e)
			candidates = append(candidates, origin.Candidate{Holder: holder, Awaited: g.survey.asked[e.Name] == holder})
		}
	}
	return candidates
}

// replyToQuestions replies to the questions that the answers so far decide, and to those
// whose time is up: an endpoint that has not answered by then may hold any part.
func (g *Gateway) replyToQuestions(expired func(*promptQuestion) bool) {
	now := g.now()
	var open []*promptQuestion
	questions := g.survey.questions
	g.survey.questions = nil
	for _, q := range questions {
		candidates := g.candidates(q.services)
		o, verdict := g.survey.holdings.Judge(now, q.part, q.services, candidates)
		if verdict == origin.Open && (expired == nil || !expired(q)) {
			open = append(open, q)
			continue
		}
		g.out.LogEvent("promptPartSurveyed", "part", q.part, "service", o.Service, "version", o.Version, "proved", verdict == origin.Proved, "unanswered", g.unanswered(now, candidates))
		q.reply(o, verdict == origin.Proved)
	}
	g.survey.questions = append(open, g.survey.questions...)
}

// unanswered returns the names of the candidates that have given no valid report.
func (g *Gateway) unanswered(now time.Time, candidates []origin.Candidate) []ident.Endpoint {
	var names []ident.Endpoint
	for _, c := range candidates {
		if !g.survey.holdings.Fresh(now, c.Holder) {
			names = append(names, c.Endpoint)
		}
	}
	return names
}

// HandlePrompts handles an endpoint's list of the prompt parts that it holds; it is nil if
// the endpoint could not be asked. A list of another process than the listed one is that of
// an unknown version.
func (g *Gateway) HandlePrompts(name ident.Endpoint, list *origin.PromptList) {
	holder, asked := g.survey.asked[name]
	if !asked {
		return
	}
	delete(g.survey.asked, name)
	if list != nil {
		if listed := holder.StartedUnixMillis; listed != 0 && list.StartedUnixMillis != 0 && list.StartedUnixMillis != listed {
			holder.StartedUnixMillis, holder.Version = list.StartedUnixMillis, ""
		}
		g.survey.holdings.Record(g.now(), holder, list.Parts)
	}
	g.replyToQuestions(nil)
}

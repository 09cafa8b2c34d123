package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

const (
	// surveyTimeout is how long a survey waits for the endpoints' answers.
	surveyTimeout = 300 * time.Millisecond
	// holdingsTTL is the age up to which an endpoint's list of prompts is used again.
	holdingsTTL = time.Second
)

// promptSurvey asks endpoints which prompts they hold, for the instances that ask it.
type promptSurvey struct {
	holdings *origin.Holdings
	// asked holds the endpoints that have not answered, questions what to do once all have.
	asked     map[ident.Endpoint]origin.Holder
	questions []func()
}

func newPromptSurvey() *promptSurvey {
	return &promptSurvey{holdings: origin.NewHoldings(holdingsTTL), asked: map[ident.Endpoint]origin.Holder{}}
}

// askEndpoints has the endpoints of services list their prompts, unless they have just done
// so, and calls then once all have answered or surveyTimeout has passed.
func (g *Gateway) askEndpoints(services []ident.Service, then func()) {
	now := g.now()
	for _, s := range services {
		for _, e := range g.directory.ByService(s) {
			holder := origin.Holder{Endpoint: e.Name, StartedUnixMillis: e.StartedUnixMillis, Origin: origin.Origin{Service: s, Version: e.Version}}
			if e.Withheld(now) || e.Ejected(now) || g.isLimited(e) || g.survey.asked[e.Name] == holder || g.survey.holdings.Fresh(now, holder) {
				continue
			}
			g.survey.asked[e.Name] = holder
			g.out.ListPrompts(e.Name, e.Address)
		}
	}
	if len(g.survey.asked) == 0 {
		then()
		return
	}
	answered := false
	g.survey.questions = append(g.survey.questions, func() {
		if !answered {
			answered = true
			then()
		}
	})
	g.timers.After(surveyTimeout, g.survey.questions[len(g.survey.questions)-1])
}

// HandlePrompts handles an endpoint's list of the prompt parts that it holds; it is nil if
// the endpoint could not be asked.
func (g *Gateway) HandlePrompts(name ident.Endpoint, parts []ident.PromptPart) {
	holder, asked := g.survey.asked[name]
	if !asked {
		return
	}
	delete(g.survey.asked, name)
	if parts != nil {
		g.survey.holdings.Record(g.now(), holder, parts)
	}
	if len(g.survey.asked) > 0 {
		return
	}
	questions := g.survey.questions
	g.survey.questions = nil
	for _, answer := range questions {
		answer()
	}
}

package gateway

import (
	"strconv"
	"time"

	"anvilcross/kernel/departures"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/survey"
)

// newSurvey returns the survey of the endpoints in the directory.
func (g *Gateway) newSurvey() *survey.Survey {
	return survey.NewSurvey(survey.Config{
		Timers:      g.timers,
		Listed:      g.listedProcesses,
		ListPrompts: func(e ident.Endpoint, address string) { g.out.ListPrompts(e, address) },
		Departures:  g.departures,
		StreamLife:  g.streamLife,
		ReadHistory: func() { g.out.ReadHistory(g.firstAsOf) },
		LogEvent:    g.out.LogEvent,
	})
}

// listedProcesses returns the listed processes of a service. Endpoints that want no requests are
// left alone.
func (g *Gateway) listedProcesses(s ident.Service) []survey.Process {
	now := g.now()
	var processes []survey.Process
	for _, e := range g.directory.ByService(s) {
		processes = append(processes, survey.Process{
			Holder:    origin.Holder{Endpoint: e.Name, StartedUnixMillis: e.StartedUnixMillis, Origin: origin.Origin{Service: e.Service, Version: e.Version}},
			Address:   e.Address,
			LeftAlone: e.RefusesContact(now) || g.directory.Evacuated(e) || g.isLimited(e),
		})
	}
	return processes
}

// streamLife returns the longest time that a caller may wait for the end of a stream, over all its
// requests.
func (g *Gateway) streamLife() time.Duration {
	if g.catalog == nil {
		return originRetention
	}
	longest := time.Duration(0)
	for i := range g.catalog.Routes {
		if r := &g.catalog.Routes[i]; r.Kind == published.Stream && r.Resumable {
			longest = max(longest, r.Timeout, g.longestTimeout[r.Name])
		}
	}
	return longest
}

// ranTokens returns how many tokens an endpoint keeps of the last part of a request's prompt, with
// those that it has generated after it, if it made the events that the caller has; zero if the ids of
// events are no numbers.
func (g *Gateway) ranTokens(r *request) int {
	events, err := strconv.Atoi(r.lastEventID)
	last := r.incoming.Prompt[len(r.incoming.Prompt)-1]
	if err != nil || events <= 0 || last.Tokens <= 0 {
		return 0
	}
	stride := 1
	for _, s := range r.route.Services() {
		if service := g.catalog.Services[s]; service != nil {
			stride = max(stride, service.Engine.Stride)
		}
	}
	return last.Tokens + events*stride
}

// HandlePrompts handles an endpoint's list of the prompt parts that it holds; it is nil if
// the endpoint could not be asked.
func (g *Gateway) HandlePrompts(name ident.Endpoint, list *origin.PromptList) {
	g.survey.HandleList(name, list)
}

// HandleHistory handles the changes that the platform's history has up to the revision that
// ReadHistory was called with, in their order; known is false if it could not be read.
func (g *Gateway) HandleHistory(changes []replica.Change, known bool) {
	if !known {
		g.survey.HandleHistory(nil)
		return
	}
	var ofEndpoints []departures.Change
	for _, c := range changes {
		decoded, err := g.config.DecodeRecord(c.Record)
		switch {
		case decoded.Endpoint == "":
		case err != nil || c.Removed:
			ofEndpoints = append(ofEndpoints, departures.Change{Endpoint: decoded.Endpoint})
		case decoded.Listing != nil:
			ofEndpoints = append(ofEndpoints, departures.Change{Endpoint: decoded.Endpoint, Listing: decoded.Listing, Created: c.Created})
		}
	}
	h := departures.ReadHistory(ofEndpoints)
	h.Since = g.now().Add(-g.config.HistorySpan)
	g.survey.HandleHistory(&h)
}

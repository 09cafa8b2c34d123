package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/origin"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/survey"
)

// drain lists the endpoints of a version as leaving, at all instances.
func (f *versionFleet) drain(version ident.SoftwareVersion, revision replica.Revision) {
	for _, m := range f.models {
		m.listing.Leaving = m.listing.Version == version
	}
	f.publishChanges(revision)
}

// After a loss of power, streams go on at an endpoint of another version, which holds an
// earlier prompt of their session, because the endpoints that began them drain and were not
// asked.
func TestStreamsOfSessionsGoOnAtTheirVersionWhileItDrains(t *testing.T) {
	t.Parallel()
	eachFleetSize(t, func(f *versionFleet, _ int) {
		f.sessions = 8 * len(f.models)
		f.advance(4 * time.Second)
		f.drain("v1", 2)
		f.advance(300 * time.Millisecond)
		f.paused = true
		f.losePower(f.names, 500*time.Millisecond, time.Second)
		f.advance(5 * time.Second)
		f.wantEnoughTakenUp()
		f.wantOneVersion()
	})
}

// surveyor is a gateway with model endpoints of two versions, of which only models-0, of v1,
// holds the part "own". It answers another instance's questions for its version.
type surveyor struct {
	*testGateway
	asked []ident.Endpoint
}

func newSurveyor(t *testing.T) *surveyor {
	s := &surveyor{testGateway: newTestGateway(t)}
	s.gateway.out.ListPrompts = func(e ident.Endpoint, _ string) { s.asked = append(s.asked, e) }
	s.listFirst()
	s.list(testListing("models", 1), "v1", 2)
	s.list(testListing("models", 2), "v2", 3)
	s.receivePing("two", "east", -1)
	s.gateway.HandleHistory(nil, true)
	return s
}

// listFirst gives the surveyor its first records: the configuration and models-0.
func (s *surveyor) listFirst() {
	l := testListing("models", 0)
	l.StartedUnixMillis = 1000
	s.gateway.HandleChanges([]replica.Record{testRecord(s.t, "catalog", 1, testCatalog(1)), testRecord(s.t, string(l.Name), 1, l)}, 1)
}

// list lists an endpoint whose process started at one second.
func (s *surveyor) list(l endpoints.Listing, version ident.SoftwareVersion, revision replica.Revision) {
	l.Version, l.StartedUnixMillis = version, 1000
	s.gateway.HandleChanges([]replica.Record{testRecord(s.t, string(l.Name), revision, l)}, revision)
}

func (s *surveyor) ask() {
	s.gateway.HandleMessage(message.Envelope{From: "two", OriginRequest: &message.OriginRequest{ID: 1, Services: []ident.Service{"models"}, Part: "own"}})
}

// answer lets an endpoint list its prompts if it has been asked.
func (s *surveyor) answer(name ident.Endpoint, started int64, parts ...ident.PromptPart) {
	s.gateway.HandlePrompts(name, &origin.PromptList{StartedUnixMillis: started, Parts: parts})
}

// wantReply checks that the question has been answered, and with which version; empty if it
// is not known.
func (s *surveyor) wantReply(want ident.SoftwareVersion) {
	s.t.Helper()
	for _, p := range s.peers {
		if reply := p.message.OriginReply; reply != nil {
			var got ident.SoftwareVersion
			if reply.Origin != nil {
				got = reply.Origin.Version
			}
			if got != want {
				s.t.Fatalf("version %q, want %q", got, want)
			}
			return
		}
	}
	s.t.Fatal("no reply")
}

// A version is taken for that of a stream because one endpoint holds its prompt, though one
// of another version that may hold it too has not said so.
func TestSurveyProvesNoVersionWhileOthersAreSilent(t *testing.T) {
	process := ident.EndpointProcess{Endpoint: "models-2", StartedUnixMillis: 1000}
	silent := []struct {
		name string
		// before happens before the question, and later after the others have answered.
		before, later func(s *surveyor)
	}{
		{name: "it says that it leaves", before: func(s *surveyor) { s.gateway.HandleNotice(process, endpoints.Notice{Leaving: true}, 0) }},
		{name: "it wants a rest", before: func(s *surveyor) {
			s.gateway.HandleNotice(process, endpoints.Notice{Rest: 2 * time.Second}, 0)
		}},
		{name: "it is unreachable", later: func(s *surveyor) { s.gateway.HandlePrompts("models-2", nil) }},
		{name: "it is late", later: func(s *surveyor) { s.advance(survey.Timeout) }},
		{name: "it has started again", later: func(s *surveyor) { s.answer("models-2", 2000) }},
		{name: "one that has started again holds the part", later: func(s *surveyor) {
			s.answer("models-2", 1000)
			s.answer("models-1", 2000, "own")
		}},
		{name: "one has joined since", later: func(s *surveyor) {
			s.list(testListing("models", 3), "v2", 4)
			s.answer("models-2", 1000)
		}},
		{name: "one names no version", before: func(s *surveyor) { s.list(testListing("models", 2), "", 4) }, later: func(s *surveyor) { s.advance(survey.Timeout) }},
	}
	for _, c := range silent {
		t.Run(c.name, func(t *testing.T) {
			s := newSurveyor(t)
			if c.before != nil {
				c.before(s)
			}
			s.ask()
			s.answer("models-0", 1000, "own")
			if c.later != nil {
				c.later(s)
			}
			s.answer("models-1", 1000)
			s.wantReply("")
		})
	}
	t.Run("all of other versions have answered", func(t *testing.T) {
		s := newSurveyor(t)
		s.ask()
		s.answer("models-0", 1000, "own")
		s.answer("models-2", 1000)
		s.gateway.HandlePrompts("models-1", nil)
		s.wantReply("v1")
	})
	t.Run("an endpoint that is listed as leaving holds the part", func(t *testing.T) {
		s := newSurveyor(t)
		l := testListing("models", 2)
		l.Leaving = true
		s.list(l, "v2", 4)
		s.ask()
		s.answer("models-2", 1000, "own")
		s.answer("models-0", 1000, "own")
		s.wantReply("")
	})
	t.Run("an unreachable one is asked", func(t *testing.T) {
		s := newSurveyor(t)
		for range 10 {
			s.gateway.directory.Lookup("models-2").MarkUnreachable(s.timers.Now())
		}
		s.ask()
		s.answer("models-2", 1000, "own")
		s.answer("models-0", 1000, "own")
		s.wantReply("")
	})
}

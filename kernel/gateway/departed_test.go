package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// departureRevision is that of the first departure.
const departureRevision = 10

// depart lets endpoints leave for good: they end, and their entries are removed. It returns the
// changes of their entries, each with the listing before the removal if identified is set.
func (f *versionFleet) depart(leaves func(n int, m *versioned) bool, identified bool) []replica.Change {
	changes := []replica.Change{}
	var stay []*versioned
	revision := replica.Revision(departureRevision)
	for n, m := range f.models {
		if !leaves(n, m) {
			stay = append(stay, m)
			continue
		}
		m.up = false
		l := m.listing
		l.Leaving, l.Sequence = true, 7
		if identified {
			changes = append(changes, replica.Change{Record: testRecord(f.t, string(l.Name), revision, l)})
			revision++
		}
		changes = append(changes, replica.Change{Record: replica.Record{Key: string(l.Name), Revision: revision, Removed: true}})
		revision++
	}
	f.models = stay
	for _, c := range changes {
		for _, name := range f.names {
			f.gateways[name].HandleChanges([]replica.Record{c.Record}, c.Revision)
		}
	}
	return changes
}

// loseAllPower lets all instances start again, after which their callers take their streams up.
func (f *versionFleet) loseAllPower() {
	f.paused = true
	f.losePower(f.names, 500*time.Millisecond, time.Second)
	f.advance(5 * time.Second)
}

// After a loss of power, streams go on at an endpoint of another version, which holds an earlier
// prompt of their session, because the endpoints that began them have left the listing.
func TestStreamsOfSessionsGoOnAtTheirVersionAfterItHasLeft(t *testing.T) {
	ofV1 := func(_ int, m *versioned) bool { return m.listing.Version == "v1" }
	someOfV1 := func(n int, m *versioned) bool { return n > 0 && ofV1(n, m) }
	cases := []struct {
		name       string
		leaves     func(n int, m *versioned) bool
		identified bool
		history    func(changes []replica.Change) []replica.Change
	}{
		{"all of the version, after a report", ofV1, true, nil},
		{"some of it, without a report", someOfV1, false, nil},
		{"the history cannot be read", ofV1, true, func([]replica.Change) []replica.Change { return nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			eachFleetSize(t, func(f *versionFleet, _ int) {
				f.sessions = 8 * len(f.models)
				f.advance(4 * time.Second)
				changes := f.depart(c.leaves, c.identified)
				if c.history != nil {
					changes = c.history(changes)
				}
				f.history = func() []replica.Change { return changes }
				f.loseAllPower()
				f.wantEnoughTakenUp()
				f.wantOneVersion()
			})
		})
	}
}

// After a loss of power, no stream goes on because an endpoint has left that cannot have begun it.
func TestStreamsGoOnThoughEndpointsHaveLeft(t *testing.T) {
	cases := []struct {
		name       string
		versions   []ident.SoftwareVersion
		leaves     ident.SoftwareVersion
		identified bool
		// tellsTokens is set if endpoints tell how much they have generated.
		tellsTokens bool
	}{
		{"one of the only version, without a report", []ident.SoftwareVersion{"v1"}, "v1", false, false},
		{"one of the version that began them, after a report", []ident.SoftwareVersion{"v1"}, "v1", true, false},
		{"one of another version, and the others have made the events", []ident.SoftwareVersion{"v2", "v1"}, "v2", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			eachFleetSize(t, func(f *versionFleet, _ int) {
				for n, m := range f.models {
					m.listing.Version = c.versions[n%len(c.versions)]
				}
				f.publishChanges(2)
				f.tellsTokens = c.tellsTokens
				f.advance(20 * time.Second)
				changes := f.depart(func(n int, m *versioned) bool { return n == 0 && m.listing.Version == c.leaves }, c.identified)
				f.history = func() []replica.Change { return changes }
				f.loseAllPower()
				f.wantTakenUp()
			})
		})
	}
}

// An instance that has just started, and cannot read the platform's history, ends the search for a
// stream's version, though another surveyor knows who has left.
func TestSurveyorsThatDoNotKnowWhoHasLeft(t *testing.T) {
	s := &surveyor{testGateway: newTestGateway(t)}
	s.listFirst()
	s.receivePing("two", "east", -1)
	reply := func() *message.OriginReply {
		t.Helper()
		s.ask()
		s.answer("models-0", 1000, "own")
		s.gateway.HandleHistory(nil, false)
		for _, p := range s.peers {
			if p.message.OriginReply != nil {
				return p.message.OriginReply
			}
		}
		t.Fatal("no reply")
		return nil
	}
	if r := reply(); r.Origin != nil || !r.Unsure {
		t.Fatalf("got %+v, want a reply without a version that is unsure", r)
	}
	t.Run("the next surveyor is asked", func(t *testing.T) {
		tg := newConfigured(t)
		for _, name := range []ident.Instance{"two", "three"} {
			tg.receivePing(name, "east", 0)
		}
		listed := 0
		tg.gateway.out.ListPrompts = func(ident.Endpoint, string) { listed++ }
		tg.sendRequest("/verse/", func(c *CallerRequest) { c.Resumes, c.LastEventID = "first", "5" })
		tg.advance(lookupTimeout)
		asked := map[ident.Instance]int{}
		for range maxSurveyors {
			sent := tg.peers
			tg.peers = nil
			for _, p := range sent {
				if q := p.message.OriginRequest; q != nil && len(q.Services) > 0 {
					asked[p.to.Name]++
					tg.gateway.HandleMessage(message.Envelope{From: p.to.Name, OriginReply: &message.OriginReply{ID: q.ID, Unsure: true}})
				}
			}
			tg.advance(time.Millisecond)
		}
		if listed > 0 {
			asked["one"] = 1
		}
		if len(asked) != maxSurveyors || asked["two"] > 1 || asked["three"] > 1 {
			t.Fatalf("asked %v, want %d surveyors once", asked, maxSurveyors)
		}
	})
}

package gateway

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

// release lists new endpoints of another version and marks the present ones as leaving, at all
// instances that a function selects.
func (f *versionFleet) release(version ident.SoftwareVersion, revision replica.Revision, listedAt func(ident.Instance) bool) []*versioned {
	before := len(f.models)
	f.records(before)
	var records []replica.Record
	for n, m := range f.models {
		if n >= before {
			m.listing.Name += "-" + ident.Endpoint(version)
			m.listing.Address, m.listing.Version = string(m.listing.Name)+":80", version
		} else {
			m.listing.Leaving = true
		}
		records = append(records, testRecord(f.t, string(m.listing.Name), revision, m.listing))
	}
	for _, name := range f.names {
		if listedAt(name) {
			f.gateways[name].HandleChanges(records, revision)
		}
	}
	return f.models[before:]
}

// An instance that is cut off from the others, or from the store too, while endpoints of
// another version join, lets streams of these go on at an endpoint of the version that it
// knows, which holds an earlier prompt of the same session.
func TestInstanceOutOfStepJoinsNoVersions(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists bool
	}{{"cut off from the others and the store", false}, {"cut off from the others only", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newVersionFleet(t, 6, 9, 3)
			f.sessions = 8
			for _, m := range f.models {
				m.listing.Version = "v1"
			}
			f.publishChanges(2)
			f.advance(6 * time.Second)
			alone := f.names[2]
			f.path = func(from, to ident.Instance) pathState {
				if from == alone || to == alone {
					return pathSilent
				}
				return pathOpen
			}
			if !c.lists {
				f.offStore = alone
			}
			f.advance(time.Second)
			f.only = func(name ident.Instance) bool { return name != alone }
			joined := f.release("v2", 3, func(name ident.Instance) bool { return name != alone || c.lists })
			f.advance(2 * time.Second)
			f.paused, f.only = true, func(name ident.Instance) bool { return name == alone }
			for _, m := range joined {
				f.crash(m)
			}
			for _, s := range f.streams {
				if s.instance != alone && s.began != "" && !s.finished {
					f.request(s)
				}
			}
			f.advance(4 * time.Second)
			f.wantEnoughTakenUp()
			f.wantOneVersion()
		})
	}
}

// An instance that has just started, and got its records from another one, does not survey
// endpoints for streams that are taken up, since it has heard of no reading of the platform.
func TestStartedInstanceSurveysEndpoints(t *testing.T) {
	tg := newTestGateway(t)
	asked := 0
	tg.gateway.out.ListPrompts = func(ident.Endpoint, string) { asked++ }
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for n := range 3 {
		l := testListing("models", n)
		records = append(records, testRecord(t, string(l.Name), 1, l))
	}
	tg.receivePing("two", "east", -1)
	survey := func() {
		tg.gateway.HandleMessage(message.Envelope{From: "two", OriginRequest: &message.OriginRequest{ID: 1, Services: []ident.Service{"models"}, Part: "own"}})
	}
	survey()
	tg.gateway.HandleMessage(message.Envelope{From: "two", Records: &message.Records{Delta: replica.Delta{Records: records, AsOf: 1}}})
	if asked > 0 {
		t.Fatal("endpoints were asked before there were records")
	}
	survey()
	if asked != 3 {
		t.Fatalf("%d endpoints were asked, want 3", asked)
	}
	tg.advance(2 * maxContactAge)
	survey()
	if asked != 3 {
		t.Fatal("endpoints are asked long after the records came")
	}
}

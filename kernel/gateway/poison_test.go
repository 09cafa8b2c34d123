package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/message"
	"anvilcross/kernel/replica"
)

const poisonDigest = 42

// crashEndpoint sends a request with the poison digest, breaks its exchange,
// and removes the endpoint that ran it. It advances the clock by 3 s.
func (tg *testGateway) crashEndpoint(path string) {
	tg.t.Helper()
	h := tg.sendRequest(path, func(c *CallerRequest) { c.Digest = poisonDigest })
	s := tg.wantSend(h)
	tg.mustBeginWrite(h, s)
	tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
	tg.gateway.HandleCallerLeft(h)
	tg.gateway.HandleChanges([]replica.Record{{Key: string(s.Endpoint), Revision: tg.gateway.AsOf() + 1, Removed: true}}, tg.gateway.AsOf()+1)
	tg.advance(3 * time.Second)
}

// A caller sends a request that crashes endpoints again and again, each time
// under a new id.
func TestPoisonContentIsQuarantined(t *testing.T) {
	t.Run("after three crashes", func(t *testing.T) {
		tg := newConfigured(t)
		for range partCrashes {
			tg.crashEndpoint("/draft/")
		}
		tg.wantAnswer(tg.sendRequest("/draft/", func(c *CallerRequest) { c.Digest = poisonDigest }), Quarantined)
	})
	t.Run("that crashes endpoints after a while of answering", func(t *testing.T) {
		tg := newConfigured(t)
		poison := func(c *CallerRequest) { c.Digest = poisonDigest }
		for range partCrashes {
			h := tg.sendRequest("/draft/", poison)
			s := tg.wantSend(h)
			tg.mustBeginWrite(h, s)
			tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
			tg.gateway.HandleFirstEvent(h, s.Attempt)
			tg.advance(2 * time.Second)
			tg.gateway.HandleFailure(h, s.Attempt, Broken, "9", "reset")
			tg.gateway.HandleChanges([]replica.Record{{Key: string(s.Endpoint), Revision: tg.gateway.AsOf() + 1, Removed: true}}, tg.gateway.AsOf()+1)
			tg.advance(3 * time.Second)
		}
		tg.wantAnswer(tg.sendRequest("/draft/", poison), Quarantined)
	})
	t.Run("by the word of other instances", func(t *testing.T) {
		tg := newConfigured(t)
		var reports []message.CrashReport
		for n := range partCrashes {
			reports = append(reports, message.CrashReport{Digest: poisonDigest, Endpoint: testListing("models", n).Name, Service: "models", Age: time.Duration(10*n+5) * time.Second})
		}
		tg.gateway.HandleMessage(message.Envelope{From: "two", Ping: &message.Ping{CrashReports: reports}})
		tg.wantAnswer(tg.sendRequest("/draft/", func(c *CallerRequest) { c.Digest = poisonDigest }), Quarantined)
	})
	t.Run("other contents go on", func(t *testing.T) {
		tg := newConfigured(t)
		for range 2 {
			tg.crashEndpoint("/draft/")
		}
		tg.wantSend(tg.sendRequest("/draft/", nil))
	})
}

// A planned departure of endpoints counts as a crash of what they answered last, because its end
// is marked by that of the connection.
func TestLastAnswersOfEndpointsThatLeaveAreNotBlamed(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		t.Run(fmt.Sprintf("leaving %v", leaving), func(t *testing.T) {
			tg := newConfigured(t)
			request := func(c *CallerRequest) { c.Digest = poisonDigest }
			for n := range partCrashes {
				h := tg.sendRequest("/draft/", request)
				s := tg.wantSend(h)
				tg.mustBeginWrite(h, s)
				tg.gateway.HandleResponseHead(h, s.Attempt, false, endpoints.Load{})
				tg.gateway.HandleFirstEvent(h, s.Attempt)
				e := tg.gateway.directory.Lookup(s.Endpoint)
				if leaving {
					tg.gateway.directory.RecordLeaving(tg.timers.Now(), e.Process())
				}
				tg.advance(time.Second)
				tg.gateway.HandleDelivery(h, s.Attempt, Delivery{Status: 200, Events: 5})
				tg.advance(time.Second)
				next, revision := testListing("models", 10+n), tg.gateway.AsOf()+1
				tg.gateway.HandleChanges([]replica.Record{{Key: string(s.Endpoint), Revision: revision, Removed: true}, testRecord(t, string(next.Name), revision, next)}, revision)
				tg.advance(3 * time.Second)
			}
			h := tg.sendRequest("/draft/", request)
			if leaving {
				tg.wantSend(h)
				return
			}
			tg.wantAnswer(h, Quarantined)
		})
	}
}

// An endpoint that loses responses (fault answer_lost) but keeps running must
// not get the contents of the lost responses quarantined.
func TestLostResponsesAreNotCrashes(t *testing.T) {
	tg := newConfigured(t)
	for range 6 {
		h := tg.sendRequest("/order/", func(c *CallerRequest) { c.Digest = poisonDigest })
		s := tg.wantSend(h)
		tg.mustBeginWrite(h, s)
		tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
		tg.advance(4 * time.Second)
		next := tg.sendRequest("/order/", nil)
		n := tg.wantSend(next)
		tg.mustBeginWrite(next, n)
		tg.gateway.HandleResponseHead(next, n.Attempt, false, endpoints.Load{})
		tg.gateway.HandleDelivery(next, n.Attempt, Delivery{Status: 200})
	}
	tg.wantSend(tg.sendRequest("/order/", func(c *CallerRequest) { c.Digest = poisonDigest }))
}

// A content that crashes two endpoints with each of its requests comes again and again; its
// retries reach endpoints more than three times later than the third crash.
func TestContentThatCrashesTwoEndpointsAtATime(t *testing.T) {
	tg := newConfigured(t)
	change := func(records ...replica.Record) {
		revision := tg.gateway.AsOf() + 1
		for i := range records {
			records[i].Revision = revision
		}
		tg.gateway.HandleChanges(records, revision)
	}
	for n := 3; n < 8; n++ {
		change(testRecord(t, string(testListing("orders", n).Name), 0, testListing("orders", n)))
	}
	start, starts, crashes := tg.timers.Now(), 100, 0
	var third time.Time
	late := 0
	for sent := 0; tg.timers.Now().Sub(start) < 98*time.Second; sent++ {
		h := tg.sendRequest("/lookup/", func(c *CallerRequest) { c.Digest = poisonDigest })
		reached := false
		for s := tg.lastStep(h).Send; s != nil; s = tg.lastStep(h).Send {
			reached = true
			tg.mustBeginWrite(h, s)
			if crashes++; crashes == partCrashes {
				third = tg.timers.Now()
			}
			l := tg.gateway.directory.Lookup(s.Endpoint).Listing
			steps := len(tg.steps[h])
			tg.gateway.HandleFailure(h, s.Attempt, Broken, "", "reset")
			change(replica.Record{Key: string(l.Name), Removed: true})
			starts++
			l.Name = testListing("orders", starts).Name
			tg.timers.After(3*time.Second, func() { change(testRecord(t, string(l.Name), 0, l)) })
			tg.advance(5 * time.Millisecond)
			if len(tg.steps[h]) == steps {
				break
			}
		}
		if reached && crashes > partCrashes && tg.timers.Now().Sub(third) > 3*time.Second {
			late++
		}
		if sent < 4 {
			tg.advance(3200 * time.Millisecond)
		} else {
			tg.advance(1100 * time.Millisecond)
		}
	}
	if crashes < partCrashes || late > maxLateRetries {
		t.Errorf("%d crashes, %d retries later than 3 s after the third, want %d at most", crashes, late, maxLateRetries)
	}
}

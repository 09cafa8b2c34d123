package gateway

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
)

// Tables that are kept by endpoint grow with each one that is replaced, for as long as the
// process lives.
func TestReplacedEndpointsLeaveNothingBehind(t *testing.T) {
	const replaced, maxLeft = 1000, 40
	tg := newConfigured(t)
	g := tg.gateway
	services := []ident.Service{"models", "orders", "registry"}
	revision, limit := replica.Revision(1), ratelimit.Rate(50)
	change := func(r replica.Record) {
		revision++
		r.Revision = revision
		g.HandleChanges([]replica.Record{r}, revision)
	}
	for n := 3; n < replaced; n++ {
		service := services[n%len(services)]
		l := testListing(service, n)
		change(testRecord(t, string(l.Name), 0, l))
		g.batcher.HandleInspection(l.Name, 1000)
		process := ident.EndpointProcess{Endpoint: l.Name}
		g.HandleNotice(process, endpoints.Notice{Rest: time.Millisecond, RateLimit: &limit}, 0)
		h := tg.sendRequest(map[ident.Service]string{"models": "/verse/", "orders": "/lookup/", "registry": "/draft/"}[service], func(c *CallerRequest) { c.PieceCounts = []int{1} })
		tg.advance(300 * time.Millisecond)
		for _, c := range tg.calls {
			tg.replyTo(c)
		}
		tg.calls = nil
		tg.advance(10 * time.Millisecond)
		for _, s := range tg.steps[h] {
			if s.Send != nil && g.BeginWrite(h, s.Send.Attempt) {
				g.HandleFailure(h, s.Send.Attempt, Broken, "", "unexpected EOF")
			}
		}
		g.HandleCallerLeft(h)
		change(replica.Record{Key: string(testListing(service, n-3).Name), Removed: true})
	}
	tg.advance(3 * time.Minute)
	for name, size := range map[string]int{
		"listings":           g.directory.Count(),
		"listings of eras":   len(g.eras.Known),
		"broken exchanges":   len(g.crashes.brokenExchanges),
		"checks":             len(g.crashes.checking),
		"blocked until":      g.permits.BlockedCount(),
		"call permits":       len(g.permits.callPermits),
		"surveyed":           g.survey.AskedCount(),
		"departures":         g.departures.Count(),
		"processes":          g.warmup.ProcessCount(),
		"batcher's":          g.batcher.EndpointCount(),
		"requests":           len(g.requests),
		"requests of others": len(g.fleetRequests),
	} {
		if size > maxLeft {
			t.Errorf("%s: %d entries, want %d at most", name, size, maxLeft)
		} else {
			t.Log(name, fmt.Sprint(size))
		}
	}
}

package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/paths"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
)

// testGateway is one gateway under virtual time. It records the effects that
// the gateway asks for.
type testGateway struct {
	t          *testing.T
	gateway    *Gateway
	timers     *timer.Scheduler
	steps      map[RequestHandle][]Step
	cancels    []RequestHandle
	calls      []batching.Call
	freed      []message.ResultHandle
	peers      []sentMessage
	events     []string
	lastHandle RequestHandle
}

type sentMessage struct {
	to      membership.PeerAddress
	message message.Envelope
}

var testStart = time.Unix(1_700_000_000, 0)

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	return newTestGatewayAs(t, "one")
}

func newTestGatewayAs(t *testing.T, self ident.Instance) *testGateway {
	t.Helper()
	tg := &testGateway{t: t, steps: map[RequestHandle][]Step{}, timers: timer.NewScheduler(timer.Config{Start: testStart})}
	tg.gateway = NewGateway(Config{
		Self:         membership.Member{Name: self, Address: string(self) + ":1", DataCentre: "east", Incarnation: 1},
		Retry:        RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Random:       rand.New(rand.NewPCG(1, 2)),
		Timers:       tg.timers,
		DecodeRecord: decodeTestRecord,
		HistorySpan:  20 * time.Second,
		Output: Output{
			NextStep:        func(h RequestHandle, s Step) { tg.steps[h] = append(tg.steps[h], s) },
			CancelAttempt:   func(h RequestHandle) { tg.cancels = append(tg.cancels, h) },
			SendToPeer:      func(to membership.PeerAddress, m message.Envelope) { tg.peers = append(tg.peers, sentMessage{to, m}) },
			LogEvent:        func(name string, _ ...any) { tg.events = append(tg.events, name) },
			StartCall:       func(c batching.Call) { tg.calls = append(tg.calls, c) },
			InspectEndpoint: func(ident.Endpoint, string) {},
			CheckEndpoint: func(e ident.Endpoint, _ string) {
				tg.timers.After(0, func() { tg.gateway.HandleEndpointChecked(e, paths.Accepted) })
			},
			ListPrompts: func(ident.Endpoint, string) {},
			ReadHistory: func(replica.Revision) {},
			QueryHealth: func(ident.EndpointProcess, string, string) {},
			FreeResults: func(_ string, h []message.ResultHandle) { tg.freed = append(tg.freed, h...) },
		},
	})
	return tg
}

// decodeTestRecord decodes records whose values are the kernel's types as JSON.
func decodeTestRecord(r replica.Record) (DecodedRecord, error) {
	if r.Key == "catalog" {
		c := &published.Catalog{}
		err := json.Unmarshal(r.Value, c)
		c.BuildIndex()
		return DecodedRecord{Catalog: c}, err
	}
	if dataCentre, found := strings.CutPrefix(r.Key, evacuationTestKey); found {
		return DecodedRecord{Evacuated: ident.DataCentre(dataCentre)}, nil
	}
	decoded := DecodedRecord{Endpoint: ident.Endpoint(r.Key)}
	if r.Removed {
		return decoded, nil
	}
	decoded.Listing = &endpoints.Listing{}
	return decoded, json.Unmarshal(r.Value, decoded.Listing)
}

// evacuationTestKey begins the keys of the records that ask for evacuations.
const evacuationTestKey = "evacuate/"

func testRecord(t *testing.T, key string, revision replica.Revision, v any) replica.Record {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return replica.Record{Key: key, Revision: revision, Value: value}
}

// testCatalog returns a configuration with an unsafe route, a safe one, and two
// stream routes: one with a single stage, and a resumable one with two stages
// in sequence.
func testCatalog(version int64) *published.Catalog {
	profile := &published.BatchProfile{Slots: 1, MaxPiecesPerCall: 8, CallOverhead: 240 * time.Millisecond, TimePerPiece: 26 * time.Millisecond, ResultCapacityBytes: 9_600_000, ResultRetention: 4 * time.Second}
	return &published.Catalog{
		Version: version,
		Routes: []published.Route{
			{Name: "order", Host: "h", Prefix: "/order/", Kind: published.Unsafe, Targets: []published.Target{{Service: "orders", Weight: 1}}, Timeout: 1200 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 1},
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: published.Safe, Targets: []published.Target{{Service: "orders", Weight: 1}}, Timeout: 1200 * time.Millisecond, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 2},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: published.Stream, CarriesPrompts: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 15 * time.Second, LatencyObjective: 1500 * time.Millisecond, MaxAttempts: 1,
				Stages: []published.Stage{{Service: "registry", ResultBytes: 800_000}}},
			{Name: "verse", Host: "h", Prefix: "/verse/", Kind: published.Stream, CarriesPrompts: true, Resumable: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 15 * time.Second, LatencyObjective: 2500 * time.Millisecond, MaxAttempts: 2,
				Stages: []published.Stage{{Service: "registry", ResultBytes: 8_000}, {Service: "planning", DependsOn: []int{0}, ResultBytes: 60_000}}},
		},
		Services: map[ident.Service]*published.Service{
			"orders":   {Name: "orders"},
			"models":   {Name: "models"},
			"registry": {Name: "registry", BatchProfile: profile},
			"planning": {Name: "planning", BatchProfile: profile},
		},
		Workspaces: []published.Workspace{{Name: "parish", Keys: []string{"key"}}},
	}
}

// testListing returns the listing of endpoint n of a service.
func testListing(service ident.Service, n int) endpoints.Listing {
	centres := []ident.DataCentre{"east", "west", "north"}
	return endpoints.Listing{
		Name:       ident.Endpoint(fmt.Sprintf("%s-%d", service, n)),
		Service:    service,
		DataCentre: centres[n%len(centres)],
		Address:    fmt.Sprintf("%s-%d:80", service, n),
		Slots:      6,
		Version:    "v1",
	}
}

// newConfigured returns a test gateway with a configuration and three endpoints
// of each service.
func newConfigured(t *testing.T) *testGateway {
	t.Helper()
	return newConfiguredAs(t, "one")
}

func newConfiguredAs(t *testing.T, self ident.Instance) *testGateway {
	t.Helper()
	tg := newTestGatewayAs(t, self)
	records := []replica.Record{testRecord(t, "catalog", 1, testCatalog(1))}
	for _, s := range []ident.Service{"orders", "models", "registry", "planning"} {
		for n := range 3 {
			l := testListing(s, n)
			records = append(records, testRecord(t, string(l.Name), 1, l))
		}
	}
	tg.gateway.HandleFullList(records, 1)
	return tg
}

// sendRequest hands a request to the gateway; change may adjust it first.
func (tg *testGateway) sendRequest(path string, change func(*CallerRequest)) RequestHandle {
	tg.t.Helper()
	tg.lastHandle++
	c := CallerRequest{ID: ident.RequestID(fmt.Sprintf("request-%d", tg.lastHandle)), Host: "h", Path: path, Key: "key", PieceKey: "piece", Prompt: []PromptPart{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 100}}}
	if change != nil {
		change(&c)
	}
	tg.gateway.HandleRequest(tg.lastHandle, c)
	return tg.lastHandle
}

// advance runs all timers that are due within d.
func (tg *testGateway) advance(d time.Duration) {
	end := tg.timers.Now().Add(d)
	for {
		next, ok := tg.timers.NextDue()
		if !ok || next.After(end) {
			break
		}
		tg.timers.Advance(next)
	}
	tg.timers.Advance(end)
}

// replyTo completes a stage call with a result for every piece.
func (tg *testGateway) replyTo(c batching.Call) {
	var r batching.Reply
	for _, item := range c.Items {
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", c.Address, item.ID.Request, item.ID.Stage, item.ID.Piece, c.ID)
		r.Items = append(r.Items, batching.ReplyItem{Handle: message.ResultHandle(handle)})
	}
	tg.gateway.Batcher().HandleReply(c.ID, r)
}

// finishCalls completes the stage calls that are in flight, and checks that
// there are want of them.
func (tg *testGateway) finishCalls(want int) {
	tg.t.Helper()
	calls := tg.calls
	tg.calls = nil
	if len(calls) != want {
		tg.t.Fatalf("%d stage calls are in flight, want %d", len(calls), want)
	}
	for _, c := range calls {
		tg.replyTo(c)
	}
}

// lastStep returns the last step that the gateway asked for on a request.
func (tg *testGateway) lastStep(h RequestHandle) Step {
	tg.t.Helper()
	if len(tg.steps[h]) == 0 {
		tg.t.Fatalf("request %d got no step", h)
	}
	return tg.steps[h][len(tg.steps[h])-1]
}

func (tg *testGateway) wantSend(h RequestHandle) *Send {
	tg.t.Helper()
	s := tg.lastStep(h).Send
	if s == nil {
		tg.t.Fatalf("request %d: got answer %v (%s), want a send", h, tg.lastStep(h).Answer, tg.lastStep(h).Reason)
	}
	return s
}

func (tg *testGateway) wantAnswer(h RequestHandle, want Answer) {
	tg.t.Helper()
	if s := tg.lastStep(h); s.Send != nil || s.Answer != want {
		tg.t.Fatalf("request %d: got %+v, want answer %v", h, s, want)
	}
}

func (tg *testGateway) wantSteps(h RequestHandle, want int) {
	tg.t.Helper()
	if got := len(tg.steps[h]); got != want {
		tg.t.Fatalf("request %d: got %d steps, want %d", h, got, want)
	}
}

// mustBeginWrite begins to write an attempt, which must be allowed.
func (tg *testGateway) mustBeginWrite(h RequestHandle, s *Send) {
	tg.t.Helper()
	if !tg.gateway.BeginWrite(h, s.Attempt) {
		tg.t.Fatalf("request %d: attempt %d may not be written", h, s.Attempt)
	}
}

package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/replica"
	"anvilcross/kernel/timer"
)

// world is one gateway under virtual time. What it asks of the edge is kept.
type world struct {
	t       *testing.T
	gateway *Gateway
	timers  *timer.Service
	steps   map[RequestHandle][]Step
	cancels []RequestHandle
	calls   []batching.Call
	freed   []message.ResultHandle
	peers   []sentMessage
	events  []string
	next    RequestHandle
}

type sentMessage struct {
	to      membership.Address
	message message.Envelope
}

var testStart = time.Unix(1_700_000_000, 0)

func newWorld(t *testing.T) *world {
	t.Helper()
	return newWorldAs(t, "one")
}

func newWorldAs(t *testing.T, self ident.Instance) *world {
	t.Helper()
	w := &world{t: t, steps: map[RequestHandle][]Step{}, timers: timer.NewService(timer.Config{Start: testStart})}
	w.gateway = NewGateway(Config{
		Self:         membership.Member{Name: self, Address: string(self) + ":1", DataCentre: "east", Incarnation: 1},
		Retry:        RetryLimits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Random:       rand.New(rand.NewPCG(1, 2)),
		Timers:       w.timers,
		DecodeRecord: decodeTestRecord,
		Output: Output{
			NextStep:        func(h RequestHandle, s Step) { w.steps[h] = append(w.steps[h], s) },
			CancelAttempt:   func(h RequestHandle) { w.cancels = append(w.cancels, h) },
			SendToPeer:      func(to membership.Address, m message.Envelope) { w.peers = append(w.peers, sentMessage{to, m}) },
			LogEvent:        func(name string, _ ...any) { w.events = append(w.events, name) },
			StartCall:       func(c batching.Call) { w.calls = append(w.calls, c) },
			InspectEndpoint: func(ident.Endpoint, string) {},
			FreeResults:     func(_ string, h []message.ResultHandle) { w.freed = append(w.freed, h...) },
		},
	})
	return w
}

// decodeTestRecord reads records whose values are JSON of the kernel's types.
func decodeTestRecord(r replica.Record) (DecodedRecord, error) {
	if r.Key == "catalog" {
		c := &published.Catalog{}
		err := json.Unmarshal(r.Value, c)
		c.Index()
		return DecodedRecord{Catalog: c}, err
	}
	change := DecodedRecord{Endpoint: ident.Endpoint(r.Key)}
	if r.Removed {
		return change, nil
	}
	change.Listing = &endpoints.Listing{}
	return change, json.Unmarshal(r.Value, change.Listing)
}

func record(t *testing.T, key string, revision replica.Revision, v any) replica.Record {
	t.Helper()
	value, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return replica.Record{Key: key, Revision: revision, Value: value}
}

// testCatalog has an unsafe, a safe, and two stream routes, one of them with
// a chain of two stages.
func testCatalog(version int64) *published.Catalog {
	batches := &published.Batches{Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, ResultBytes: 9_600_000, KeepTime: 4 * time.Second}
	return &published.Catalog{
		Version: version,
		Routes: []published.Route{
			{Name: "order", Host: "h", Prefix: "/order/", Kind: published.Unsafe, Targets: []published.Target{{Service: "orders", Weight: 1}}, Timeout: 1200 * time.Millisecond, Objective: 200 * time.Millisecond, MaxAttempts: 1},
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: published.Safe, Targets: []published.Target{{Service: "orders", Weight: 1}}, Timeout: 1200 * time.Millisecond, Objective: 200 * time.Millisecond, MaxAttempts: 2},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: published.Stream, Engine: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 15 * time.Second, Objective: 1500 * time.Millisecond, MaxAttempts: 1,
				Stages: []published.Stage{{Service: "registry", ResultBytes: 800_000}}},
			{Name: "verse", Host: "h", Prefix: "/verse/", Kind: published.Stream, Engine: true, Resumable: true, Targets: []published.Target{{Service: "models", Weight: 1}}, Timeout: 15 * time.Second, Objective: 2500 * time.Millisecond, MaxAttempts: 2,
				Stages: []published.Stage{{Service: "registry", ResultBytes: 8_000}, {Service: "planning", After: []int{0}, ResultBytes: 60_000}}},
		},
		Services: map[ident.Service]*published.Service{
			"orders":   {Name: "orders"},
			"models":   {Name: "models"},
			"registry": {Name: "registry", Batches: batches},
			"planning": {Name: "planning", Batches: batches},
		},
		Workspaces: []published.Workspace{{Name: "parish", Keys: []string{"key"}}},
	}
}

func listing(service ident.Service, n int) endpoints.Listing {
	centres := []ident.DataCentre{"east", "west", "north"}
	return endpoints.Listing{
		Name:       ident.Endpoint(fmt.Sprintf("%s-%d", service, n)),
		Service:    service,
		DataCentre: centres[n%len(centres)],
		Address:    fmt.Sprintf("%s-%d:80", service, n),
		Slots:      6,
	}
}

// configured returns a world with a configuration and three endpoints of each
// service.
func configured(t *testing.T) *world {
	t.Helper()
	return configuredAs(t, "one")
}

func configuredAs(t *testing.T, self ident.Instance) *world {
	t.Helper()
	w := newWorldAs(t, self)
	records := []replica.Record{record(t, "catalog", 1, testCatalog(1))}
	for _, s := range []ident.Service{"orders", "models", "registry", "planning"} {
		for n := range 3 {
			l := listing(s, n)
			records = append(records, record(t, string(l.Name), 1, l))
		}
	}
	w.gateway.HandleListing(records, 1)
	return w
}

func (w *world) arrive(path string, change func(*CallerRequest)) RequestHandle {
	w.t.Helper()
	w.next++
	a := CallerRequest{ID: ident.RequestID(fmt.Sprintf("request-%d", w.next)), Host: "h", Path: path, Key: "key", PieceKey: "piece", Prompt: []PromptPart{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 100}}}
	if change != nil {
		change(&a)
	}
	w.gateway.HandleRequest(w.next, a)
	return w.next
}

func (w *world) pass(d time.Duration) {
	end := w.timers.Now().Add(d)
	for {
		next, ok := w.timers.Next()
		if !ok || next.After(end) {
			break
		}
		w.timers.Advance(next)
	}
	w.timers.Advance(end)
}

// reply lets a stage call make all its pieces.
func (w *world) reply(c batching.Call) {
	var r batching.Reply
	for _, item := range c.Items {
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", c.Address, item.ID.Request, item.ID.Stage, item.ID.Piece, c.ID)
		r.Items = append(r.Items, batching.ReplyItem{Handle: message.ResultHandle(handle)})
	}
	w.gateway.Batcher().Replied(c.ID, r)
}

// finishCalls replies to the stage calls that are open; there must be as many
// as given.
func (w *world) finishCalls(want int) {
	w.t.Helper()
	calls := w.calls
	w.calls = nil
	if len(calls) != want {
		w.t.Fatalf("%d stage calls are open, want %d", len(calls), want)
	}
	for _, c := range calls {
		w.reply(c)
	}
}

func (w *world) last(h RequestHandle) Step {
	w.t.Helper()
	if len(w.steps[h]) == 0 {
		w.t.Fatalf("request %d got no step", h)
	}
	return w.steps[h][len(w.steps[h])-1]
}

func (w *world) wantSend(h RequestHandle) *Send {
	w.t.Helper()
	s := w.last(h).Send
	if s == nil {
		w.t.Fatalf("request %d: got answer %v (%s), want a send", h, w.last(h).Answer, w.last(h).Reason)
	}
	return s
}

func (w *world) wantAnswer(h RequestHandle, want Answer) {
	w.t.Helper()
	if s := w.last(h); s.Send != nil || s.Answer != want {
		w.t.Fatalf("request %d: got %+v, want answer %v", h, s, want)
	}
}

func (w *world) wantSteps(h RequestHandle, want int) {
	w.t.Helper()
	if got := len(w.steps[h]); got != want {
		w.t.Fatalf("request %d: got %d steps, want %d", h, got, want)
	}
}

func (w *world) mayWrite(h RequestHandle, s *Send) {
	w.t.Helper()
	if !w.gateway.BeginWrite(h, s.Attempt) {
		w.t.Fatalf("request %d: attempt %d may not be written", h, s.Attempt)
	}
}

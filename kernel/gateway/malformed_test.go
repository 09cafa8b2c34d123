package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/membership"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ratelimit"
	"anvilcross/kernel/replica"
)

// malformedMessages are messages that no instance sends.
var malformedMessages = []message.Envelope{
	{StageResults: &message.StageResults{Service: "registry", Results: []message.PieceResult{{ID: message.PieceID{Request: "request-1", Stage: -1}, Outcome: message.PieceDone}}}},
	{StageResults: &message.StageResults{Service: "registry", Results: []message.PieceResult{{ID: message.PieceID{Request: "request-1", Piece: -1}, Outcome: message.PieceDone}}}},
	{StageInputsFetched: &message.StageInputsFetched{Pieces: []message.PieceID{{Request: "request-1", Stage: -1}}}},
	{StageWork: &message.StageWork{Request: "request-2", Service: "registry", Pieces: []int{-1}}},
	{StageWork: &message.StageWork{Request: "request-2", Service: "registry", Stage: -1}},
	{StageWork: &message.StageWork{Request: "request-2", Service: "registry", Stage: 1, Pieces: []int{0}, Inputs: []message.ResultHandle{"registry-0:80/x", ""}}},
	{StageInputsFetched: &message.StageInputsFetched{Pieces: []message.PieceID{{Request: "request-1"}}, InputsRevisions: []int{1, 2}}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, KnownCount: 1 << 30}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, Limits: map[ident.Endpoint]ratelimit.Report{"orders-0": {Rate: -3}}}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, PermitLease: &ratelimit.Lease{Issuer: "one", TTL: -time.Second}}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, PartRuns: []message.PartRun{{ID: "one/1/1", Part: "a", Length: -time.Second}}}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, ExoneratedParts: map[ident.PromptPart]time.Duration{"a": -time.Second}}},
	{PermitRequest: &message.PermitRequest{Endpoint: "orders-0", Limit: ratelimit.Report{Rate: 1, ToldAgo: time.Second}}},
	{PermitReply: &message.PermitReply{ID: 1, RetryAfter: -time.Second}},
	{Ping: &message.Ping{Member: membership.Member{Name: "two"}, Members: []membership.GossipEntry{{Age: -time.Hour}}}},
}

// One malformed message of another instance must not end the process, and is
// counted.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	for _, m := range malformedMessages {
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(string(text), func(t *testing.T) {
			tg := newConfigured(t)
			tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{4} })
			m.From = "two"
			tg.gateway.HandleMessage(m)
			tg.advance(time.Second)
			if got := tg.gateway.Counters().MessagesRejected; got != 1 {
				t.Fatalf("%d messages were rejected, want 1", got)
			}
		})
	}
}

// FuzzHandleMessage passes arbitrary messages to a gateway that serves a request.
func FuzzHandleMessage(f *testing.F) {
	work := message.StageWork{Request: "request-9", Service: "registry", Pieces: []int{0, 1}, ResultBytes: 1000, Consumers: 1, TimeToDue: time.Second, TimeToDeadline: 2 * time.Second, Weight: 1}
	for _, m := range append([]message.Envelope{
		{From: "two", StageWork: &work},
		{From: "two", StageResults: &message.StageResults{Service: "registry", Results: []message.PieceResult{{ID: message.PieceID{Request: "request-1"}, Outcome: message.PieceInputGone}}}},
		{From: "two", StageRelease: &message.StageRelease{Service: "registry", Request: "request-9", CancelPieces: true, Handles: []message.ResultHandle{"registry-0:80/x"}}},
		{From: "two", Records: &message.Records{Delta: replica.Delta{Base: 1, AsOf: 2}}},
		{From: "two", Ping: &message.Ping{Member: membership.Member{Name: "two", Address: "two:1", DataCentre: "west"}, BatcherStatuses: map[ident.Pool]message.BatcherStatus{{Service: "registry"}: {Tenure: time.Hour}}, LostDataCentres: []ident.DataCentre{"north"}}},
	}, malformedMessages...) {
		text, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var m message.Envelope
		if json.Unmarshal(text, &m) != nil {
			return
		}
		tg := newConfigured(t)
		tg.sendRequest("/draft/", func(c *CallerRequest) { c.PieceCounts = []int{4} })
		tg.gateway.HandleMessage(m)
		if m.Ping != nil {
			tg.gateway.AnswerPing(*m.Ping)
		}
		tg.advance(500 * time.Millisecond)
	})
}

package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// newHandOverNode returns a node without a configuration whose messages go to send.
func newHandOverNode(send func(message.Envelope)) *Node {
	return NewNode(Config{
		Seat: "a-1", DataCentre: "a", Random: rand.New(rand.NewPCG(1, 1)),
		Timers: timer.NewScheduler(timer.Config{Start: time.Unix(0, 0)}),
		Output: Output{LogEvent: func(Event) {}, SendToPeer: send},
	})
}

// TestRepeatedHandOverIsNotRefused guards against a second owner of the same
// tickets. A hand-over is repeated when its acknowledgement was lost. If the
// receiver, which owns the tickets by then and is stopping itself, refused it,
// the sender would choose another successor.
func TestRepeatedHandOverIsNotRefused(t *testing.T) {
	var replies []message.HandOverAck
	n := newHandOverNode(func(e message.Envelope) {
		if e.HandOverAck != nil {
			replies = append(replies, *e.HandOverAck)
		}
	})
	n.Configure(&configuration.Document{
		Deployment: "small", Revision: 1, ResendHorizonMillis: 600_000, ClockSkewMillis: 500,
		DataCentres: []configuration.DataCentre{{Name: "a", Seats: []ident.Instance{"a-1", "a-2", "a-3"}}},
		Services:    []configuration.Service{{Name: "s", Kind: "pool", Workers: 1, Concurrency: 1, DuplicateCheck: configuration.NoDuplicateCheck}},
		Pipelines:   []configuration.Pipeline{{Name: "p", DeadlineMillis: 1000, LateAnswer: configuration.DropLate, Stages: []configuration.Stage{{Name: "one", Service: "s", ExpectedMillis: 1}}}},
		Workspaces:  []configuration.Workspace{{Name: "w", KeyDigest: configuration.KeyDigest("k"), Share: 1, RatePerSecond: 1}},
	})
	handOver := func(from ident.Instance) bool {
		by := message.TicketIssuer{Instance: from, Incarnation: 7}
		n.HandleMessage(message.Envelope{From: from, HandOver: &message.HandOver{From: by, Issuers: []message.TicketIssuer{by}, Part: 1, PartCount: 1}})
		return !replies[len(replies)-1].Refused
	}
	if !handOver("a-2") {
		t.Fatal("the first hand-over was refused")
	}
	n.BeginDrain()
	if !handOver("a-2") {
		t.Error("the repeated hand-over was refused by the owner of its tickets")
	}
	if handOver("a-3") {
		t.Error("a stopping instance accepted a new hand-over")
	}
}

// A receiver that begins to stop may refuse the second part of a hand-over whose
// first part it has acknowledged. The next successor must get both.
func TestRefusedHandOverStartsAnew(t *testing.T) {
	var sent []message.HandOver
	n := newHandOverNode(func(e message.Envelope) {
		if e.HandOver != nil {
			sent = append(sent, *e.HandOver)
		}
	})
	n.handOver = &handOver{
		done: func() {}, successor: "a-2", refusedBy: value.NewSet[ident.Instance](), acknowledgedParts: value.NewSet[int](),
		parts: []message.HandOver{{Part: 1, PartCount: 2}, {Part: 2, PartCount: 2}},
	}
	n.handleHandOverAck("a-2", message.HandOverAck{Part: 1})
	n.handleHandOverAck("a-2", message.HandOverAck{Refused: true})
	n.handOver.successor = "a-3"
	n.sendHandOver()
	if len(sent) != 2 {
		t.Fatalf("the next successor got %d parts, want 2", len(sent))
	}
}

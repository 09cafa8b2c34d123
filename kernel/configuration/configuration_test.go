package configuration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"anvilcross/kernel/ident"
)

// small returns a valid document.
func small() *Document {
	return &Document{
		Deployment: "small", Revision: 3, ResendHorizonMillis: 600_000, ClockSkewMillis: 500,
		DataCentres: []DataCentre{{Name: "a", Seats: []ident.Instance{"a-1"}}},
		Services:    []Service{{Name: "orders", Kind: "service", Workers: 1, Concurrency: 1, DuplicateCheck: NoDuplicateCheck}},
		Pipelines:   []Pipeline{{Name: "order", DeadlineMillis: 1000, LateAnswer: DropLate, Stages: []Stage{{Name: "book", Service: "orders", ExpectedMillis: 10}}}},
		Workspaces:  []Workspace{{Name: "shop", KeyDigest: KeyDigest("k"), Share: 1, RatePerSecond: 40}},
	}
}

func effects(before, after *Document) (lines []string, breaks bool) {
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
		breaks = breaks || c.Breaking
	}
	return lines, breaks
}

func TestDiff(t *testing.T) {
	Convey("A falling rate is told as an effect", t, func() {
		after := small()
		after.Workspaces[0].RatePerSecond = 30
		lines, breaks := effects(small(), after)
		So(lines, ShouldResemble, []string{"  workspace shop: falls from 40 to 30 requests/s"})
		So(breaks, ShouldBeFalse)
	})
	Convey("Turning a non-idempotent rule off breaks a promise", t, func() {
		after := small()
		after.Pipelines[0].Stages[0].Idempotent = true
		_, breaks := effects(small(), after)
		So(breaks, ShouldBeTrue)
	})
	Convey("Dropping a pipeline breaks a promise", t, func() {
		after := small()
		after.Pipelines[0].Name = "other"
		_, breaks := effects(small(), after)
		So(breaks, ShouldBeTrue)
	})
}

func TestDelta(t *testing.T) {
	Convey("A delta makes the new document from the old one", t, func() {
		after := small()
		after.Revision = 4
		after.Workspaces[0].RatePerSecond = 30
		after.Workspaces = append(after.Workspaces, Workspace{Name: "new", KeyDigest: KeyDigest("n"), Share: 1, RatePerSecond: 5})
		after.Services = append(after.Services, Service{Name: "extra", Kind: "pool", Workers: 1, Concurrency: 1, DuplicateCheck: NoDuplicateCheck})
		d := NewDelta(small(), after)
		So(d, ShouldNotBeNil)
		So(d.Apply(small()).Digest(), ShouldEqual, after.Digest())
		So(d.Pipelines.Upserted, ShouldBeEmpty)
	})
	Convey("A delta for another document is refused", t, func() {
		after := small()
		after.Revision = 4
		other := small()
		other.Workspaces[0].Share = 9
		So(NewDelta(small(), after).Apply(other), ShouldBeNil)
	})
	Convey("A document whose lists are in another order has no delta", t, func() {
		before := small()
		before.Workspaces = append(before.Workspaces, Workspace{Name: "second", KeyDigest: KeyDigest("n"), Share: 1, RatePerSecond: 5})
		after := small()
		after.Workspaces = []Workspace{before.Workspaces[1], before.Workspaces[0]}
		So(NewDelta(before, after), ShouldBeNil)
	})
}

func TestNewer(t *testing.T) {
	Convey("An older revision never replaces a newer one", t, func() {
		older := small()
		older.Revision = 2
		So(older.Supersedes(small()), ShouldBeFalse)
		So(small().Supersedes(older), ShouldBeTrue)
	})
	Convey("Of two documents with one revision all instances choose the same", t, func() {
		other := small()
		other.Workspaces[0].Share = 2
		So(small().Supersedes(other), ShouldNotEqual, other.Supersedes(small()))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(string(small().Encode()))
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Decode([]byte(text))
		if err != nil {
			return
		}
		again, err := Decode(d.Encode())
		if err != nil || again.Digest() != d.Digest() {
			t.Errorf("a decoded document does not survive encoding: %v", err)
		}
	})
}

package configuration

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"anvilcross/kernel/ident"
)

// validDocument returns a valid document.
func validDocument() *Document {
	return &Document{
		Deployment: "small", Revision: 3, ResendHorizonMillis: 600_000, ClockSkewMillis: 500,
		DataCentres: []DataCentre{{Name: "a", Seats: []ident.Instance{"a-1"}}},
		Services:    []Service{{Name: "orders", Kind: "service", Workers: 1, Concurrency: 1, DuplicateCheck: NoDuplicateCheck}},
		Pipelines:   []Pipeline{{Name: "order", DeadlineMillis: 1000, LateAnswer: DropLate, Stages: []Stage{{Name: "book", Service: "orders", ExpectedMillis: 10}}}},
		Workspaces:  []Workspace{{Name: "shop", KeyDigest: KeyDigest("k"), Share: 1, RatePerSecond: 40}},
	}
}

// diffLines returns the changes as lines of text and whether one is breaking.
func diffLines(before, after *Document) (lines []string, breaking bool) {
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
		breaking = breaking || c.Breaking
	}
	return lines, breaking
}

func TestDiff(t *testing.T) {
	Convey("A lower rate is reported with its old and new value", t, func() {
		after := validDocument()
		after.Workspaces[0].RatePerSecond = 30
		lines, breaking := diffLines(validDocument(), after)
		So(lines, ShouldResemble, []string{"  workspace shop: falls from 40 to 30 requests/s"})
		So(breaking, ShouldBeFalse)
	})
	Convey("Making a non-idempotent stage idempotent is a breaking change", t, func() {
		after := validDocument()
		after.Pipelines[0].Stages[0].Idempotent = true
		_, breaking := diffLines(validDocument(), after)
		So(breaking, ShouldBeTrue)
	})
	Convey("Removing a pipeline is a breaking change", t, func() {
		after := validDocument()
		after.Pipelines[0].Name = "other"
		_, breaking := diffLines(validDocument(), after)
		So(breaking, ShouldBeTrue)
	})
}

func TestDelta(t *testing.T) {
	Convey("A delta turns the old document into the new one", t, func() {
		after := validDocument()
		after.Revision = 4
		after.Workspaces[0].RatePerSecond = 30
		after.Workspaces = append(after.Workspaces, Workspace{Name: "new", KeyDigest: KeyDigest("n"), Share: 1, RatePerSecond: 5})
		after.Services = append(after.Services, Service{Name: "extra", Kind: "pool", Workers: 1, Concurrency: 1, DuplicateCheck: NoDuplicateCheck})
		d := NewDelta(validDocument(), after)
		So(d, ShouldNotBeNil)
		So(d.Apply(validDocument()).Digest(), ShouldEqual, after.Digest())
		So(d.Pipelines.Upserted, ShouldBeEmpty)
	})
	Convey("A delta does not apply to a document that it was not made for", t, func() {
		after := validDocument()
		after.Revision = 4
		other := validDocument()
		other.Workspaces[0].Share = 9
		So(NewDelta(validDocument(), after).Apply(other), ShouldBeNil)
	})
	Convey("A document whose lists are in another order has no delta", t, func() {
		before := validDocument()
		before.Workspaces = append(before.Workspaces, Workspace{Name: "second", KeyDigest: KeyDigest("n"), Share: 1, RatePerSecond: 5})
		after := validDocument()
		after.Workspaces = []Workspace{before.Workspaces[1], before.Workspaces[0]}
		So(NewDelta(before, after), ShouldBeNil)
	})
}

func TestSupersedes(t *testing.T) {
	Convey("An older revision never replaces a newer one", t, func() {
		older := validDocument()
		older.Revision = 2
		So(older.Supersedes(validDocument()), ShouldBeFalse)
		So(validDocument().Supersedes(older), ShouldBeTrue)
	})
	Convey("Of two documents with the same revision, all instances choose the same one", t, func() {
		other := validDocument()
		other.Workspaces[0].Share = 2
		So(validDocument().Supersedes(other), ShouldNotEqual, other.Supersedes(validDocument()))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(string(validDocument().Encode()))
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

package origin

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var start = time.Unix(1_700_000_000, 0)

func newTestTable() *Table { return NewTable(TableConfig{Retention: time.Minute, MaxStreams: 3}) }

func wantOrigin(t *testing.T, table *Table, stream ident.RequestID, want ident.SoftwareVersion) {
	t.Helper()
	if got, known := table.Lookup(stream); got.Version != want || known != (want != "") {
		t.Fatalf("stream %s: got version %q, known %v, want %q", stream, got.Version, known, want)
	}
}

func entry(stream ident.RequestID, version ident.SoftwareVersion) Entry {
	return Entry{Stream: stream, Origin: Origin{Service: "models", Version: version}}
}

// A stream is remembered at another version than the first that was told, too long, or
// without a bound.
func TestTable(t *testing.T) {
	t.Run("the first version holds", func(t *testing.T) {
		table := newTestTable()
		table.Record(start, entry("a", "v1"))
		table.Record(start, entry("a", "v2"))
		wantOrigin(t, table, "a", "v1")
	})
	t.Run("old streams are forgotten", func(t *testing.T) {
		table := newTestTable()
		old := entry("a", "v1")
		old.Age = 50 * time.Second
		table.Record(start, old)
		table.Record(start, entry("b", "v1"))
		table.Expire(start.Add(10 * time.Second))
		wantOrigin(t, table, "a", "")
		wantOrigin(t, table, "b", "v1")
	})
	t.Run("a full table drops the oldest", func(t *testing.T) {
		table := newTestTable()
		for n := range 5 {
			table.Record(start, entry(ident.RequestID(fmt.Sprint(n)), "v1"))
		}
		wantOrigin(t, table, "1", "")
		wantOrigin(t, table, "2", "v1")
		if n := len(table.Entries(start)); n != 3 {
			t.Fatalf("%d entries, want 3", n)
		}
	})
}

// A prompt at endpoints of two versions, or at one that names none, tells a version.
func TestHoldings(t *testing.T) {
	cases := []struct {
		name     string
		versions []ident.SoftwareVersion
		want     ident.SoftwareVersion
	}{
		{"nobody holds it", nil, ""},
		{"endpoints of one version", []ident.SoftwareVersion{"v2", "v2"}, "v2"},
		{"endpoints of two versions", []ident.SoftwareVersion{"v1", "v2"}, ""},
		{"an endpoint without a version", []ident.SoftwareVersion{""}, ""},
		{"one with and one without", []ident.SoftwareVersion{"", "v1"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHoldings(time.Second)
			for n, v := range c.versions {
				h.Record(start, Holder{Endpoint: ident.Endpoint(fmt.Sprint(n)), Origin: Origin{Service: "models", Version: v}}, []ident.PromptPart{"p"})
			}
			h.Record(start, Holder{Endpoint: "other", Origin: Origin{Service: "models", Version: "v9"}}, []ident.PromptPart{"q"})
			h.Record(start, Holder{Endpoint: "foreign", Origin: Origin{Service: "others", Version: "v9"}}, []ident.PromptPart{"p"})
			if got, verdict := h.Judge(start, "p", []ident.Service{"models"}, nil); (verdict == Proved) != (c.want != "") || verdict == Proved && got.Version != c.want {
				t.Fatalf("got version %q, verdict %v, want %q", got.Version, verdict, c.want)
			}
		})
	}
	t.Run("a report of an earlier process or of long ago", func(t *testing.T) {
		h := NewHoldings(time.Second)
		holder := Holder{Endpoint: "a", StartedUnixMillis: 1, Origin: Origin{Service: "models", Version: "v1"}}
		h.Record(start, holder, nil)
		later := holder
		later.StartedUnixMillis = 2
		if !h.Fresh(start, holder) || h.Fresh(start, later) || h.Fresh(start.Add(time.Second), holder) {
			t.Fatal("the report does not count for just its process and time")
		}
	})
}

package departures

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
)

const (
	retention = 2 * time.Minute
	// window is the time for which departures matter in these tests.
	window = 15 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

func process(name ident.Endpoint, version ident.SoftwareVersion) Process {
	return Process{EndpointProcess: ident.EndpointProcess{Endpoint: name, StartedUnixMillis: 1}, Origin: origin.Origin{Service: "models", Version: version}}
}

func listing(name ident.Endpoint, version ident.SoftwareVersion, started, sequence int64) *endpoints.Listing {
	return &endpoints.Listing{Name: name, Service: "models", Version: version, StartedUnixMillis: started, Sequence: sequence}
}

// A process that may have begun a stream is ruled out, or one that cannot have begun it is not.
func TestDepartures(t *testing.T) {
	v1, v2 := process("a", "v1"), process("b", "v2")
	both := []Process{process("c", "v1"), process("d", "v2")}
	unidentified := History{Since: start.Add(-20 * time.Second), Departures: []Departure{{Unidentified: true, ListedEarly: true}}}
	joinedV1 := unidentified
	joinedV1.Joined = []ident.EndpointProcess{both[0].EndpointProcess}
	cases := []struct {
		name   string
		change func(*Table)
		listed []Process
		after  time.Duration
		want   bool
	}{
		{"not known back so far", func(*Table) {}, both, time.Second, true},
		{"known long enough by itself", func(*Table) {}, both, window, false},
		{"another version", func(t *Table) { t.Record(start.Add(time.Second), v1) }, both, window, true},
		{"the same version", func(t *Table) { t.Record(start.Add(time.Second), v2) }, both, window, false},
		{"another version, long ago", func(t *Table) { t.Record(start.Add(time.Second), v1) }, both, window + 2*time.Second, false},
		{"listed again", func(t *Table) { t.Record(start.Add(time.Second), v1) }, append(both, v1), window, false},
		{"another service", func(t *Table) {
			other := v1
			other.Service = "stages"
			t.Record(start.Add(time.Second), other)
		}, both, window, false},
		{"the history is too short", func(t *Table) { t.AddHistory(start, History{Since: start.Add(-time.Second)}) }, both, time.Second, true},
		{"the history has none", func(t *Table) { t.AddHistory(start, History{Since: start.Add(-window)}) }, both, 0, false},
		{"unidentified, of two versions", func(t *Table) { t.AddHistory(start, unidentified) }, both, time.Second, true},
		{"unidentified, of the only version", func(t *Table) { t.AddHistory(start, unidentified) }, both[1:], time.Second, false},
		{"unidentified, another version left", func(t *Table) {
			t.Record(start.Add(-window), v1)
			t.AddHistory(start, unidentified)
		}, both[1:], time.Second, true},
		{"unidentified, the other version joined later", func(t *Table) { t.AddHistory(start, joinedV1) }, both, time.Second, false},
		{"unidentified, none was there", func(t *Table) {
			h := unidentified
			h.Joined = []ident.EndpointProcess{both[0].EndpointProcess, both[1].EndpointProcess}
			t.AddHistory(start, h)
		}, both, time.Second, true},
		{"unidentified since", func(t *Table) { t.RecordUnidentified(start.Add(time.Second), "x") }, both, window, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(Config{Retention: retention})
			table.Begin(start)
			c.change(table)
			if got := table.MayHaveLeft(start.Add(c.after-window), v2.Origin, []ident.Service{"models"}, c.listed); got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
	t.Run("what is old is dropped", func(t *testing.T) {
		table := NewTable(Config{Retention: retention})
		table.Begin(start)
		table.Record(start, v1)
		table.AddHistory(start, joinedV1)
		table.Expire(start.Add(retention + time.Second))
		if table.Count() != 0 || table.KnowsSince(start) || !table.KnowsSince(start.Add(2*time.Second)) {
			t.Fatalf("%d entries, known since the start: %v", table.Count(), table.KnowsSince(start))
		}
	})
}

// A departure is missed in the history, or one is read into it.
func TestHistory(t *testing.T) {
	cases := []struct {
		name    string
		changes []Change
		// left and joined name processes, with "?" for one that is not identified.
		left, joined []string
	}{
		{"joined and left", []Change{{"a", listing("a", "v1", 1, 1), true}, {"a", nil, false}}, []string{"a/1"}, []string{"a/1"}},
		{"reported that it leaves", []Change{{"a", listing("a", "v1", 1, 9), false}, {"a", nil, false}}, []string{"a/1"}, nil},
		{"changed only", []Change{{"a", listing("a", "v1", 1, 9), false}, {"a", listing("a", "v1", 1, 12), false}}, nil, nil},
		{"removed only", []Change{{"a", nil, false}}, []string{"a?"}, nil},
		{"started again", []Change{{"a", listing("a", "v1", 1, 9), false}, {"a", listing("a", "v2", 2, 1), false}}, []string{"a/1"}, []string{"a/2"}},
		{"started again, before unknown", []Change{{"a", listing("a", "v2", 2, 1), false}}, []string{"a?"}, []string{"a/2"}},
		{"left and joined again", []Change{{"a", nil, false}, {"a", listing("a", "v2", 2, 1), true}}, []string{"a?"}, []string{"a/2"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := ReadHistory(c.changes)
			var left, joined []string
			for _, d := range h.Departures {
				text := fmt.Sprintf("%s/%d", d.Endpoint, d.StartedUnixMillis)
				if d.Unidentified {
					text = string(d.Endpoint) + "?"
				}
				left = append(left, text)
			}
			for _, p := range h.Joined {
				joined = append(joined, fmt.Sprintf("%s/%d", p.Endpoint, p.StartedUnixMillis))
			}
			if !slices.Equal(left, c.left) || !slices.Equal(joined, c.joined) {
				t.Fatalf("left %v, joined %v, want %v and %v", left, joined, c.left, c.joined)
			}
		})
	}
}

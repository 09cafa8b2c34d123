package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var start = time.Unix(1_700_000_000, 0)

func member(n int, centre ident.DataCentre, capacity float64) Member {
	name := ident.Instance(fmt.Sprintf("member-%02d", n))
	return Member{Name: name, Address: string(name) + ":1", DataCentre: centre, Incarnation: 1, Capacity: capacity}
}

// newTestTable returns the table of member 0 in a fleet of the given size whose
// other members all sent a ping at start. Members 1 to 6, two in each data centre,
// have four times the capacity of the rest.
func newTestTable(count int) *Table {
	t := NewTable(Config{Self: member(0, "east", 1), Seeds: []string{"seed:1"}})
	for n := 1; n < count; n++ {
		centre := []ident.DataCentre{"east", "west", "north"}[n%3]
		capacity := 1.0
		if n <= 6 {
			capacity = 4
		}
		t.RecordPing(start, member(n, centre, capacity), false)
	}
	return t
}

func wantAlive(t *testing.T, table *Table, after time.Duration, name ident.Instance, want bool) {
	t.Helper()
	if got := table.Alive(start.Add(after), name); got != want {
		t.Fatalf("%s after %v: alive is %v, want %v", name, after, got, want)
	}
}

func TestCore(t *testing.T) {
	t.Run("a small fleet consists of core members", func(t *testing.T) {
		if got := len(newTestTable(fullMeshMembers).Core(start)); got != fullMeshMembers {
			t.Fatalf("%d core members, want %d", got, fullMeshMembers)
		}
	})
	t.Run("a large fleet's core has the strong ones", func(t *testing.T) {
		table := newTestTable(40)
		for _, name := range table.Core(start) {
			if table.member(name).Capacity < 4 {
				t.Fatalf("%s has low capacity and is in the core", name)
			}
		}
	})
	t.Run("each data centre has a core member", func(t *testing.T) {
		table := newTestTable(40)
		table.RecordPing(start, member(50, "south", 1), false)
		if !slices.Contains(table.Core(start), "member-50") {
			t.Fatalf("core %v does not contain member-50", table.Core(start))
		}
	})
	t.Run("all tables with the same view agree", func(t *testing.T) {
		one, two := newTestTable(40), NewTable(Config{Self: member(7, "west", 1)})
		for n := range 40 {
			if n != 7 {
				two.RecordPing(start, one.member(member(n, "", 0).Name), false)
			}
		}
		if !slices.Equal(one.Core(start), two.Core(start)) {
			t.Fatalf("cores differ: %v and %v", one.Core(start), two.Core(start))
		}
	})
	t.Run("a member that leaves is none", func(t *testing.T) {
		table := newTestTable(40)
		first := table.Core(start)[0]
		m := table.member(first)
		table.RecordPing(start, m, true)
		if table.InCore(start, first) {
			t.Fatalf("%s is leaving and is in the core", first)
		}
	})
}

func TestLiveness(t *testing.T) {
	t.Run("silence", func(t *testing.T) {
		table := newTestTable(6)
		wantAlive(t, table, maxMissedPings*BasePingPeriod, "member-03", true)
		wantAlive(t, table, maxMissedPings*BasePingPeriod+time.Millisecond, "member-03", false)
	})
	t.Run("the word of others counts with its age", func(t *testing.T) {
		table := newTestTable(6)
		at := start.Add(2 * time.Second)
		table.MergeGossip(at, []GossipEntry{{Member: member(3, "east", 1), Age: 500 * time.Millisecond}})
		wantAlive(t, table, 2*time.Second, "member-03", true)
		wantAlive(t, table, 2400*time.Millisecond, "member-03", false)
	})
	t.Run("a failure goes before the word of others", func(t *testing.T) {
		table := newTestTable(6)
		table.MarkUnreachable(start, "member-03")
		table.MergeGossip(start.Add(time.Second), []GossipEntry{{Member: member(3, "east", 1)}})
		wantAlive(t, table, time.Second, "member-03", false)
		table.RecordPing(start.Add(time.Second), member(3, "east", 1), false)
		wantAlive(t, table, time.Second, "member-03", true)
	})
	t.Run("older news do not replace newer ones", func(t *testing.T) {
		table := newTestTable(6)
		old := member(3, "east", 1)
		old.Incarnation = 9
		table.MergeGossip(start, []GossipEntry{{Member: old, Age: time.Second}})
		if got := table.Incarnation("member-03"); got != 1 {
			t.Fatalf("incarnation %d, want 1", got)
		}
	})
	t.Run("nobody is kept that is not spoken of", func(t *testing.T) {
		table := newTestTable(6)
		table.PingTargets(start.Add(forgetAfter + time.Second))
		if table.KnownCount() != 1 {
			t.Fatalf("%d members are known, want only the own instance", table.KnownCount())
		}
	})
}

func TestPingTargets(t *testing.T) {
	t.Run("members that were just heard need no ping", func(t *testing.T) {
		table := newTestTable(6)
		if targets := table.PingTargets(start.Add(100 * time.Millisecond)); len(targets) != 1 || targets[0].Address != "seed:1" {
			t.Fatalf("targets %v, want only the seed", targets)
		}
	})
	t.Run("outside the core, the core and two others are pinged", func(t *testing.T) {
		table := newTestTable(40)
		targets := table.PingTargets(start.Add(300 * time.Millisecond))
		if want := len(table.Core(start)) + nonCoreTargets + 1; len(targets) != want {
			t.Fatalf("%d targets, want %d", len(targets), want)
		}
	})
}

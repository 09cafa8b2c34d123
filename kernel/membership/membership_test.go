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

// newTestTable knows so many members, heard at the start: the first ones of each
// data centre are strong.
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
		t.Fatalf("%s is alive after %v: %v, want %v", name, after, got, want)
	}
}

func TestCore(t *testing.T) {
	t.Run("a small fleet consists of core members", func(t *testing.T) {
		if got := len(newTestTable(meshMembers).Core(start)); got != meshMembers {
			t.Fatalf("%d core members, want %d", got, meshMembers)
		}
	})
	t.Run("a large fleet's core has the strong ones", func(t *testing.T) {
		table := newTestTable(40)
		for _, name := range table.Core(start) {
			if table.member(name).Capacity < 4 {
				t.Fatalf("%s is in the core", name)
			}
		}
	})
	t.Run("each data centre has a core member", func(t *testing.T) {
		table := newTestTable(40)
		table.RecordPing(start, member(50, "south", 1), false)
		if !slices.Contains(table.Core(start), "member-50") {
			t.Fatalf("core %v", table.Core(start))
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
			t.Fatalf("%v and %v", one.Core(start), two.Core(start))
		}
	})
	t.Run("a member that leaves is none", func(t *testing.T) {
		table := newTestTable(40)
		first := table.Core(start)[0]
		m := table.member(first)
		table.RecordPing(start, m, true)
		if table.InCore(start, first) {
			t.Fatalf("%s is in the core", first)
		}
	})
}

func TestSignsOfLife(t *testing.T) {
	t.Run("silence", func(t *testing.T) {
		table := newTestTable(6)
		wantAlive(t, table, alivePings*BasePingPeriod, "member-03", true)
		wantAlive(t, table, alivePings*BasePingPeriod+time.Millisecond, "member-03", false)
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
			t.Fatalf("incarnation %d", got)
		}
	})
	t.Run("nobody is kept that is not spoken of", func(t *testing.T) {
		table := newTestTable(6)
		table.PingTargets(start.Add(keepSilent + time.Second))
		if table.KnownCount() != 1 {
			t.Fatalf("%d are known", table.KnownCount())
		}
	})
}

func TestTargets(t *testing.T) {
	t.Run("members that were just heard need no ping", func(t *testing.T) {
		table := newTestTable(6)
		if targets := table.PingTargets(start.Add(100 * time.Millisecond)); len(targets) != 1 || targets[0].Address != "seed:1" {
			t.Fatalf("%v", targets)
		}
	})
	t.Run("outside the core, the core and two others are pinged", func(t *testing.T) {
		table := newTestTable(40)
		targets := table.PingTargets(start.Add(300 * time.Millisecond))
		if want := len(table.Core(start)) + othersInTurn + 1; len(targets) != want {
			t.Fatalf("%d targets, want %d", len(targets), want)
		}
	})
}

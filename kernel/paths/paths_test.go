package paths

import (
	"slices"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var start = time.Unix(1_700_000_000, 0)

func wantChange(t *testing.T, table *Table, at time.Time, e ident.Endpoint, r Result, want Change) []ident.Endpoint {
	t.Helper()
	_, change, ended := table.Record(at, e, r)
	if change != want {
		t.Fatalf("%s %v: got change %v, want %v", e, r, change, want)
	}
	return ended
}

// Endpoints that have crashed are taken for a lost path, or the other way round.
func TestCrashAndLostPathAreToldApart(t *testing.T) {
	t.Run("one refuses, another accepts", func(t *testing.T) {
		table := NewTable()
		table.Begin(start, "s", []ident.Endpoint{"a", "b", "c"}, true)
		wantChange(t, table, start, "a", Refused, None)
		if ended := wantChange(t, table, start, "b", Accepted, Sound); !slices.Equal(ended, []ident.Endpoint{"a"}) {
			t.Fatalf("ended: %v, want a", ended)
		}
		if ended := wantChange(t, table, start, "c", Refused, None); !slices.Equal(ended, []ident.Endpoint{"c"}) {
			t.Fatalf("ended: %v, want c", ended)
		}
		if table.Lost("s") || table.Checking("s") {
			t.Fatal("the path counts as lost or being checked")
		}
	})
	t.Run("all refuse or are silent", func(t *testing.T) {
		table := NewTable()
		table.Begin(start, "s", []ident.Endpoint{"a", "b"}, true)
		table.Begin(start, "s", []ident.Endpoint{"c", "b"}, true)
		wantChange(t, table, start, "a", Refused, None)
		wantChange(t, table, start, "b", Silent, None)
		if !table.Checking("s") {
			t.Fatal("the check is over before all results are there")
		}
		if ended := wantChange(t, table, start, "c", Refused, Unsure); len(ended) > 0 || !table.Checking("s") {
			t.Fatalf("%v count as ended, or the check is over", ended)
		}
		if ask, lost := table.Widen(start, "s", []ident.Endpoint{"a", "d"}); !slices.Equal(ask, []ident.Endpoint{"d"}) || lost {
			t.Fatalf("asked %v, lost %v; want d", ask, lost)
		}
		wantChange(t, table, start, "d", Silent, Lost)
		if !table.Lost("s") || table.Lost("other") || len(table.Begin(start, "s", []ident.Endpoint{"a"}, true)) > 0 {
			t.Fatal("the path is not lost, another one is, or it is checked")
		}
	})
	t.Run("all of the first ones have crashed", func(t *testing.T) {
		table := NewTable()
		table.Begin(start, "s", []ident.Endpoint{"a", "b"}, true)
		wantChange(t, table, start, "a", Refused, None)
		wantChange(t, table, start, "b", Refused, Unsure)
		table.Widen(start, "s", []ident.Endpoint{"c"})
		if ended := wantChange(t, table, start, "c", Accepted, Sound); len(ended) != 2 {
			t.Fatalf("ended: %v, want a and b", ended)
		}
	})
	t.Run("results that nobody asked for", func(t *testing.T) {
		table := NewTable()
		wantChange(t, table, start, "a", Refused, None)
		table.Begin(start, "s", []ident.Endpoint{"a", "b"}, true)
		wantChange(t, table, start, "a", Silent, None)
		wantChange(t, table, start, "a", Silent, None)
		wantChange(t, table, start, "b", Accepted, Sound)
	})
}

// A path that comes and goes is used after each first connection.
func TestFlappingPath(t *testing.T) {
	table := NewTable()
	at := start
	lose := func() {
		table.Begin(start, "s", []ident.Endpoint{"a"}, true)
		wantChange(t, table, at, "a", Silent, Unsure)
		if _, lost := table.Widen(at, "s", nil); !lost {
			t.Fatal("the path is not lost")
		}
	}
	restore := func(connections int) {
		t.Helper()
		for n := range connections {
			want := None
			if n == connections-1 {
				want = Restored
			}
			if !table.Probe("s", "a") {
				t.Fatal("the path may not be probed")
			}
			wantChange(t, table, at, "a", Accepted, want)
		}
	}
	for _, connections := range []int{1, 2, 4, 8, 8} {
		lose()
		restore(connections)
		at = at.Add(time.Second)
	}
	at = at.Add(2 * flapWindow)
	lose()
	table.Probe("s", "a")
	if table.Probe("s", "a") {
		t.Fatal("probed again before the result is there")
	}
	wantChange(t, table, at, "a", Silent, None)
	restore(1)
}

// A check whose results do not come lasts for good, and requests wait for it.
func TestCheckWithoutResultsEnds(t *testing.T) {
	table := NewTable()
	table.Begin(start, "s", []ident.Endpoint{"a", "b"}, true)
	wantChange(t, table, start, "a", Refused, None)
	if expired := table.Expire(start.Add(maxCheckTime)); len(expired) > 0 {
		t.Fatalf("%v expired too early", expired)
	}
	if expired := table.Expire(start.Add(maxCheckTime + 1)); !slices.Equal(expired, []ident.Service{"s"}) || table.Checking("s") {
		t.Fatalf("expired: %v, want s", expired)
	}
	if ask := table.Begin(start, "s", []ident.Endpoint{"b"}, true); len(ask) != 1 {
		t.Fatal("an endpoint whose result did not come is not asked again")
	}
}

// An endpoint is asked in two checks at a time, and one of them never gets its result.
func TestEndpointIsAskedOnceAtATime(t *testing.T) {
	table := NewTable()
	table.Begin(start, "s", []ident.Endpoint{"a"}, true)
	if ask := table.Begin(start, "other", []ident.Endpoint{"a"}, true); len(ask) > 0 || table.Checking("other") {
		t.Fatalf("asked %v while the result is due", ask)
	}
	wantChange(t, table, start, "a", Accepted, Sound)
}

// Endpoints in trouble get more connections for each failure, or a crash is not looked at
// because the path was there lately.
func TestChecksAreRare(t *testing.T) {
	table := NewTable()
	table.Begin(start, "s", []ident.Endpoint{"a", "b"}, false)
	wantChange(t, table, start, "a", Accepted, Sound)
	wantChange(t, table, start, "b", Accepted, None)
	soon, later := start.Add(soundTime-1), start.Add(soundTime)
	if ask := table.Begin(soon, "s", []ident.Endpoint{"a", "b"}, false); len(ask) > 0 {
		t.Fatalf("asked %v though the path was there", ask)
	}
	if ask := table.Begin(soon, "s", []ident.Endpoint{"a"}, true); len(ask) != 1 {
		t.Fatal("an endpoint that may have crashed is not asked")
	}
	wantChange(t, table, soon, "a", Accepted, Sound)
	if ask := table.Begin(later.Add(soundTime), "s", []ident.Endpoint{"a", "b"}, false); len(ask) != 2 {
		t.Fatalf("asked %v, want both", ask)
	}
}

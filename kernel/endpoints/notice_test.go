package endpoints

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var testStart = time.Unix(1_700_000_000, 0)

func newListedDirectory(listings ...Listing) *Directory {
	d := NewDirectory()
	for _, l := range listings {
		d.Upsert(l)
	}
	return d
}

func wantCandidates(t *testing.T, d *Directory, now time.Time, want ...ident.Endpoint) {
	t.Helper()
	var names []ident.Endpoint
	for _, e := range d.Candidates(now, "s", nil) {
		names = append(names, e.Name)
	}
	if fmt.Sprint(names) != fmt.Sprint(want) {
		t.Fatalf("candidates are %v, want %v", names, want)
	}
}

// What a process has said is forgotten with its listing, or held against another process.
func TestLeavingIsOfAProcess(t *testing.T) {
	one := Listing{Name: "one", Service: "s", Address: "a:1", StartedUnixMillis: 1}
	two := Listing{Name: "two", Service: "s", Address: "b:1", StartedUnixMillis: 1}
	next := one
	next.StartedUnixMillis = 2
	t.Run("listed again", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		wantCandidates(t, d, testStart, "two")
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
		d.Remove(testStart, "one", 0)
		d.ExpireStatements(testStart.Add(time.Minute))
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("at another address", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		moved := one
		moved.Address = "c:1"
		d.Upsert(moved)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("another process", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.Upsert(next)
		wantCandidates(t, d, testStart, "one", "two")
		if d.RecordLeaving(testStart, one.Process()) {
			t.Fatal("what the earlier process said is news again")
		}
		wantCandidates(t, d, testStart, "one", "two")
	})
	t.Run("told before it is listed", func(t *testing.T) {
		d := newListedDirectory(two)
		d.RecordLeaving(testStart, one.Process())
		d.Upsert(one)
		wantCandidates(t, d, testStart, "two")
	})
	t.Run("forgotten long after it was listed", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.ExpireStatements(testStart.Add(time.Hour))
		wantCandidates(t, d, testStart, "two")
		d.Remove(testStart, "one", 0)
		d.ExpireStatements(testStart.Add(time.Hour + 2*noticeRetention))
		if len(d.statements) > 0 {
			t.Fatal("what an endpoint said is kept for good")
		}
	})
	t.Run("removed during an outage of the platform", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordLeaving(testStart, one.Process())
		d.Remove(testStart, "one", time.Second)
		if d.Lookup("one") != nil {
			t.Fatal("an endpoint that has said that it leaves is kept")
		}
	})
}

// A ping names more endpoints than it may, or not those that are news.
func TestSaidToLeave(t *testing.T) {
	d := NewDirectory()
	for n := range 5 {
		l := Listing{Name: ident.Endpoint(fmt.Sprint("e", n)), Service: "s", Address: fmt.Sprint("a:", n)}
		d.Upsert(l)
		d.RecordLeaving(testStart.Add(time.Duration(n)*time.Second), l.Process())
	}
	if got := d.SaidToLeave(2); len(got) != 2 || got[0].Endpoint != "e4" || got[1].Endpoint != "e3" {
		t.Fatalf("got %v, want e4 and e3", got)
	}
	d.Upsert(Listing{Name: "e4", Service: "s", Address: "a:4", Leaving: true})
	if got := d.SaidToLeave(9); len(got) != 4 {
		t.Fatalf("got %v, want those whose listing does not tell it", got)
	}
}

// A rest ends too early because of a second answer, or is prolonged without end by reports
// that go round.
func TestRest(t *testing.T) {
	one := Listing{Name: "one", Service: "s", Address: "a:1", StartedUnixMillis: 1}
	two := Listing{Name: "two", Service: "s", Address: "b:1"}
	after := func(d time.Duration) time.Time { return testStart.Add(d) }
	t.Run("a second, shorter one", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordRest(testStart, one.Process(), 4*time.Second)
		if d.RecordRest(after(time.Second), one.Process(), time.Second) {
			t.Fatal("a shorter rest is news")
		}
		wantCandidates(t, d, after(3999*time.Millisecond), "two")
		wantCandidates(t, d, after(4*time.Second), "one", "two")
	})
	t.Run("a huge one", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordRest(testStart, one.Process(), 1<<63-1)
		wantCandidates(t, d, after(maxRest-time.Second), "two")
		wantCandidates(t, d, after(maxRest), "one", "two")
	})
	t.Run("another process", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordRest(testStart, one.Process(), 4*time.Second)
		next := one
		next.StartedUnixMillis = 2
		d.Upsert(next)
		wantCandidates(t, d, testStart, "one", "two")
	})
	t.Run("a sound response in between", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.RecordRest(testStart, one.Process(), 4*time.Second)
		d.Lookup("one").RecordResponse(after(time.Second), false, time.Millisecond, Load{})
		wantCandidates(t, d, after(2*time.Second), "two")
	})
	t.Run("of another instance", func(t *testing.T) {
		d := newListedDirectory(one, two)
		d.MergeRest(testStart, "one", RestReport{StartedUnixMillis: 1, Left: 2 * time.Second}, time.Second)
		wantCandidates(t, d, after(2900*time.Millisecond), "two")
		wantCandidates(t, d, after(3*time.Second), "one", "two")
		d.RecordRest(testStart, two.Process(), time.Second)
		wantCandidates(t, d, testStart, "one")
	})
	t.Run("reports that go round", func(t *testing.T) {
		const transit = 400 * time.Millisecond
		ring := []*Directory{newListedDirectory(one, two), newListedDirectory(one, two), newListedDirectory(one, two)}
		ring[0].RecordRest(testStart, one.Process(), 2*time.Second)
		for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
			for n, d := range ring {
				for name, r := range d.RestReports(after(at), 9) {
					ring[(n+1)%len(ring)].MergeRest(after(at+transit), name, r, 0)
				}
			}
		}
		for _, d := range ring {
			wantCandidates(t, d, after(2*time.Second+2*transit), "one", "two")
		}
	})
}

// A pool is taken for one that gets no calls while an endpoint would take them.
func TestPoolWithheldFor(t *testing.T) {
	one := Listing{Name: "one", Service: "s", DataCentre: "east", Address: "a:1"}
	two := Listing{Name: "two", Service: "s", DataCentre: "west", Address: "b:1"}
	want := func(t *testing.T, d *Directory, centre ident.DataCentre, wait time.Duration, ever, withheld bool) {
		t.Helper()
		if gotWait, gotEver, got := d.PoolWithheldFor(testStart, ident.Pool{Service: "s", DataCentre: centre}); gotWait != wait || gotEver != ever || got != withheld {
			t.Fatalf("%q: got %v, %v, %v; want %v, %v, %v", centre, gotWait, gotEver, got, wait, ever, withheld)
		}
	}
	d := newListedDirectory(one, two)
	want(t, d, "", 0, true, false)
	want(t, d, "north", 0, false, false)
	d.RecordRest(testStart, one.Process(), 3*time.Second)
	want(t, d, "", 0, true, false)
	want(t, d, "east", 3*time.Second, true, true)
	d.RecordRest(testStart, two.Process(), 2*time.Second)
	want(t, d, "", 2*time.Second, true, true)
	d.RecordLeaving(testStart, two.Process())
	want(t, d, "", 3*time.Second, true, true)
	want(t, d, "west", 0, false, true)
}

package replica

import "testing"

// A revision that is given out again after a restore must be higher than all before.
func TestRevisionsOfEras(t *testing.T) {
	revision := func(era Era, number int64) Revision {
		t.Helper()
		r, err := InEra(era, number)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if before, after := revision(1, 1<<40-1), revision(2, 0); after <= before {
		t.Errorf("revision %v is not above %v", after, before)
	}
	if r := revision(3, 17); r.Era() != 3 || r.Number() != 17 || r.String() != "3:17" {
		t.Errorf("got era %d, number %d and %q", r.Era(), r.Number(), r)
	}
	if r := revision(0, 17); r != 17 || r.String() != "17" {
		t.Errorf("got %d and %q, want 17", int64(r), r)
	}
	for _, c := range []struct {
		era    Era
		number int64
	}{{-1, 0}, {0, -1}, {0, 1 << 40}, {1 << 22, 0}} {
		if _, err := InEra(c.era, c.number); err == nil {
			t.Errorf("revision %d in era %d was accepted", c.number, c.era)
		}
	}
}

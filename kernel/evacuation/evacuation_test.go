package evacuation

import (
	"testing"
	"time"

	"anvilcross/kernel/ident"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// A removal that only a restore of the platform from a copy caused ends the evacuation before
// the operator has written its record again.
func TestUnconfirmedRemovalDoesNotEndAnEvacuationAtOnce(t *testing.T) {
	table := NewTable()
	if !table.Begin(start, "east") || table.Begin(start, "east") {
		t.Fatal("an evacuation must begin once")
	}
	if table.End(after(time.Second), "east", 7, time.Minute) || !table.InForce("east") {
		t.Fatal("an unconfirmed removal ended the evacuation")
	}
	if ended := table.Settle(after(time.Second + maxUnconfirmedTime - 1)); len(ended) != 0 {
		t.Fatalf("the evacuation of %v ended too early", ended)
	}
	if table.Confirm(after(time.Second), "east", 6) {
		t.Fatal("a late confirmation of an earlier removal ended the evacuation")
	}
	if table.Begin(after(2*time.Second), "east") {
		t.Fatal("the record that was written again began a second evacuation")
	}
	if ended := table.Settle(after(time.Hour)); len(ended) != 0 || !table.Since("east").Equal(start) {
		t.Fatalf("the removal of %v outlived the record that was written again", ended)
	}
}

// An unconfirmed removal that is not taken back keeps a data centre evacuated for ever, or
// waits for longer than its limit.
func TestUnconfirmedRemovalTakesEffect(t *testing.T) {
	table := NewTable()
	table.Begin(start, "east")
	table.Begin(start, "west")
	table.End(start, "east", 7, time.Minute)
	table.End(after(time.Second), "east", 7, time.Minute)
	table.End(start, "west", 8, time.Minute)
	if !table.Confirm(after(time.Second), "west", 8) || table.InForce("west") {
		t.Fatal("a confirmed removal did not end the evacuation")
	}
	table.Postpone(after(time.Second))
	if ended := table.Settle(after(maxUnconfirmedTime)); len(ended) != 0 {
		t.Fatalf("the evacuation of %v ended although the removal was postponed", ended)
	}
	if ended := table.Settle(after(time.Second + maxUnconfirmedTime)); len(ended) != 1 || table.InForce("east") {
		t.Fatalf("the evacuations of %v ended, want that of east", ended)
	}
	if table.End(start, "east", 9, 0) {
		t.Fatal("the removal of an evacuation that is not in force ended one")
	}
}

// All requests go to a data centre at once whose caches are cold after an evacuation.
func TestShareRisesAfterAnEvacuation(t *testing.T) {
	table := NewTable()
	if table.Share(start, "east") != 1 || len(table.Recovering(start)) != 0 {
		t.Fatal("a data centre that was never evacuated gets less than all")
	}
	table.Begin(start, "east")
	if table.Share(start, "east") != 0 {
		t.Fatal("an evacuated data centre gets a share")
	}
	table.End(start, "east", 7, 0)
	last := 0.0
	for d := time.Duration(0); d < recoveryTime; d += recoveryTime / 10 {
		share := table.Share(after(d), "east")
		if share <= last || share >= 1 || d == 0 && share != firstShare || len(table.Recovering(after(d))) != 1 {
			t.Fatalf("the share after %v is %v, after %v before", d, share, last)
		}
		last = share
	}
	if table.Share(after(recoveryTime), "east") != 1 || len(table.Recovering(after(recoveryTime))) != 0 {
		t.Fatal("the share does not reach 1")
	}
	table.Settle(after(recoveryTime))
	if len(table.endedAt) != 0 {
		t.Fatal("a data centre that has recovered is kept")
	}
}

// A request leaves the regions that its route and its workspace both allow, or one of two
// lists is taken for the only one.
func TestBoundIsTheIntersection(t *testing.T) {
	regions := Regions{"east": "eu", "west": "us", "north": "eu", "south": "asia"}
	for _, c := range []struct {
		route, workspace []ident.Region
		permitted        string
	}{
		{nil, nil, "east west north south nowhere"},
		{[]ident.Region{}, []ident.Region{}, "east west north south nowhere"},
		{[]ident.Region{"eu"}, nil, "east north"},
		{nil, []ident.Region{"us", "asia"}, "west south"},
		{[]ident.Region{"eu", "us"}, []ident.Region{"us", "asia"}, "west"},
		{[]ident.Region{"eu"}, []ident.Region{"us"}, ""},
		{[]ident.Region{""}, nil, ""},
	} {
		bound, got := NewBound(c.route, c.workspace), ""
		for _, dataCentre := range []ident.DataCentre{"east", "west", "north", "south", "nowhere"} {
			if bound.Permits(regions, dataCentre) {
				if got != "" {
					got += " "
				}
				got += string(dataCentre)
			}
		}
		if got != c.permitted || bound.Restricts() != (len(c.route)+len(c.workspace) > 0) {
			t.Errorf("%v and %v permit %q, want %q", c.route, c.workspace, got, c.permitted)
		}
	}
}

// The body of a request is forwarded to an instance outside its regions and the own region.
func TestForwardsStayInTheRegions(t *testing.T) {
	regions := Regions{"east": "eu", "west": "us", "north": "eu", "south": "asia"}
	bound := NewBound([]ident.Region{"us"})
	for to, want := range map[ident.DataCentre]bool{"east": true, "north": true, "west": true, "south": false, "nowhere": false} {
		if got := bound.PermitsForward(regions, "east", to); got != want {
			t.Errorf("from east to %s: %v, want %v", to, got, want)
		}
	}
	if !bound.PermitsForward(regions, "nowhere", "nowhere") || bound.PermitsForward(regions, "nowhere", "elsewhere") {
		t.Error("two data centres of unknown region count as one region")
	}
}

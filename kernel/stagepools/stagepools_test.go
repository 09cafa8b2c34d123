package stagepools

import (
	"fmt"
	"testing"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

var testTime = time.Unix(1_700_000_000, 0)

// Endpoints of an evacuated data centre keep its pools alive, or pools are divided with too few
// endpoints in each data centre.
func TestPoolsOfListedEndpoints(t *testing.T) {
	c := &published.Catalog{Services: map[ident.Service]*published.Service{
		"registry": {Name: "registry", BatchProfile: &published.BatchProfile{Slots: 1}},
		"models":   {Name: "models"},
	}}
	d := endpoints.NewDirectory()
	for n := range 18 {
		for s := range c.Services {
			name := fmt.Sprintf("%s-%d", s, n)
			d.Upsert(endpoints.Listing{Name: ident.Endpoint(name), Service: s, Address: name, DataCentre: []ident.DataCentre{"east", "west", "north"}[n%3]})
		}
	}
	check := func(divided bool, want string) {
		t.Helper()
		m := NewMap(c, d)
		if got := fmt.Sprint(m.List()); m.Divided != divided || got != want {
			t.Errorf("divided %v into %s, want %v into %s", m.Divided, got, divided, want)
		}
	}
	pools := func(centres ...ident.DataCentre) string {
		var all []ident.Pool
		for _, centre := range centres {
			all = append(all, ident.Pool{Service: "registry", DataCentre: centre})
		}
		return fmt.Sprint(all)
	}
	check(true, pools("east", "north", "west"))
	d.SetEvacuated(value.NewSet[ident.DataCentre]("west"))
	check(true, pools("east", "north"))
	d.SetEvacuated(value.NewSet[ident.DataCentre]("east", "north", "west"))
	check(false, pools(""))
	d.SetEvacuated(nil)
	for n := range 3 {
		d.Remove(testTime, ident.Endpoint(fmt.Sprintf("registry-%d", n)), 0)
	}
	check(false, pools(""))
	if m := NewMap(nil, d); m.Divided || len(m.List()) != 0 {
		t.Errorf("without a configuration there are the pools %v", m.List())
	}
}

// Package stagepools divides the endpoints of stage services into pools, each of which has one
// instance that sends calls.
package stagepools

import (
	"slices"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

// minPoolEndpoints is the average number of endpoints that a service must
// have in each data centre for the fleet to be divided into pools. Fewer fill
// their calls less evenly than those of all data centres together.
const minPoolEndpoints = 5.5

// Map holds the stage endpoints that are listed in data centres that are not evacuated, by
// service and data centre.
type Map struct {
	// Divided is set if each data centre's endpoints form a pool of their own.
	Divided bool
	Counts  map[ident.Service]map[ident.DataCentre]int
}

// NewMap counts the stage endpoints and divides them. The catalog may be nil.
func NewMap(c *published.Catalog, d *endpoints.Directory) *Map {
	p := &Map{Counts: map[ident.Service]map[ident.DataCentre]int{}}
	if c == nil {
		return p
	}
	fewest := 0.0
	for _, s := range value.SortedKeys(c.Services) {
		if c.BatchProfile(s) == nil {
			continue
		}
		counts := map[ident.DataCentre]int{}
		total := 0
		for _, e := range d.ByService(s) {
			if d.Evacuated(e) {
				continue
			}
			counts[e.DataCentre]++
			total++
		}
		average := float64(total) / float64(max(len(counts), 1))
		if len(p.Counts) == 0 || average < fewest {
			fewest = average
		}
		p.Counts[s] = counts
	}
	p.Divided = fewest >= minPoolEndpoints
	return p
}

// List returns all pools in a fixed order.
func (p *Map) List() []ident.Pool {
	var pools []ident.Pool
	for s, counts := range p.Counts {
		if !p.Divided {
			pools = append(pools, ident.Pool{Service: s})
			continue
		}
		for dataCentre := range counts {
			pools = append(pools, ident.Pool{Service: s, DataCentre: dataCentre})
		}
	}
	slices.SortFunc(pools, ident.Pool.Compare)
	return pools
}

package evacuation

import (
	"slices"

	"anvilcross/kernel/ident"
)

// Regions holds the region of each data centre. One that is missing is in no region.
type Regions map[ident.DataCentre]ident.Region

// Bound restricts the endpoints of a request to regions. The zero value imposes no
// restriction.
type Bound struct {
	restricted bool
	regions    []ident.Region
}

// NewBound returns the bound that several lists of regions impose together: a region must be
// in each of them. An empty list imposes no restriction.
func NewBound(lists ...[]ident.Region) Bound {
	b := Bound{}
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !b.restricted:
			b = Bound{restricted: true, regions: list}
		default:
			b.regions = slices.DeleteFunc(slices.Clone(b.regions), func(region ident.Region) bool { return !slices.Contains(list, region) })
		}
	}
	return b
}

// Restricts reports whether the bound imposes a restriction.
func (b Bound) Restricts() bool { return b.restricted }

// Regions returns the regions of a bound that restricts.
func (b Bound) Regions() []ident.Region { return b.regions }

// Permits reports whether a data centre is in one of the bound's regions.
func (b Bound) Permits(regions Regions, dataCentre ident.DataCentre) bool {
	region := regions[dataCentre]
	return !b.restricted || region != "" && slices.Contains(b.regions, region)
}

// PermitsForward reports whether an instance of one data centre may forward the body of a
// request to an instance of another: one in the bound's regions or in the own region.
func (b Bound) PermitsForward(regions Regions, from, to ident.DataCentre) bool {
	sameRegion := from == to || regions[to] != "" && regions[to] == regions[from]
	return sameRegion || b.Permits(regions, to)
}

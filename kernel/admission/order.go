package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
)

const (
	// lateWeight is the weight of a late request relative to one that can be on time.
	lateWeight = 0.15
	// shortDue is the share of the usual time to due below which a request counts as refused
	// before.
	shortDue = 0.85
	// overShareFactor is the use of capacity, relative to the mean of the workspaces, above
	// which a workspace's requests go behind others of the same urgency, whatever they cost.
	overShareFactor = 1.5
)

// candidate is a request in the order of start.
type candidate struct {
	*Request
	// urgency is the weight, reduced for a request that is late.
	urgency float64
	late    bool
	// short is set if the request was probably refused before.
	short bool
	// costStep is the cost on a logarithmic scale, cost that in seconds.
	costStep int
	cost     float64
	// turn is what the workspace will have had once this request has started, and overShare
	// is set if that is more than its share.
	turn      float64
	overShare bool
}

// order returns the requests in the order of start: by urgency, then those of workspaces that
// have not had more than their share, then by cost, in steps of a factor of two, then by what
// their workspaces have had lately.
func (c *Controller) order(now time.Time, q Queue, requests []*Request) []*candidate {
	candidates := make([]*candidate, 0, len(requests))
	for _, r := range requests {
		k := &candidate{Request: r, urgency: r.Weight, cost: c.costOf(now, q.Pool, r)}
		k.late = r.DueAt.Sub(r.ReceivedAt)+estimateTolerance < q.FullCallTime
		if k.late {
			k.urgency *= lateWeight
		}
		usual := c.classes[q.Pool][classOf(r)].timeToDue
		k.short = float64(r.DueAt.Sub(r.ReceivedAt)) < shortDue*float64(usual)
		if k.cost > 0 {
			k.costStep = int(math.Floor(math.Log2(k.cost)))
		}
		candidates = append(candidates, k)
	}
	slices.SortStableFunc(candidates, func(x, y *candidate) int {
		if n := compareKind(x, y); n != 0 {
			return n
		}
		if x.short != y.short {
			if x.short {
				return -1
			}
			return 1
		}
		return x.DueAt.Compare(y.DueAt)
	})
	type sharer struct {
		weight    float64
		workspace ident.Workspace
	}
	used := map[sharer]float64{}
	mean := map[float64]float64{}
	for _, k := range candidates {
		by := sharer{weight: k.Weight, workspace: k.Workspace}
		if _, known := mean[k.Weight]; !known {
			mean[k.Weight] = c.sharesOf(k.Weight).mean(now)
		}
		u, known := used[by]
		if !known {
			u = c.sharesOf(k.Weight).usedBy(now, k.Workspace)
		}
		used[by] = u + k.cost
		k.turn = u + k.cost
		if k.short {
			k.turn = u
		}
		k.overShare = u > overShareFactor*mean[k.Weight]
	}
	slices.SortStableFunc(candidates, func(x, y *candidate) int {
		if n := cmp.Compare(y.urgency, x.urgency); n != 0 {
			return n
		}
		if x.overShare != y.overShare {
			if y.overShare {
				return -1
			}
			return 1
		}
		if n := cmp.Compare(x.costStep, y.costStep); n != 0 {
			return n
		}
		return cmp.Compare(x.turn, y.turn)
	})
	return candidates
}

func compareKind(x, y *candidate) int {
	if n := cmp.Compare(y.urgency, x.urgency); n != 0 {
		return n
	}
	return cmp.Compare(x.costStep, y.costStep)
}

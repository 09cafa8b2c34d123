// Package idleshare divides the connections that an endpoint accepts from all instances among them.
// Nothing is exchanged: every instance decides by the published limit, the number of instances
// that it knows to be alive, and hashes on which all agree.
package idleshare

import "anvilcross/kernel/ident"

const (
	// scarceShare is the share of an endpoint's connections above which one idle connection of
	// each instance would leave too few for those that open one.
	scarceShare = 0.8
	// keptShare is the share that idle connections may take where connections are scarce.
	keptShare = 0.5
	// hashParts is the resolution of the hashes.
	hashParts = 1 << 20
)

// Keeps reports whether an instance keeps its connection to an endpoint between requests.
// maxConnections is the number that the endpoint accepts from all instances, zero if it is not
// published, and alive that of the instances.
func Keeps(self ident.Instance, endpoint ident.Endpoint, alive, maxConnections int) bool {
	if maxConnections <= 0 || float64(alive) <= scarceShare*float64(maxConnections) {
		return true
	}
	share := keptShare * float64(maxConnections) / float64(alive)
	return float64(ident.HashPair(string(self), string(endpoint))%hashParts) < share*hashParts
}

package gateway

import (
	"slices"

	"anvilcross/kernel/idleshare"
	"anvilcross/kernel/value"
)

// TransientAddresses returns the addresses of endpoints to which this instance does not keep idle
// connections, since the endpoint does not accept one from each instance. Stage endpoints are
// called by few.
func (g *Gateway) TransientAddresses() value.Set[string] {
	addresses := value.NewSet[string]()
	alive := g.AliveCount()
	for _, s := range value.SortedKeys(g.serviceNames()) {
		service := g.catalog.Services[s]
		if service.BatchProfile != nil {
			continue
		}
		for _, e := range g.directory.ByService(s) {
			if !idleshare.Keeps(g.config.Self.Name, e.Name, alive, service.MaxConnections) {
				addresses.Add(e.Address)
			}
		}
	}
	return addresses
}

// UnlistedAddresses returns those of some addresses at which neither an endpoint is known nor an
// instance is a member.
func (g *Gateway) UnlistedAddresses(addresses []string) []string {
	members := value.NewSet[string]()
	for _, m := range g.members.AllAddresses() {
		members.Add(m.Address)
	}
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return g.directory.ByAddress(a) != nil || members.Has(a) })
}

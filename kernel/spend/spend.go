// Package spend defines the resource costs of calls, stages and requests. Costs
// are recorded where they arise and added up.
package spend

// Cost is the consumption of one call, stage or request.
type Cost struct {
	// EndpointMillis is the processing time of endpoints, in milliseconds.
	EndpointMillis float64 `json:"endpointMillis"`
	// PromptTokens counts prompt tokens that an engine processed, without the
	// cached ones.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens counts prompt tokens that were served from a prefix cache.
	CachedTokens int `json:"cachedTokens"`
	// GeneratedTokens counts tokens that an engine generated.
	GeneratedTokens int `json:"generatedTokens"`
	// CrossDataCentreBytes counts bytes sent to or received from endpoints in
	// another data centre.
	CrossDataCentreBytes int `json:"crossBytes"`
	// WastedMillis is endpoint time whose result was not used.
	WastedMillis float64 `json:"wastedMillis"`
}

// Add adds another cost to c.
func (c *Cost) Add(other Cost) {
	c.EndpointMillis += other.EndpointMillis
	c.PromptTokens += other.PromptTokens
	c.CachedTokens += other.CachedTokens
	c.GeneratedTokens += other.GeneratedTokens
	c.CrossDataCentreBytes += other.CrossDataCentreBytes
	c.WastedMillis += other.WastedMillis
}

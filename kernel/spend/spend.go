// Package spend accounts what a stage costs, at the place where it is spent.
package spend

// Cost is the consumption of one call, stage or request.
type Cost struct {
	// EndpointMillis is the time that endpoints worked, in milliseconds.
	EndpointMillis float64 `json:"endpointMillis"`
	// PromptTokens counts tokens that an engine had to process.
	PromptTokens int `json:"promptTokens"`
	// CachedTokens counts prompt tokens that a prefix cache served.
	CachedTokens int `json:"cachedTokens"`
	// GeneratedTokens counts tokens that an engine produced.
	GeneratedTokens int `json:"generatedTokens"`
	// CrossDataCentreBytes counts bytes sent to or from another data centre.
	CrossDataCentreBytes int `json:"crossBytes"`
	// WastedMillis is endpoint time whose result was not used.
	WastedMillis float64 `json:"wastedMillis"`
}

// Add accumulates another cost.
func (c *Cost) Add(other Cost) {
	c.EndpointMillis += other.EndpointMillis
	c.PromptTokens += other.PromptTokens
	c.CachedTokens += other.CachedTokens
	c.GeneratedTokens += other.GeneratedTokens
	c.CrossDataCentreBytes += other.CrossDataCentreBytes
	c.WastedMillis += other.WastedMillis
}

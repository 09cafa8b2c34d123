package published

import (
	"slices"
	"strings"
	"testing"
	"time"

	"anvilcross/kernel/evacuation"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/retrybudget"
)

// soundCatalog returns a configuration without findings.
func soundCatalog() *Catalog {
	profile := func() *BatchProfile {
		return &BatchProfile{Slots: 1, MaxPiecesPerCall: 8, CallOverhead: 240 * time.Millisecond, TimePerPiece: 26 * time.Millisecond, ResultCapacityBytes: 9_600_000}
	}
	return &Catalog{
		Version: 3,
		Limits:  Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Routes: []Route{
			{Name: "order", Host: "h", Prefix: "/order/", Kind: Unsafe, Targets: []Target{{"orders", 1}}, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, MaxAttempts: 1},
			{Name: "verse", Host: "h", Prefix: "/verse/", Kind: Stream, CarriesPrompts: true, Resumable: true, Targets: []Target{{"models", 1}}, Timeout: 15 * time.Second, LatencyObjective: 2 * time.Second, GapObjective: 300 * time.Millisecond, MaxAttempts: 2,
				Stages: []Stage{{Service: "registry", ResultBytes: 8_000}, {Service: "planning", DependsOn: []int{0}, ResultBytes: 60_000}}},
		},
		Services: map[ident.Service]*Service{
			"orders": {Name: "orders"}, "models": {Name: "models"},
			"registry": {Name: "registry", BatchProfile: profile()}, "planning": {Name: "planning", BatchProfile: profile()},
		},
		Workspaces: []Workspace{{Name: "parish", Keys: []string{"key"}}},
	}
}

func testInstance() *Instance {
	return &Instance{Retry: retrybudget.Limits{Ratio: 0.2, Slack: 10, Window: time.Second}, MemoryBytes: 144 << 20, Regions: evacuation.Regions{"east": "eu"}}
}

// A sound configuration is reported, so that operators ignore the check.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	for _, instance := range []*Instance{nil, testInstance()} {
		c := soundCatalog()
		c.BuildIndex()
		if findings := c.Check(instance); len(findings) != 0 {
			t.Errorf("found %v", findings)
		}
	}
}

// A mistake is sent to the instances without a word.
func TestMistakesAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Catalog)
		want   string
	}{
		"shadowed route":      {func(c *Catalog) { c.Routes[1].Prefix = "/order/" }, "route verse: prefix"},
		"same name":           {func(c *Catalog) { c.Routes[1].Name = "order" }, "route order: an earlier route"},
		"unknown service":     {func(c *Catalog) { c.Routes[0].Targets[0].Service = "gone" }, "route order: service = gone"},
		"unused service":      {func(c *Catalog) { c.Services["more"] = &Service{Name: "more"} }, "service more"},
		"weight":              {func(c *Catalog) { c.Routes[0].Targets = append(c.Routes[0].Targets, Target{"models", 0}) }, "weight of service models = 0"},
		"weights":             {func(c *Catalog) { c.Routes[0].Targets[0].Weight = -1 }, "route order: weights"},
		"no timeout":          {func(c *Catalog) { c.Routes[0].Timeout = 0 }, "route order: timeout"},
		"objective":           {func(c *Catalog) { c.Routes[0].LatencyObjective = 2 * time.Second }, "route order: latency objective = 2s"},
		"patience":            {func(c *Catalog) { c.Routes[1].Timeout = 5 * time.Second }, "route verse: timeout = 5s"},
		"gap":                 {func(c *Catalog) { c.Routes[0].GapObjective = time.Second }, "route order: gap objective"},
		"resumable":           {func(c *Catalog) { c.Routes[0].Resumable = true }, "route order: resumable"},
		"attempts":            {func(c *Catalog) { c.Routes[1].MaxAttempts = 9 }, "route verse: attempts = 9"},
		"attempts of unsafe":  {func(c *Catalog) { c.Routes[0].MaxAttempts = 2 }, "route order: attempts = 2"},
		"no attempts":         {func(c *Catalog) { c.Routes[0].MaxAttempts = 0 }, "route order: attempts = 0"},
		"stage without use":   {func(c *Catalog) { c.Routes[1].CarriesPrompts = false }, "route verse: stage 1"},
		"stage not in pieces": {func(c *Catalog) { c.Services["planning"].BatchProfile = nil }, "route verse: stage 1 = planning"},
		"stage times":         {func(c *Catalog) { c.Services["planning"].BatchProfile.CallOverhead = 9 * time.Second }, "that the calls of the stages take"},
		"result":              {func(c *Catalog) { c.Routes[1].Stages[1].ResultBytes = 10_000_000 }, "service planning: memory for results"},
		"no slots":            {func(c *Catalog) { c.Services["planning"].BatchProfile.Slots = 0 }, "service planning: pieces"},
		"key held twice":      {func(c *Catalog) { c.Workspaces = append(c.Workspaces, Workspace{Name: "w", Keys: []string{"key"}}) }, "workspace w: key 0: workspace parish holds the same key"},
		"no key":              {func(c *Catalog) { c.Workspaces[0].Keys = nil }, "workspace parish: keys"},
		"region":              {func(c *Catalog) { c.Routes[0].AllowedRegions = []ident.Region{"us"} }, "route order: regions = us"},
		"regions": {func(c *Catalog) {
			c.Routes[0].AllowedRegions, c.Workspaces[0].AllowedRegions = []ident.Region{"eu"}, []ident.Region{"us"}
		}, "workspace parish: regions"},
		"body":            {func(c *Catalog) { c.Limits.MaxBodyBytes = 64 << 20 }, "limits: body bytes"},
		"no header limit": {func(c *Catalog) { c.Limits.MaxHeaderBytes = 0 }, "limits: header bytes"},
		"no idle timeout": {func(c *Catalog) { c.Limits.IdleTimeout = 0 }, "limits: idle timeout"},
		"no routes":       {func(c *Catalog) { c.Routes = nil }, "routes: there is none"},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := soundCatalog()
			c.change(catalog)
			catalog.BuildIndex()
			findings := catalog.Check(testInstance())
			if !slices.ContainsFunc(findings, func(f Finding) bool { return strings.Contains(f.String(), c.want) && f.Severity == Warning }) {
				t.Errorf("found %v, want %q", findings, c.want)
			}
		})
	}
}

// A change that takes effect is not listed, or secrets are shown.
func TestChangesAreListed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Catalog)
		want   string
	}{
		"nothing":   {func(*Catalog) {}, ""},
		"version":   {func(c *Catalog) { c.Version = 9 }, ""},
		"timeout":   {func(c *Catalog) { c.Routes[0].Timeout = 2 * time.Second }, "route order: timeout changes from 1s to 2s"},
		"stages":    {func(c *Catalog) { c.Routes[1].Stages = nil }, "route verse: stages changes from"},
		"kind":      {func(c *Catalog) { c.Routes[0].Kind = Safe }, "route order: kind changes from unsafe to safe"},
		"regions":   {func(c *Catalog) { c.Routes[0].AllowedRegions = []ident.Region{"eu"} }, "route order: allowed regions changes from all to [eu]"},
		"order":     {func(c *Catalog) { c.Routes[1].Prefix = "/order/"; slices.Reverse(c.Routes) }, "route verse: takes the requests of h/order/ over from route order"},
		"pieces":    {func(c *Catalog) { c.Services["planning"].BatchProfile.Slots = 2 }, "service planning: pieces changes"},
		"workspace": {func(c *Catalog) { c.Workspaces = nil }, "workspace parish: is removed"},
		"priority":  {func(c *Catalog) { c.Workspaces[0].HasPriority = true }, "workspace parish: priority changes from of the route to 0"},
		"keys":      {func(c *Catalog) { c.Workspaces[0].Keys = []string{"key", "other"} }, "workspace parish: 1 keys are added and 0 removed"},
		"limits":    {func(c *Catalog) { c.Limits.MaxBodyBytes = 7 }, "limits: body bytes changes from 4194304 to 7"},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := soundCatalog(), soundCatalog()
			c.change(after)
			before.BuildIndex()
			after.BuildIndex()
			changes := Diff(before, after)
			if c.want == "" && len(changes) > 0 {
				t.Fatalf("changes are %v", changes)
			}
			if c.want != "" && !slices.ContainsFunc(changes, func(change Change) bool { return strings.HasPrefix(change.String(), c.want) }) {
				t.Errorf("changes are %v, want %q", changes, c.want)
			}
			for _, change := range changes {
				if strings.Contains(change.Effect, "other") {
					t.Errorf("%s shows a key", change)
				}
			}
		})
	}
}

// The time of parallel stages is added up, or that of a chain is not.
func TestMinStageTime(t *testing.T) {
	c := soundCatalog()
	r := &c.Routes[1]
	if got := c.MinStageTime(r); got != 532*time.Millisecond {
		t.Errorf("two stages in sequence take %v", got)
	}
	r.Stages[1].DependsOn = nil
	if got := c.MinStageTime(r); got != 266*time.Millisecond {
		t.Errorf("two parallel stages take %v", got)
	}
}

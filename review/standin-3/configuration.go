package main

// Names in the configurations of the cases.
const (
	host   = "pule25.example"
	tenant = "bozi300"
	key    = "9dnn2ctnfzs989anu6ws"
)

type stageSpec struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Length  int    `json:"length"`
}

type routeSpec struct {
	Name      string      `json:"name"`
	Host      string      `json:"host"`
	Prefix    string      `json:"prefix"`
	Kind      string      `json:"kind"`
	Timeout   int         `json:"timeout-ms"`
	Objective int         `json:"target-latency-ms"`
	Priority  int         `json:"priority"`
	Service   string      `json:"service"`
	Attempts  int         `json:"max-attempts"`
	Stages    []stageSpec `json:"stages,omitempty"`
	Public    bool        `json:"public"`
	Sticky    bool        `json:"sticky"`
	Resumable bool        `json:"resumable"`
	Gap       int         `json:"target-gap-ms,omitempty"`
}

type piecesSpec struct {
	Slots    int     `json:"slots"`
	Queue    int     `json:"queue"`
	Batch    int     `json:"batch"`
	Call     float64 `json:"call-ms"`
	Item     float64 `json:"item-ms"`
	Headroom float64 `json:"headroom-mb"`
	Handle   float64 `json:"handle-s"`
	Link     int     `json:"link-mbps"`
}

type engineSpec struct {
	Slots  int `json:"slots"`
	Memory int `json:"kv-capacity-tokens"`
	Stride int `json:"stride"`
}

type serviceSpec struct {
	Name        string      `json:"name"`
	Health      string      `json:"health-path"`
	Connections int         `json:"max-connections"`
	Engine      *engineSpec `json:"engine,omitempty"`
	Pieces      *piecesSpec `json:"pieces,omitempty"`
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []routeSpec, services []serviceSpec) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api-keys": []string{key}}},
	}
}

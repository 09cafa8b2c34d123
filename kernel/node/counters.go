package node

import (
	"anvilcross/kernel/burn"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/spend"
	"anvilcross/kernel/value"
)

// Counters are the running totals of a node.
type Counters struct {
	Submitted    int64 `json:"submitted"`
	Rejoined     int64 `json:"rejoined"`
	Adopted      int64 `json:"adopted"`
	Follows      int64 `json:"follows"`
	Claims       int64 `json:"claims"`
	Calls        int64 `json:"calls"`
	FailedCalls  int64 `json:"failedCalls"`
	Retries      int64 `json:"retries"`
	LateReplies  int64 `json:"lateReplies"`
	Tokens       int64 `json:"tokens"`
	PeerMessages int64 `json:"peerMessages"`
	Whole        int64 `json:"whole"`
	Late         int64 `json:"late"`
	NotRun       int64 `json:"notRun"`
	Lost         int64 `json:"lost"`
	Refused      int64 `json:"refused"`
}

func (c *Counters) count(o outcome.Outcome) {
	switch o {
	case outcome.Whole:
		c.Whole++
	case outcome.NotRun:
		c.NotRun++
	case outcome.Lost:
		c.Lost++
	case outcome.Refused:
		c.Refused++
	}
}

// countBurn counts a caller's request as good when it was answered whole
// within its deadline.
func (n *Node) countBurn(r *run) {
	if r.collecting || r.shared {
		return
	}
	good := r.answer.Outcome == outcome.Whole && !r.answer.Late
	n.burn.Record(n.now(), "pipeline/"+string(r.pipeline.Name), good)
	n.burn.Record(n.now(), "workspace/"+string(r.key.Workspace), good)
}

// countStageBurn counts a call of a stage.
func (n *Node) countStageBurn(r *run, good bool) {
	if r.stage < len(r.pipeline.Stages) {
		n.burn.Record(n.now(), "stage/"+string(r.pipeline.Name)+"/"+string(r.pipeline.Stages[r.stage].Name), good)
	}
}

// BurnReport returns the counts of good and bad events.
func (n *Node) BurnReport() burn.Report { return n.burn.Report(n.now()) }

// StageCost is the accumulated cost of one stage of a pipeline.
type StageCost struct {
	Pipeline ident.Pipeline `json:"pipeline"`
	Stage    ident.Stage    `json:"stage"`
	Finished int64          `json:"finished"`
	Attempts int64          `json:"attempts"`
	Millis   float64        `json:"millis"`
	Cost     spend.Cost     `json:"cost"`
}

// costTable sums the stage costs of this process. Pipelines and stages bound
// its size.
type costTable struct{ rows map[string]*StageCost }

func (t *costTable) add(p ident.Pipeline, s outcome.StageResult) {
	if t.rows == nil {
		t.rows = map[string]*StageCost{}
	}
	name := string(p) + "/" + string(s.Stage)
	row := t.rows[name]
	if row == nil {
		row = &StageCost{Pipeline: p, Stage: s.Stage}
		t.rows[name] = row
	}
	row.Finished++
	row.Attempts += int64(s.Attempts)
	row.Millis += s.Millis
	row.Cost.Add(s.Cost)
}

// Status is a node's account of itself.
type Status struct {
	Seat               ident.Instance              `json:"seat"`
	DataCentre         ident.DataCentre            `json:"dataCentre"`
	Ready              bool                        `json:"ready"`
	Reader             bool                        `json:"reader"`
	Revision           ident.ConfigurationRevision `json:"revision"`
	Epoch              ident.Epoch                 `json:"epoch"`
	UnfinishedRequests int                         `json:"unfinished"`
	RememberedRequests int                         `json:"remembered"`
	RememberedClaims   int                         `json:"claimsRemembered"`
	Counters           Counters                    `json:"counters"`
	Costs              []StageCost                 `json:"costs"`
}

// Status returns the node's account of itself.
func (n *Node) Status() Status {
	s := Status{
		Seat:               n.config.Seat,
		DataCentre:         n.config.DataCentre,
		Ready:              n.Ready(),
		Reader:             n.IsReader(),
		Revision:           n.Revision(),
		Epoch:              n.memory.Epoch(),
		UnfinishedRequests: n.UnfinishedRequests(),
		RememberedRequests: len(n.runs),
		RememberedClaims:   n.memory.Len(),
		Counters:           n.counters,
	}
	for _, name := range value.SortedKeys(n.recentCost.rows) {
		s.Costs = append(s.Costs, *n.recentCost.rows[name])
	}
	return s
}

package matrix

import (
	"flag"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
)

// slopes turns the measurements on; they are no checks of behaviour.
var slopes = flag.Bool("slopes", false, "measure how control work grows with the fleet")

// The letter's target.
const (
	targetDaemons       = 500
	targetDataCentres   = 5
	targetWorkspaces    = 350
	targetPipelines     = 14
	targetServices      = 20
	changesPerDay       = 8200
	secondsPerDay       = 86400
	idleSeconds         = 20
	spreadLimit         = 8 * time.Second
	settleBeforeMeasure = 10 * time.Second
)

// fleet returns a document of the given number of daemons.
func fleet(daemons, workspaces int) *configuration.Document {
	d := &configuration.Document{Deployment: "target", Revision: 1, ResendHorizonMillis: 600_000, ClockSkewMillis: 500, CrossDataCentreDelayMillis: 3.5}
	for i := range targetDataCentres {
		dc := configuration.DataCentre{Name: ident.DataCentre(fmt.Sprintf("dc-%d", i))}
		for j := i; j < daemons; j += targetDataCentres {
			dc.Seats = append(dc.Seats, ident.Instance(fmt.Sprintf("dc-%d-%d", i, j/targetDataCentres+1)))
		}
		d.DataCentres = append(d.DataCentres, dc)
	}
	for i := range targetServices {
		d.Services = append(d.Services, configuration.Service{Name: ident.Service(fmt.Sprintf("service-%d", i)), Kind: "pool", Workers: 1, Concurrency: 8, DuplicateCheck: configuration.NoDuplicateCheck})
	}
	for i := range targetPipelines {
		p := configuration.Pipeline{Name: ident.Pipeline(fmt.Sprintf("pipeline-%d", i)), DeadlineMillis: 4000, LateAnswer: configuration.DeliverLate}
		for j := range 6 {
			p.Stages = append(p.Stages, configuration.Stage{Name: ident.Stage(fmt.Sprintf("stage-%d", j)), Service: d.Services[(i+j)%targetServices].Name, Idempotent: j < 5, ExpectedMillis: 100, MaxTokens: 300})
		}
		d.Pipelines = append(d.Pipelines, p)
	}
	for i := range workspaces {
		name := ident.Workspace(fmt.Sprintf("workspace-%d", i))
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: name, KeyDigest: configuration.KeyDigest(string(name)), Share: 1, RatePerSecond: 100})
	}
	return d
}

// idleFigures are the control costs of one daemon without callers.
type idleFigures struct {
	daemons  int
	messages float64 // sent a second
	bytes    float64 // sent a second
	cpu      float64 // share of a core
	memory   float64 // bytes
	spread   time.Duration
	change   float64 // bytes sent for one change
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func measureIdle(daemons, workspaces int) idleFigures {
	before := heap()
	w := newWorld(fleet(daemons, workspaces), 1, node.SafetyRules{}, false)
	w.run(epoch.Add(settleBeforeMeasure))
	f := idleFigures{daemons: daemons, memory: (heap() - before) / float64(daemons)}
	messages, bytes, started := w.sent, w.sentBytes, time.Now()
	w.run(w.now().Add(idleSeconds * time.Second))
	perDaemon := float64(daemons) * idleSeconds
	f.cpu = time.Since(started).Seconds() / perDaemon
	f.messages = float64(w.sent-messages) / perDaemon
	f.bytes = float64(w.sentBytes-bytes) / perDaemon
	f.spread, f.change = w.spreadChange()
	return f
}

// spreadChange publishes a change at one reader and measures until it is in
// force everywhere.
func (w *world) spreadChange() (time.Duration, float64) {
	next := *w.document
	next.Revision++
	next.PreviousDigest = w.document.Digest()
	next.Workspaces = append([]configuration.Workspace{}, next.Workspaces...)
	next.Workspaces[0].RatePerSecond++
	bytes, published := w.sentBytes, w.now()
	first := w.seats[w.document.Seats()[0]]
	first.do(func() { first.node.Configure(&next) })
	for w.now().Sub(published) < 2*spreadLimit {
		w.run(w.now().Add(10 * time.Millisecond))
		if w.inForce(next.Revision) {
			break
		}
	}
	took := w.now().Sub(published)
	return took, float64(w.sentBytes-bytes) / float64(len(w.seats))
}

func (w *world) inForce(r ident.ConfigurationRevision) bool {
	for _, p := range w.seats {
		if p.node.Revision() < r {
			return false
		}
	}
	return true
}

// fit returns the least-squares line through points, and its spread as the
// root of the mean squared residual.
func fit(x, y []float64) (offset, slope, spread float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	offset = (sy - slope*sx) / n
	for i := range x {
		r := y[i] - offset - slope*x[i]
		spread += r * r
	}
	return offset, slope, math.Sqrt(spread / n)
}

func printFit(name, unit string, x, y []float64, at float64) float64 {
	offset, slope, spread := fit(x, y)
	value := offset + slope*at
	fmt.Printf("%-34s %10.4g + %10.4g x  spread %8.3g  at %6g: %10.4g %s\n", name, offset, slope, spread, at, value, unit)
	return value
}

func TestSlopes(t *testing.T) {
	if !*slopes {
		t.Skip("measured by make slopes")
	}
	var x, messages, bytes, cpu, memory, spread, change []float64
	for _, daemons := range []int{10, 50, 100, 250, targetDaemons} {
		f := measureIdle(daemons, targetWorkspaces)
		fmt.Printf("daemons=%d messagesPerSecond=%.2f bytesPerSecond=%.0f cpuPercent=%.4f heapKB=%.0f spreadSeconds=%.2f changeBytes=%.0f\n",
			f.daemons, f.messages, f.bytes, 100*f.cpu, f.memory/1024, f.spread.Seconds(), f.change)
		x = append(x, float64(daemons))
		messages, bytes = append(messages, f.messages), append(bytes, f.bytes)
		cpu, memory = append(cpu, 100*f.cpu), append(memory, f.memory/(1<<20))
		spread, change = append(spread, f.spread.Seconds()), append(change, f.change)
	}
	fmt.Println("x = daemons")
	printFit("control messages sent", "1/s", x, messages, targetDaemons)
	gossip := printFit("control bytes sent, idle", "B/s", x, bytes, targetDaemons)
	processor := printFit("kernel processor time, idle", "% of a core", x, cpu, targetDaemons)
	heapMB := printFit("kernel heap, idle", "MB", x, memory, targetDaemons)
	seconds := printFit("change in force everywhere", "s", x, spread, targetDaemons)
	perChange := printFit("bytes sent for one change", "B", x, change, targetDaemons)
	changes := perChange * changesPerDay / secondsPerDay
	fmt.Printf("changes: %.0f B/s for %d a day\n", changes, changesPerDay)
	record, answer := recordSlopes()
	fmt.Printf("kernel: controlKBps=%.2f kernelCpuPercent=%.3f kernelMB=%.2f configSeconds=%.2f claimBytes=%.0f answerBytes=%.0f\n",
		(gossip+changes)/1024, processor, heapMB, seconds, record, answer)
}

// recordSlopes measures the memory of a remembered claim, and of one with a
// settled answer of 300 tokens.
func recordSlopes() (bare, settled float64) {
	var x, claims, answers []float64
	for _, n := range []int{2_000, 10_000, 50_000} {
		x = append(x, float64(n))
		claims = append(claims, memoryOf(n, ""))
		answers = append(answers, memoryOf(n, string(make([]byte, 300*5))))
	}
	fmt.Println("x = requests within the resend horizon")
	_, bare, _ = fit(x, claims)
	_, settled, _ = fit(x, answers)
	printFit("held claims at a seat", "B", x, claims, 54_000)
	printFit("settled answers at a seat", "B", x, answers, 54_000)
	return bare, settled
}

func memoryOf(n int, text string) float64 {
	before := heap()
	m := claim.NewVoter(claim.VoterConfig{Seat: "a", Incarnation: 1, Start: epoch, MaxRecords: n + 1, MaxAnswerBytes: 1 << 20})
	m.SetSeats([]ident.Instance{"a"}, claim.TimeBounds{ResendHorizon: time.Hour, ClockSkew: time.Second})
	for i := range n {
		key := ident.Key{Workspace: "workspace", ID: ident.RequestID(fmt.Sprintf("5f8e8a2e-8ed0-4ae2-b6d3-%012d", i))}
		holder := claim.Holder{Instance: "dc-1-7", Incarnation: 1, Attempt: uint64(i)}
		m.Vote(epoch.Add(time.Minute), claim.Request{Key: key, Digest: 1, Holder: holder, FirstSent: epoch.Add(30 * time.Second)}, []ident.Instance{"a"})
		if text != "" {
			answer := &outcome.Answer{ID: key.ID, Outcome: outcome.Whole, Text: string([]byte(text))}
			m.Settle(epoch.Add(time.Minute), claim.Record{Key: key, Digest: 1, Holder: holder, Answer: answer})
		}
	}
	used := heap() - before
	runtime.KeepAlive(m)
	return used
}

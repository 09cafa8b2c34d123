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

// measureSlopes enables TestSlopes, which prints measurements and checks no
// behaviour.
var measureSlopes = flag.Bool("slopes", false, "measure how control work grows with the fleet")

// The deployment size and rate of configuration changes that the measurements
// are extrapolated to, and the durations of a measurement.
const (
	targetDaemons     = 500
	targetDataCentres = 5
	targetWorkspaces  = 350
	targetPipelines   = 14
	targetServices    = 20
	changesPerDay     = 8200
	secondsPerDay     = 86400
	idleSeconds       = 20
	propagationLimit  = 8 * time.Second
	warmUpTime        = 10 * time.Second
)

// fleetDocument returns the configuration of a deployment with the given numbers
// of daemons and workspaces.
func fleetDocument(daemons, workspaces int) *configuration.Document {
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

// idleCosts holds the control traffic and resource use of one daemon that serves
// no callers.
type idleCosts struct {
	daemons           int
	messagesPerSecond float64 // sent
	bytesPerSecond    float64 // sent
	cpuCores          float64
	heapBytes         float64
	propagation       time.Duration // of a change to all daemons
	bytesPerChange    float64       // sent
}

func heapInUseBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func measureIdle(daemons, workspaces int) idleCosts {
	heapBefore := heapInUseBytes()
	sm := newSimulation(fleetDocument(daemons, workspaces), 1, node.SafetyRules{}, false)
	sm.advanceTo(simulationStart.Add(warmUpTime))
	c := idleCosts{daemons: daemons, heapBytes: (heapInUseBytes() - heapBefore) / float64(daemons)}
	messagesBefore, bytesBefore, started := sm.messagesSent, sm.bytesSent, time.Now()
	sm.advanceTo(sm.now().Add(idleSeconds * time.Second))
	daemonSeconds := float64(daemons) * idleSeconds
	c.cpuCores = time.Since(started).Seconds() / daemonSeconds
	c.messagesPerSecond = float64(sm.messagesSent-messagesBefore) / daemonSeconds
	c.bytesPerSecond = float64(sm.bytesSent-bytesBefore) / daemonSeconds
	c.propagation, c.bytesPerChange = sm.measurePropagation()
	return c
}

// measurePropagation publishes a configuration change at one instance. It
// returns the time until the change is in force everywhere and the bytes that
// one daemon sent on average.
func (sm *sim) measurePropagation() (time.Duration, float64) {
	next := *sm.document
	next.Revision++
	next.PreviousDigest = sm.document.Digest()
	next.Workspaces = append([]configuration.Workspace{}, next.Workspaces...)
	next.Workspaces[0].RatePerSecond++
	bytesBefore, published := sm.bytesSent, sm.now()
	first := sm.seats[sm.document.Seats()[0]]
	first.handle(func() { first.node.Configure(&next) })
	for sm.now().Sub(published) < 2*propagationLimit {
		sm.advanceTo(sm.now().Add(10 * time.Millisecond))
		if sm.isInForce(next.Revision) {
			break
		}
	}
	elapsed := sm.now().Sub(published)
	return elapsed, float64(sm.bytesSent-bytesBefore) / float64(len(sm.seats))
}

// isInForce reports whether every process serves the revision or a later one.
func (sm *sim) isInForce(r ident.ConfigurationRevision) bool {
	for _, p := range sm.seats {
		if p.node.Revision() < r {
			return false
		}
	}
	return true
}

// fitLine returns the least-squares line through the points and the
// root-mean-square residual.
func fitLine(x, y []float64) (offset, slope, residual float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	offset = (sy - slope*sx) / n
	for i := range x {
		deviation := y[i] - offset - slope*x[i]
		residual += deviation * deviation
	}
	return offset, slope, math.Sqrt(residual / n)
}

// printFit prints the line through the points and returns its value at the given
// x.
func printFit(name, unit string, x, y []float64, at float64) float64 {
	offset, slope, residual := fitLine(x, y)
	value := offset + slope*at
	fmt.Printf("%-34s %10.4g + %10.4g x  spread %8.3g  at %6g: %10.4g %s\n", name, offset, slope, residual, at, value, unit)
	return value
}

func TestSlopes(t *testing.T) {
	if !*measureSlopes {
		t.Skip("measured by make slopes")
	}
	var x, messages, bytes, cpu, heap, propagation, changeBytes []float64
	for _, daemons := range []int{10, 50, 100, 250, targetDaemons} {
		c := measureIdle(daemons, targetWorkspaces)
		fmt.Printf("daemons=%d messagesPerSecond=%.2f bytesPerSecond=%.0f cpuPercent=%.4f heapKB=%.0f spreadSeconds=%.2f changeBytes=%.0f\n",
			c.daemons, c.messagesPerSecond, c.bytesPerSecond, 100*c.cpuCores, c.heapBytes/1024, c.propagation.Seconds(), c.bytesPerChange)
		x = append(x, float64(daemons))
		messages, bytes = append(messages, c.messagesPerSecond), append(bytes, c.bytesPerSecond)
		cpu, heap = append(cpu, 100*c.cpuCores), append(heap, c.heapBytes/(1<<20))
		propagation, changeBytes = append(propagation, c.propagation.Seconds()), append(changeBytes, c.bytesPerChange)
	}
	fmt.Println("x = daemons")
	printFit("control messages sent", "1/s", x, messages, targetDaemons)
	idleBytes := printFit("control bytes sent, idle", "B/s", x, bytes, targetDaemons)
	cpuPercent := printFit("kernel processor time, idle", "% of a core", x, cpu, targetDaemons)
	heapMB := printFit("kernel heap, idle", "MB", x, heap, targetDaemons)
	propagationSeconds := printFit("change in force everywhere", "s", x, propagation, targetDaemons)
	bytesPerChange := printFit("bytes sent for one change", "B", x, changeBytes, targetDaemons)
	changeBytesPerSecond := bytesPerChange * changesPerDay / secondsPerDay
	fmt.Printf("changes: %.0f B/s for %d a day\n", changeBytesPerSecond, changesPerDay)
	claimBytes, answerBytes := measureRecordMemory()
	fmt.Printf("kernel: controlKBps=%.2f kernelCpuPercent=%.3f kernelMB=%.2f configSeconds=%.2f claimBytes=%.0f answerBytes=%.0f\n",
		(idleBytes+changeBytesPerSecond)/1024, cpuPercent, heapMB, propagationSeconds, claimBytes, answerBytes)
}

// measureRecordMemory returns the heap use of one stored claim without an
// answer, and of one with a settled answer of 300 tokens of 5 bytes.
func measureRecordMemory() (claimBytes, answerBytes float64) {
	var x, claims, answers []float64
	for _, n := range []int{2_000, 10_000, 50_000} {
		x = append(x, float64(n))
		claims = append(claims, voterHeapBytes(n, ""))
		answers = append(answers, voterHeapBytes(n, string(make([]byte, 300*5))))
	}
	fmt.Println("x = requests within the resend horizon")
	_, claimBytes, _ = fitLine(x, claims)
	_, answerBytes, _ = fitLine(x, answers)
	printFit("held claims at a seat", "B", x, claims, 54_000)
	printFit("settled answers at a seat", "B", x, answers, 54_000)
	return claimBytes, answerBytes
}

// voterHeapBytes returns the heap use of a voter that holds the given number of
// records, each with a settled answer if the text is not empty.
func voterHeapBytes(records int, text string) float64 {
	heapBefore := heapInUseBytes()
	voter := claim.NewVoter(claim.VoterConfig{Seat: "a", Incarnation: 1, Start: simulationStart, MaxRecords: records + 1, MaxAnswerBytes: 1 << 20})
	voter.SetSeats([]ident.Instance{"a"}, claim.TimeBounds{ResendHorizon: time.Hour, ClockSkew: time.Second})
	for i := range records {
		key := ident.Key{Workspace: "workspace", ID: ident.RequestID(fmt.Sprintf("5f8e8a2e-8ed0-4ae2-b6d3-%012d", i))}
		holder := claim.Holder{Instance: "dc-1-7", Incarnation: 1, Attempt: uint64(i)}
		voter.Vote(simulationStart.Add(time.Minute), claim.Request{Key: key, Digest: 1, Holder: holder, FirstSent: simulationStart.Add(30 * time.Second)}, []ident.Instance{"a"})
		if text != "" {
			answer := &outcome.Answer{ID: key.ID, Outcome: outcome.Whole, Text: string([]byte(text))}
			voter.Settle(simulationStart.Add(time.Minute), claim.Record{Key: key, Digest: 1, Holder: holder, Answer: answer})
		}
	}
	used := heapInUseBytes() - heapBefore
	runtime.KeepAlive(voter)
	return used
}

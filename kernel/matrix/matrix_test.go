package matrix

import (
	"flag"
	"fmt"
	"runtime"
	"sort"
	"sync"
	"testing"

	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
)

var (
	runAllCells = flag.Bool("full", false, "run all single-fault cells and fault pairs, not only the sample for CI")
	cellName    = flag.String("cell", "", "run only the cell with this name")
	seed        = flag.Uint64("seed", 1, "seed of the single-fault cells; each fault pair adds its number")
	maxPrinted  = flag.Int("shown", 12, "maximum number of violations to print")
)

// singleFaultCells returns a cell for every fault at every step, for both
// deployments, with and without tickets.
func singleFaultCells(seed uint64) []cell {
	var cells []cell
	for _, deployment := range []string{"wroclaw", "pelletier"} {
		for _, f := range faults {
			for _, s := range steps {
				for _, tickets := range []bool{false, true} {
					cells = append(cells, cell{deployment: deployment, faults: [2]fault{f, faults[0]}, steps: [2]step{s, onSubmit}, seed: seed, tickets: tickets})
				}
			}
		}
	}
	return cells
}

// faultPairCells returns a cell for every ordered pair of faults, including a
// fault with itself. The steps, the deployment and the use of tickets follow
// from the pair's number.
func faultPairCells(seed uint64) []cell {
	var cells []cell
	n := 0
	for i := 1; i < len(faults); i++ {
		for j := 1; j < len(faults); j++ {
			n++
			deployment := []string{"wroclaw", "pelletier"}[n%2]
			cells = append(cells, cell{
				deployment: deployment,
				faults:     [2]fault{faults[i], faults[j]},
				steps:      [2]step{steps[n%len(steps)], steps[(n/3)%len(steps)]},
				seed:       seed + uint64(n),
				tickets:    n%3 == 0,
			})
		}
	}
	return cells
}

// totals sums up the results of cells.
type totals struct {
	cells, requests, violations, failedCells, lostWithoutCrash int

	outcomes       map[outcome.Outcome]int
	violationLines []string
}

// runAll runs the cells concurrently.
func runAll(cells []cell, rules node.SafetyRules, naive bool) totals {
	t := totals{outcomes: map[outcome.Outcome]int{}}
	var mutex sync.Mutex
	var group sync.WaitGroup
	queue := make(chan cell)
	for range runtime.GOMAXPROCS(0) {
		group.Add(1)
		go func() {
			defer group.Done()
			for c := range queue {
				r := c.run(rules, naive)
				mutex.Lock()
				t.add(c, r)
				mutex.Unlock()
			}
		}()
	}
	for _, c := range cells {
		queue <- c
	}
	close(queue)
	group.Wait()
	sort.Strings(t.violationLines)
	return t
}

func (t *totals) add(c cell, r result) {
	t.cells++
	t.requests += r.requests
	t.violations += len(r.violations)
	t.lostWithoutCrash += r.lostWithoutCrash
	if len(r.violations) > 0 {
		t.failedCells++
	}
	for o, n := range r.outcomes {
		t.outcomes[o] += n
	}
	for _, v := range r.violations {
		t.violationLines = append(t.violationLines, c.String()+": "+v)
	}
}

func (t *totals) summary() string {
	return fmt.Sprintf("cells=%d requests=%d violations=%d brokenCells=%d whole=%d lost=%d notRun=%d refused=%d seed=%d",
		t.cells, t.requests, t.violations, t.failedCells, t.outcomes[outcome.Whole], t.outcomes[outcome.Lost], t.outcomes[outcome.NotRun], t.outcomes[outcome.Refused], *seed)
}

// selectCells returns every twelfth cell, or all of them with -full.
func selectCells() []cell {
	all := append(singleFaultCells(*seed), faultPairCells(*seed)...)
	if *runAllCells {
		return all
	}
	var sampled []cell
	for i, c := range all {
		if i%12 == 0 {
			sampled = append(sampled, c)
		}
	}
	return sampled
}

func TestMatrix(t *testing.T) {
	cells := selectCells()
	if *cellName != "" {
		cells = nil
		for _, c := range append(singleFaultCells(*seed), faultPairCells(*seed)...) {
			if c.String() == *cellName {
				cells = append(cells, c)
			}
		}
	}
	sum := runAll(cells, node.SafetyRules{}, false)
	for i, line := range sum.violationLines {
		if i == *maxPrinted {
			fmt.Printf("and %d more\n", len(sum.violationLines)-i)
			break
		}
		fmt.Println(line)
	}
	fmt.Println(sum.summary())
	if sum.violations > 0 {
		t.Errorf("%d violations in %d cells", sum.violations, sum.failedCells)
	}
}

// TestCostOfSafety checks how many requests the safety rules give up on: none
// without a fault or during graceful shutdowns, and after the crash of an
// instance only requests that were sent to that instance.
func TestCostOfSafety(t *testing.T) {
	for _, name := range []string{"none", "plannedStop", "rollingRestart", "killInstance"} {
		for _, tickets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/tickets=%v", name, tickets), func(t *testing.T) {
				var cells []cell
				for _, c := range cellsWithFaults([]string{name}) {
					if c.tickets == tickets {
						cells = append(cells, c)
					}
				}
				sum := runAll(cells, node.SafetyRules{}, false)
				t.Logf("%s lostElsewhere=%d", sum.summary(), sum.lostWithoutCrash)
				if sum.lostWithoutCrash > 0 {
					t.Errorf("%d requests were lost although every instance they were sent to is alive", sum.lostWithoutCrash)
				}
				if name != "killInstance" && sum.outcomes[outcome.Whole] != sum.requests {
					t.Errorf("%d of %d requests were answered whole", sum.outcomes[outcome.Whole], sum.requests)
				}
			})
		}
	}
}

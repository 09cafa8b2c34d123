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
	full  = flag.Bool("full", false, "run all cells and pairs instead of the selection for CI")
	only  = flag.String("cell", "", "run only the cell with this name and print its problems")
	seed  = flag.Uint64("seed", 1, "first seed")
	shown = flag.Int("shown", 12, "number of problems to print")
)

// singles returns every fault at every step for both deployments.
func singles(seed uint64) []cell {
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

// pairs returns every pair of faults, also of one with itself, each at two
// steps that the pair's number chooses.
func pairs(seed uint64) []cell {
	var cells []cell
	number := 0
	for i := 1; i < len(faults); i++ {
		for j := 1; j < len(faults); j++ {
			number++
			deployment := []string{"wroclaw", "pelletier"}[number%2]
			cells = append(cells, cell{
				deployment: deployment,
				faults:     [2]fault{faults[i], faults[j]},
				steps:      [2]step{steps[number%len(steps)], steps[(number/3)%len(steps)]},
				seed:       seed + uint64(number),
				tickets:    number%3 == 0,
			})
		}
	}
	return cells
}

// totals sums the results of cells.
type totals struct {
	cells, requests, violations, brokenCells, lostElsewhere int

	outcomes map[outcome.Outcome]int
	lines    []string
}

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
	sort.Strings(t.lines)
	return t
}

func (t *totals) add(c cell, r result) {
	t.cells++
	t.requests += r.requests
	t.violations += len(r.problems)
	t.lostElsewhere += r.lostElsewhere
	if len(r.problems) > 0 {
		t.brokenCells++
	}
	for o, n := range r.outcomes {
		t.outcomes[o] += n
	}
	for _, p := range r.problems {
		t.lines = append(t.lines, c.String()+": "+p)
	}
}

func (t *totals) line() string {
	return fmt.Sprintf("cells=%d requests=%d violations=%d brokenCells=%d whole=%d lost=%d notRun=%d refused=%d seed=%d",
		t.cells, t.requests, t.violations, t.brokenCells, t.outcomes[outcome.Whole], t.outcomes[outcome.Lost], t.outcomes[outcome.NotRun], t.outcomes[outcome.Refused], *seed)
}

func selection() []cell {
	all := append(singles(*seed), pairs(*seed)...)
	if *full {
		return all
	}
	var some []cell
	for i, c := range all {
		if i%12 == 0 {
			some = append(some, c)
		}
	}
	return some
}

func TestMatrix(t *testing.T) {
	cells := selection()
	if *only != "" {
		cells = nil
		for _, c := range append(singles(*seed), pairs(*seed)...) {
			if c.String() == *only {
				cells = append(cells, c)
			}
		}
	}
	sum := runAll(cells, node.SafetyRules{}, false)
	for i, line := range sum.lines {
		if i == *shown {
			fmt.Printf("and %d more\n", len(sum.lines)-i)
			break
		}
		fmt.Println(line)
	}
	fmt.Println(sum.line())
	if sum.violations > 0 {
		t.Errorf("%d violations in %d cells", sum.violations, sum.brokenCells)
	}
}

// TestCostOfSafety checks what the promises cost: nothing without a fault and
// in planned stops, and after the crash of an instance only requests that
// this instance had taken.
func TestCostOfSafety(t *testing.T) {
	for _, name := range []string{"none", "plannedStop", "rollingRestart", "killInstance"} {
		for _, tickets := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/tickets=%v", name, tickets), func(t *testing.T) {
				var cells []cell
				for _, c := range cellsOf([]string{name}) {
					if c.tickets == tickets {
						cells = append(cells, c)
					}
				}
				sum := runAll(cells, node.SafetyRules{}, false)
				t.Logf("%s lostElsewhere=%d", sum.line(), sum.lostElsewhere)
				if sum.lostElsewhere > 0 {
					t.Errorf("%d requests were lost that no broken instance had", sum.lostElsewhere)
				}
				if name != "killInstance" && sum.outcomes[outcome.Whole] != sum.requests {
					t.Errorf("%d of %d requests were answered whole", sum.outcomes[outcome.Whole], sum.requests)
				}
			})
		}
	}
}

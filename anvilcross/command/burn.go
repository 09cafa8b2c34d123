package command

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"anvilcross/anvilcross/instance"
	"anvilcross/kernel/burn"
)

// burnReport reports how fast a deployment uses up its error budgets.
type burnReport struct {
	Instances string  `required:"" help:"Instance list of the deployment." type:"existingfile"`
	Objective float64 `default:"0.99" help:"Share of requests that must be whole within their deadline."`
	JSON      bool    `help:"Print JSON."`
	Plot      string  `help:"PNG file to draw the one-hour burn rates to."`
}

// Indexes into burn.WindowLengths.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window3d
)

// alertRule raises an alert when the burn rates of both windows exceed the
// threshold.
type alertRule struct {
	severity                string
	shortWindow, longWindow int
	thresholdRate           float64
}

// alertRules are the usual pairs of windows for an error budget of 30 days. At a
// burn rate of 14.4 the budget is used up in two days, at 6 in five; above 1 it
// does not last the month.
var alertRules = []alertRule{
	{"page", window5m, window1h, 14.4},
	{"page", window30m, window6h, 6},
	{"ticket", window6h, window3d, 1},
}

// seriesBurn is one series summed over all instances. It has one burn rate for
// each of burn.WindowLengths. Operators' tools read the texts of Alerts from the
// JSON output, so their wording must not change.
type seriesBurn struct {
	Name      string    `json:"name"`
	Total     uint64    `json:"total"`
	Bad       uint64    `json:"bad"`
	BurnRates []float64 `json:"rates"`
	Alerts    []string  `json:"alerts,omitempty"`
}

// burnSummary is the report on all series.
type burnSummary struct {
	Objective         float64 `json:"objective"`
	InstancesAsked    int     `json:"asked"`
	InstancesAnswered int     `json:"answered"`
	// YoungestAgeSeconds is how long the instance that started last has been
	// counting. Windows longer than that are incomplete.
	YoungestAgeSeconds float64      `json:"youngestSeconds"`
	Series             []seriesBurn `json:"lines"`
}

// Help is shown by anvilcross burn --help.
func (burnReport) Help() string {
	return "At a burn rate of 1 the error budget lasts exactly for its period. Each instance keeps its own counts, which are lost when it is replaced; the report says how long the youngest instance has been counting.\n\nExample: anvilcross burn --instances run/wroclaw/instances.json --plot burn.png"
}

// Run collects the counts and prints the report.
func (b *burnReport) Run(out io.Writer) error {
	if b.Objective <= 0 || b.Objective >= 1 {
		return &exitError{exitUsage, "--objective must be more than 0 and less than 1"}
	}
	instances, err := instance.ReadList(b.Instances)
	if err != nil {
		return err
	}
	summary := b.collect(instances, time.Now())
	if b.Plot != "" {
		if err := drawBurn(summary, b.Plot); err != nil {
			return err
		}
	}
	if b.JSON {
		return printJSON(out, summary)
	}
	return printBurn(out, summary)
}

// collect fetches the counts of every instance and sums them. Instances that do
// not answer are left out.
func (b *burnReport) collect(instances []instance.ListEntry, now time.Time) burnSummary {
	summary := burnSummary{Objective: b.Objective, InstancesAsked: len(instances)}
	sums := map[string][]burn.WindowCounts{}
	for _, i := range instances {
		report, err := instance.FetchBurnReport(i.OperatorAddress)
		if err != nil {
			continue
		}
		age := now.Sub(report.Since).Seconds()
		if summary.InstancesAnswered == 0 || age < summary.YoungestAgeSeconds {
			summary.YoungestAgeSeconds = age
		}
		summary.InstancesAnswered++
		for _, s := range report.Series {
			sums[s.Name] = addWindows(sums[s.Name], s.Windows)
		}
	}
	for name, windows := range sums {
		summary.Series = append(summary.Series, b.summarizeSeries(name, windows))
	}
	sort.Slice(summary.Series, func(i, j int) bool { return summary.Series[i].Name < summary.Series[j].Name })
	return summary
}

// addWindows adds the counts of other to sum, window by window.
func addWindows(sum, other []burn.WindowCounts) []burn.WindowCounts {
	if sum == nil {
		return append(sum, other...)
	}
	for i := range min(len(sum), len(other)) {
		sum[i].Total += other[i].Total
		sum[i].Bad += other[i].Bad
	}
	return sum
}

// summarizeSeries computes a series' burn rates and alerts. The totals are those
// of the longest window.
func (b *burnReport) summarizeSeries(name string, windows []burn.WindowCounts) seriesBurn {
	s := seriesBurn{Name: name, Total: windows[window3d].Total, Bad: windows[window3d].Bad}
	for _, w := range windows {
		rate := 0.0
		if w.Total > 0 {
			rate = float64(w.Bad) / float64(w.Total) / (1 - b.Objective)
		}
		s.BurnRates = append(s.BurnRates, rate)
	}
	for _, r := range alertRules {
		if s.BurnRates[r.shortWindow] > r.thresholdRate && s.BurnRates[r.longWindow] > r.thresholdRate {
			s.Alerts = append(s.Alerts, fmt.Sprintf("%s: burns %.1f and %.1f times too fast over %v and %v", r.severity, s.BurnRates[r.shortWindow], s.BurnRates[r.longWindow], burn.WindowLengths[r.shortWindow], burn.WindowLengths[r.longWindow]))
		}
	}
	return s
}

func printBurn(out io.Writer, summary burnSummary) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERIES\tEVENTS\tBAD\t5M\t30M\t1H\t6H\t3D")
	for _, s := range summary.Series {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", s.Name, s.Total, s.Bad, s.BurnRates[window5m], s.BurnRates[window30m], s.BurnRates[window1h], s.BurnRates[window6h], s.BurnRates[window3d])
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, s := range summary.Series {
		for _, a := range s.Alerts {
			_, _ = fmt.Fprintf(out, "%s %s\n", s.Name, a)
		}
	}
	_, err := fmt.Fprintf(out, "objective %.4g; %d of %d instances answered; the youngest has been counting for %.0f s; longer windows lack the counts of replaced instances\n", summary.Objective, summary.InstancesAnswered, summary.InstancesAsked, summary.YoungestAgeSeconds)
	return errors.Trace(err)
}

const (
	plotWidth      = 8 * vg.Inch
	plotHeight     = 4 * vg.Inch
	barWidthPoints = 12
)

// drawBurn draws the one-hour burn rates as bars.
func drawBurn(summary burnSummary, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Burn rate over one hour, objective %.4g", summary.Objective)
	p.Y.Label.Text = "burn rate"
	var values plotter.Values
	var names []string
	for _, s := range summary.Series {
		values = append(values, s.BurnRates[window1h])
		names = append(names, s.Name)
	}
	if len(values) == 0 {
		return errors.New("--plot: no instance has counted an event yet")
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidthPoints))
	if err != nil {
		return errors.Trace(err)
	}
	p.Add(bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

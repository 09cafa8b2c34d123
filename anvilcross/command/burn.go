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

// burnReport collects the service-level burn of a deployment.
type burnReport struct {
	Instances string  `required:"" help:"Instance list of the deployment." type:"existingfile"`
	Objective float64 `default:"0.99" help:"Share of requests that must be whole within their deadline."`
	JSON      bool    `help:"Print JSON."`
	Plot      string  `help:"PNG file to draw the one-hour burn rates to."`
}

// Indexes into burn.Windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window3d
)

// alert is a pair of windows that must both burn faster than a rate.
type alert struct {
	name        string
	short, long int
	rate        float64
}

// alerts are the usual pairs: a page for a budget that is gone in two days, a
// ticket for one that will not last its month.
var alerts = []alert{
	{"page", window5m, window1h, 14.4},
	{"page", window30m, window6h, 6},
	{"ticket", window6h, window3d, 1},
}

// burnLine is one series summed over all instances.
type burnLine struct {
	Name   string    `json:"name"`
	Total  uint64    `json:"total"`
	Bad    uint64    `json:"bad"`
	Rates  []float64 `json:"rates"`
	Alerts []string  `json:"alerts,omitempty"`
}

// burnSummary is the whole report.
type burnSummary struct {
	Objective float64 `json:"objective"`
	Asked     int     `json:"asked"`
	Answered  int     `json:"answered"`
	// Youngest is the age of the instance with the shortest memory.
	YoungestSeconds float64    `json:"youngestSeconds"`
	Lines           []burnLine `json:"lines"`
}

// Help is shown by anvilcross burn --help.
func (burnReport) Help() string {
	return "A rate of 1 uses the error budget up exactly by its end. Counting happens in the instances; what replaced ones had counted is lost, and the report says how far back the youngest reaches.\n\nExample: anvilcross burn --instances run/wroclaw/instances.json --plot burn.png"
}

// Run does the work of the verb.
func (b *burnReport) Run(out io.Writer) error {
	if b.Objective <= 0 || b.Objective >= 1 {
		return &exitError{exitUsage, "the objective must lie between 0 and 1"}
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

// collect asks every instance and sums the windows.
func (b *burnReport) collect(instances []instance.ListEntry, now time.Time) burnSummary {
	summary := burnSummary{Objective: b.Objective, Asked: len(instances)}
	sums := map[string][]burn.WindowCounts{}
	for _, i := range instances {
		report, err := instance.FetchBurnReport(i.OperatorAddress)
		if err != nil {
			continue
		}
		age := now.Sub(report.Since).Seconds()
		if summary.Answered == 0 || age < summary.YoungestSeconds {
			summary.YoungestSeconds = age
		}
		summary.Answered++
		for _, l := range report.Series {
			sums[l.Name] = addWindows(sums[l.Name], l.Windows)
		}
	}
	for name, windows := range sums {
		summary.Lines = append(summary.Lines, b.line(name, windows))
	}
	sort.Slice(summary.Lines, func(i, j int) bool { return summary.Lines[i].Name < summary.Lines[j].Name })
	return summary
}

func addWindows(sum, more []burn.WindowCounts) []burn.WindowCounts {
	if sum == nil {
		return append(sum, more...)
	}
	for i := range min(len(sum), len(more)) {
		sum[i].Total += more[i].Total
		sum[i].Bad += more[i].Bad
	}
	return sum
}

func (b *burnReport) line(name string, windows []burn.WindowCounts) burnLine {
	l := burnLine{Name: name, Total: windows[window3d].Total, Bad: windows[window3d].Bad}
	for _, w := range windows {
		rate := 0.0
		if w.Total > 0 {
			rate = float64(w.Bad) / float64(w.Total) / (1 - b.Objective)
		}
		l.Rates = append(l.Rates, rate)
	}
	for _, a := range alerts {
		if l.Rates[a.short] > a.rate && l.Rates[a.long] > a.rate {
			l.Alerts = append(l.Alerts, fmt.Sprintf("%s: burns %.1f and %.1f times too fast over %v and %v", a.name, l.Rates[a.short], l.Rates[a.long], burn.WindowLengths[a.short], burn.WindowLengths[a.long]))
		}
	}
	return l
}

func printBurn(out io.Writer, s burnSummary) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERIES\tEVENTS\tBAD\t5M\t30M\t1H\t6H\t3D")
	for _, l := range s.Lines {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", l.Name, l.Total, l.Bad, l.Rates[window5m], l.Rates[window30m], l.Rates[window1h], l.Rates[window6h], l.Rates[window3d])
	}
	if err := table.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, l := range s.Lines {
		for _, a := range l.Alerts {
			_, _ = fmt.Fprintf(out, "%s %s\n", l.Name, a)
		}
	}
	_, err := fmt.Fprintf(out, "objective %.4g; %d of %d instances answered; the youngest counts since %.0f s, longer windows miss what replaced instances had counted\n", s.Objective, s.Answered, s.Asked, s.YoungestSeconds)
	return errors.Trace(err)
}

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 12
)

// drawBurn draws the one-hour burn rates as bars.
func drawBurn(s burnSummary, path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Burn rate over one hour, objective %.4g", s.Objective)
	p.Y.Label.Text = "times the budget"
	var values plotter.Values
	var names []string
	for _, l := range s.Lines {
		values = append(values, l.Rates[window1h])
		names = append(names, l.Name)
	}
	if len(values) == 0 {
		return errors.New("there is nothing to draw yet")
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errors.Trace(err)
	}
	p.Add(bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	return errors.Trace(p.Save(plotWidth, plotHeight, path))
}

package command

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// slopes fits a line to each figure that anvilload usage printed, and
// extrapolates it to the target number of daemons. It adds the kernel's own
// figures as they are.
type slopes struct {
	Usage   string  `arg:"" help:"File with lines of anvilload usage." type:"existingfile"`
	Kernel  string  `arg:"" help:"File with the output of the kernel's TestSlopes." type:"existingfile"`
	Daemons float64 `default:"500" help:"Number of daemons to extrapolate to."`
}

// Help is shown by anvilload slopes --help.
func (slopes) Help() string { return "Example: anvilload slopes run/usage.txt run/kernelSlopes.txt" }

// minMeasurements is more than two, since any two points fit a line exactly.
const minMeasurements = 3

// Run prints the fitted lines and the figures at the target size.
func (s *slopes) Run(out io.Writer) error {
	measurements, err := readMeasurements(s.Usage, "daemons=")
	if err != nil {
		return err
	}
	if len(measurements) < minMeasurements {
		return errors.Errorf("%s has %d lines of measurements; at least %d are needed", s.Usage, len(measurements), minMeasurements)
	}
	kernel, err := readMeasurements(s.Kernel, "kernel: ")
	if err != nil || len(kernel) != 1 {
		return errors.Errorf("cannot find exactly one line that starts with kernel: in %s", s.Kernel)
	}
	extrapolated := map[string]float64{}
	for _, name := range []string{"cpuPercent", "privateMB", "residentMB", "platformReadsPerSecond"} {
		var x, y []float64
		for _, m := range measurements {
			x = append(x, m["daemons"])
			y = append(y, m[name])
		}
		offset, slope := stat.LinearRegression(x, y, nil, false)
		rSquared := stat.RSquared(x, y, nil, offset, slope)
		extrapolated[name] = offset + slope*s.Daemons
		_, _ = fmt.Fprintf(out, "%-24s %.4g + %.4g x daemons, r2 %.3f, at %g: %.4g\n", name, offset, slope, rSquared, s.Daemons, extrapolated[name])
	}
	_, err = fmt.Fprintf(out, "controlCpuPercent=%.3f controlMB=%.1f controlKBps=%.2f platformReadsPerSecond=%.1f configSeconds=%.2f\n",
		extrapolated["cpuPercent"], extrapolated["privateMB"], kernel[0]["controlKBps"], extrapolated["platformReadsPerSecond"], kernel[0]["configSeconds"])
	return errors.Trace(err)
}

// readMeasurements reads the name=value pairs of the lines with a prefix. Values
// that are not numbers are left out.
func readMeasurements(path, prefix string) ([]map[string]float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var measurements []map[string]float64
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, prefix) {
			continue
		}
		values := map[string]float64{}
		for _, word := range strings.Fields(line) {
			name, value, _ := strings.Cut(word, "=")
			if f, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = f
			}
		}
		measurements = append(measurements, values)
	}
	return measurements, nil
}

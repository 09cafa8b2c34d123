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

// slopes fits what usage and the kernel's own measurement printed, and works
// the figures out at the target's size.
type slopes struct {
	Usage   string  `arg:"" help:"File with lines of anvilload usage." type:"existingfile"`
	Kernel  string  `arg:"" help:"File with the output of the kernel's slopes." type:"existingfile"`
	Daemons float64 `default:"500" help:"Size to work out."`
}

// Help is shown by anvilload slopes --help.
func (slopes) Help() string { return "Example: anvilload slopes run/usage.txt run/kernelSlopes.txt" }

const minPoints = 3

// Run does the work of the verb.
func (s *slopes) Run(out io.Writer) error {
	points, err := readLines(s.Usage, "daemons=")
	if err != nil {
		return err
	}
	if len(points) < minPoints {
		return errors.Errorf("%s holds %d measurements; %d are needed", s.Usage, len(points), minPoints)
	}
	kernel, err := readLines(s.Kernel, "kernel: ")
	if err != nil || len(kernel) != 1 {
		return errors.Errorf("%s does not hold one line of kernel figures", s.Kernel)
	}
	at := map[string]float64{}
	for _, name := range []string{"cpuPercent", "privateMB", "residentMB", "platformReadsPerSecond"} {
		var x, y []float64
		for _, p := range points {
			x = append(x, p["daemons"])
			y = append(y, p[name])
		}
		offset, slope := stat.LinearRegression(x, y, nil, false)
		r := stat.RSquared(x, y, nil, offset, slope)
		at[name] = offset + slope*s.Daemons
		_, _ = fmt.Fprintf(out, "%-24s %.4g + %.4g x daemons, r2 %.3f, at %g: %.4g\n", name, offset, slope, r, s.Daemons, at[name])
	}
	_, err = fmt.Fprintf(out, "controlCpuPercent=%.3f controlMB=%.1f controlKBps=%.2f platformReadsPerSecond=%.1f configSeconds=%.2f\n",
		at["cpuPercent"], at["privateMB"], kernel[0]["controlKBps"], at["platformReadsPerSecond"], kernel[0]["configSeconds"])
	return errors.Trace(err)
}

// readLines reads the name=value pairs of the lines with a prefix.
func readLines(path, prefix string) ([]map[string]float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var all []map[string]float64
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
		all = append(all, values)
	}
	return all, nil
}

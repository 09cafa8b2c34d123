// Package burn counts good and bad events per pipeline, workspace and stage
// over sliding time windows. The error-budget burn rate is computed from these
// counts. The memory of a series does not grow with traffic: a series keeps
// one-minute buckets for short windows and coarser buckets for longer ones.
package burn

import (
	"time"

	"anvilcross/kernel/value"
)

// WindowLengths lists the windows that a Report covers, shortest first.
var WindowLengths = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// resolution describes one ring buffer of buckets.
type resolution struct {
	bucketLength time.Duration
	bucketCount  int
}

// resolutions lists the rings of every series, finest first. Each ring holds
// one bucket more than sum adds up for its longest window.
var resolutions = []resolution{{time.Minute, 61}, {10 * time.Minute, 37}, {time.Hour, 73}}

// bucket counts the events of one interval.
type bucket struct {
	// index is the interval's number since the Unix epoch. It tells a current
	// bucket from an old one in the same slot that was not overwritten yet.
	index int64
	total uint32
	bad   uint32
}

// series holds the buckets of one series, in one ring for each resolution.
type series struct{ rings [][]bucket }

// Config configures an EventCounter.
type Config struct {
	// MaxSeries is the maximum number of series; events of further series are
	// dropped.
	MaxSeries int
	// Start is the time at which counting begins; it is reported as
	// Report.Since.
	Start time.Time
}

// EventCounter counts good and bad events of many named series. It is not safe
// for concurrent use.
type EventCounter struct {
	cfg Config
	all map[string]*series // by name
}

// WindowCounts holds the events of one window: its length in seconds, the
// number of all events and the number of bad ones.
type WindowCounts struct {
	Seconds int64  `json:"seconds"`
	Total   uint64 `json:"total"`
	Bad     uint64 `json:"bad"`
}

// SeriesCounts holds the counts of one series, one entry per window in the
// order of WindowLengths.
type SeriesCounts struct {
	Name    string         `json:"name"`
	Windows []WindowCounts `json:"windows"`
}

// Report holds the counts of all series of one instance.
type Report struct {
	// Since is the time at which counting began. Windows that reach further
	// back are incomplete, because the counts are lost when the instance is
	// replaced.
	Since  time.Time      `json:"since"`
	Series []SeriesCounts `json:"lines"`
}

// NewEventCounter returns an EventCounter without any series.
func NewEventCounter(c Config) *EventCounter { return &EventCounter{cfg: c, all: map[string]*series{}} }

// Record counts one event of the named series, which is created on its first
// event unless MaxSeries is reached.
func (c *EventCounter) Record(now time.Time, name string, good bool) {
	s := c.all[name]
	if s == nil {
		if len(c.all) >= c.cfg.MaxSeries {
			return
		}
		s = newSeries()
		c.all[name] = s
	}
	for i, r := range resolutions {
		index := now.UnixNano() / int64(r.bucketLength)
		b := &s.rings[i][index%int64(r.bucketCount)]
		if b.index != index {
			*b = bucket{index: index}
		}
		b.total++
		if !good {
			b.bad++
		}
	}
}

func newSeries() *series {
	s := &series{}
	for _, r := range resolutions {
		s.rings = append(s.rings, make([]bucket, r.bucketCount))
	}
	return s
}

// Report returns the counts of every series up to now, sorted by series name.
func (c *EventCounter) Report(now time.Time) Report {
	report := Report{Since: c.cfg.Start}
	for _, name := range value.SortedKeys(c.all) {
		counts := SeriesCounts{Name: name}
		for _, w := range WindowLengths {
			counts.Windows = append(counts.Windows, c.all[name].sum(now, w))
		}
		report.Series = append(report.Series, counts)
	}
	return report
}

// sum adds up the buckets of a window, in the finest resolution that covers
// it. The newest bucket is one of them and only partly filled, so the counts
// can cover up to one bucket length less than the window.
func (s *series) sum(now time.Time, window time.Duration) WindowCounts {
	w := WindowCounts{Seconds: int64(window / time.Second)}
	for i, r := range resolutions {
		if window > time.Duration(r.bucketCount-1)*r.bucketLength {
			continue
		}
		newest := now.UnixNano() / int64(r.bucketLength)
		oldest := newest - int64(window/r.bucketLength)
		for _, b := range s.rings[i] {
			if b.index > oldest && b.index <= newest {
				w.Total += uint64(b.total)
				w.Bad += uint64(b.bad)
			}
		}
		return w
	}
	return w
}

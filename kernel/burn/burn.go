// Package burn counts good and bad events of pipelines, workspaces and stages
// in time windows, so that the rate at which an error budget burns can be
// told. The memory of a series does not grow with traffic: recent time is kept
// in minutes, older time in coarser buckets.
package burn

import (
	"time"

	"anvilcross/kernel/value"
)

// WindowLengths are the lengths of the windows that a report covers.
var WindowLengths = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// resolution is one ring of buckets.
type resolution struct {
	bucket time.Duration
	count  int
}

// resolutions cover the windows: each keeps a bucket more than its longest.
var resolutions = []resolution{{time.Minute, 61}, {10 * time.Minute, 37}, {time.Hour, 73}}

type bucket struct {
	// number is the bucket's place on the time line, so that an old one that
	// was never overwritten is not taken for a new one.
	number int64
	total  uint32
	bad    uint32
}

type series struct{ rings [][]bucket }

// Config sets up a Table.
type Config struct {
	// MaxSeries bounds the table; events of further series are not counted.
	MaxSeries int
	// Start is when counting begins.
	Start time.Time
}

// EventCounter counts the events of many series.
type EventCounter struct {
	config Config
	series map[string]*series
}

// WindowCounts is the count of one window.
type WindowCounts struct {
	Seconds int64  `json:"seconds"`
	Total   uint64 `json:"total"`
	Bad     uint64 `json:"bad"`
}

// SeriesCounts is the report of one series.
type SeriesCounts struct {
	Name    string         `json:"name"`
	Windows []WindowCounts `json:"windows"`
}

// Report is an instance's account of all series.
type Report struct {
	// Since is when the counting began: windows that reach further back are
	// incomplete, because a replaced instance forgets.
	Since  time.Time      `json:"since"`
	Series []SeriesCounts `json:"lines"`
}

// NewEventCounter returns an empty table.
func NewEventCounter(c Config) *EventCounter {
	return &EventCounter{config: c, series: map[string]*series{}}
}

// Record adds an event to a series.
func (t *EventCounter) Record(now time.Time, name string, good bool) {
	s := t.series[name]
	if s == nil {
		if len(t.series) >= t.config.MaxSeries {
			return
		}
		s = newSeries()
		t.series[name] = s
	}
	for i, r := range resolutions {
		number := now.UnixNano() / int64(r.bucket)
		b := &s.rings[i][number%int64(r.count)]
		if b.number != number {
			*b = bucket{number: number}
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
		s.rings = append(s.rings, make([]bucket, r.count))
	}
	return s
}

// Report sums the windows of all series, in the order of their names.
func (t *EventCounter) Report(now time.Time) Report {
	report := Report{Since: t.config.Start}
	for _, name := range value.SortedKeys(t.series) {
		line := SeriesCounts{Name: name}
		for _, w := range WindowLengths {
			line.Windows = append(line.Windows, t.series[name].sum(now, w))
		}
		report.Series = append(report.Series, line)
	}
	return report
}

// sum adds the buckets of a window in the finest resolution that covers it.
func (s *series) sum(now time.Time, window time.Duration) WindowCounts {
	w := WindowCounts{Seconds: int64(window / time.Second)}
	for i, r := range resolutions {
		if window > time.Duration(r.count-1)*r.bucket {
			continue
		}
		newest := now.UnixNano() / int64(r.bucket)
		oldest := newest - int64(window/r.bucket)
		for _, b := range s.rings[i] {
			if b.number > oldest && b.number <= newest {
				w.Total += uint64(b.total)
				w.Bad += uint64(b.bad)
			}
		}
		return w
	}
	return w
}

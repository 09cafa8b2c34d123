package burn

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// totals returns the number of events in each window of the first series.
func totals(c *EventCounter, now time.Time) (all []uint64) {
	for _, w := range c.Report(now).Series[0].Windows {
		all = append(all, w.Total)
	}
	return all
}

func TestWindows(t *testing.T) {
	Convey("Each window counts the events within its length", t, func() {
		counter := NewEventCounter(Config{MaxSeries: 10, Start: startTime})
		for minute := range 120 {
			counter.Record(startTime.Add(time.Duration(minute)*time.Minute), "pipeline/draft", minute%10 != 0)
		}
		now := startTime.Add(119 * time.Minute)
		So(totals(counter, now), ShouldResemble, []uint64{5, 30, 60, 120, 120})
		So(counter.Report(now).Series[0].Windows[4].Bad, ShouldEqual, 12)
	})
	Convey("Old events leave the window even if no event follows", t, func() {
		counter := NewEventCounter(Config{MaxSeries: 10, Start: startTime})
		counter.Record(startTime, "workspace/shop", false)
		So(totals(counter, startTime.Add(2*time.Hour)), ShouldResemble, []uint64{0, 0, 0, 1, 1})
		So(totals(counter, startTime.Add(80*time.Hour)), ShouldResemble, []uint64{0, 0, 0, 0, 0})
	})
	Convey("Events of series beyond MaxSeries are dropped", t, func() {
		counter := NewEventCounter(Config{MaxSeries: 1, Start: startTime})
		counter.Record(startTime, "a", true)
		counter.Record(startTime, "b", true)
		So(counter.Report(startTime).Series, ShouldHaveLength, 1)
	})
}

package burn

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// totals returns the totals of a series' windows.
func totals(t *EventCounter, now time.Time) (all []uint64) {
	for _, w := range t.Report(now).Series[0].Windows {
		all = append(all, w.Total)
	}
	return all
}

func TestWindows(t *testing.T) {
	Convey("Each window holds the events of its length", t, func() {
		table := NewEventCounter(Config{MaxSeries: 10, Start: start})
		for minute := range 120 {
			table.Record(start.Add(time.Duration(minute)*time.Minute), "pipeline/draft", minute%10 != 0)
		}
		now := start.Add(119 * time.Minute)
		So(totals(table, now), ShouldResemble, []uint64{5, 30, 60, 120, 120})
		So(table.Report(now).Series[0].Windows[4].Bad, ShouldEqual, 12)
	})
	Convey("Events older than a window are not counted after a silence", t, func() {
		table := NewEventCounter(Config{MaxSeries: 10, Start: start})
		table.Record(start, "workspace/shop", false)
		So(totals(table, start.Add(2*time.Hour)), ShouldResemble, []uint64{0, 0, 0, 1, 1})
		So(totals(table, start.Add(80*time.Hour)), ShouldResemble, []uint64{0, 0, 0, 0, 0})
	})
	Convey("The number of series is bounded", t, func() {
		table := NewEventCounter(Config{MaxSeries: 1, Start: start})
		table.Record(start, "a", true)
		table.Record(start, "b", true)
		So(table.Report(start).Series, ShouldHaveLength, 1)
	})
}

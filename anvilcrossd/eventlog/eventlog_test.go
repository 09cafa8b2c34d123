package eventlog

import (
	"bytes"
	"strings"
	"testing"
)

// Every line has a time, that on dropped lines too.
func TestEveryLineHasATime(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(Config{Writer: &out})
	for range 2 * maxLinesPerSecond {
		l.WriteEvent("event")
	}
	l.Close()
	reported := false
	for line := range strings.Lines(out.String()) {
		if !strings.HasPrefix(line, "time=") {
			t.Fatalf("a line without a time: %q", line)
		}
		reported = reported || strings.Contains(line, "event=linesDropped")
	}
	if !reported {
		t.Fatal("no line reports the dropped ones")
	}
}

// Package eventlog writes the log of a gateway daemon: one line of key=value
// pairs for each event. Writing never blocks: lines wait in a bounded queue, and
// lines that do not fit are dropped and counted.
package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. It holds the
	// lines of a few seconds at the full load of an instance.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the rate; lines beyond it are dropped and
	// counted.
	maxLinesPerSecond = 2000
)

// Config sets up a Log.
type Config struct {
	Writer io.Writer
	// Fields are alternating keys and values that every line has after the
	// event name.
	Fields []any
}

// Log writes lines in the background.
type Log struct {
	config  Config
	queue   chan []byte
	dropped atomic.Int64
	// encodedFields is the text of Config.Fields.
	encodedFields []byte
	// mutex guards currentSecond and linesThisSecond. The seconds are counted
	// from startedAt.
	mutex           sync.Mutex
	currentSecond   int64
	linesThisSecond int
	startedAt       time.Time
	done            chan struct{}
}

// NewLog returns a log and starts its goroutine, which writes until Close.
func NewLog(c Config) *Log {
	l := &Log{config: c, queue: make(chan []byte, maxQueuedLines), startedAt: time.Now(), done: make(chan struct{})}
	var b bytes.Buffer
	writePairs(&b, c.Fields)
	l.encodedFields = b.Bytes()
	go l.writeLines()
	return l
}

// WriteEvent queues one line. The fields are alternating keys and values.
func (l *Log) WriteEvent(name string, fields ...any) {
	if !l.allowLine() {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- l.formatLine(name, fields):
	default:
		l.dropped.Add(1)
	}
}

// formatLine returns the line of an event that happens now.
func (l *Log) formatLine(name string, fields []any) []byte {
	var b bytes.Buffer
	b.WriteString("time=")
	b.WriteString(time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(" event=")
	b.WriteString(name)
	b.Write(l.encodedFields)
	writePairs(&b, fields)
	b.WriteByte('\n')
	return b.Bytes()
}

// DroppedLines returns the number of lines dropped since the start.
func (l *Log) DroppedLines() int64 { return l.dropped.Load() }

// Close writes the queued lines and ends the log. WriteEvent must not be called
// afterwards.
func (l *Log) Close() {
	close(l.queue)
	<-l.done
}

// allowLine counts a line and reports whether it is within
// maxLinesPerSecond.
func (l *Log) allowLine() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	second := int64(time.Since(l.startedAt) / time.Second)
	if second != l.currentSecond {
		l.currentSecond, l.linesThisSecond = second, 0
	}
	l.linesThisSecond++
	return l.linesThisSecond <= maxLinesPerSecond
}

func (l *Log) writeLines() {
	defer close(l.done)
	reportedDrops := int64(0)
	for line := range l.queue {
		if dropped := l.dropped.Load(); dropped > reportedDrops {
			line = append(line, l.formatLine("linesDropped", []any{"total", dropped})...)
			reportedDrops = dropped
		}
		// An error is ignored: there is no other place to report it.
		_, _ = l.config.Writer.Write(line)
	}
}

func writePairs(b *bytes.Buffer, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		b.WriteByte(' ')
		b.WriteString(fmt.Sprint(fields[i]))
		b.WriteByte('=')
		b.WriteString(quoteIfNeeded(formatValue(fields[i+1])))
	}
}

// formatValue formats a value; durations are in milliseconds.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case time.Duration:
		return strconv.FormatFloat(float64(v)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	case error:
		return v.Error()
	}
	return fmt.Sprint(v)
}

func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

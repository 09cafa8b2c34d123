// Package eventlog writes the daemon's log: one line of key=value pairs for
// each event. Writing never blocks the caller: lines wait in a bounded queue,
// and what does not fit is counted and reported.
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
	// maxQueued bounds the lines that wait to be written: some seconds' worth
	// at the full load of an instance.
	maxQueued = 4096
	// linesPerSecond bounds the volume; decisions beyond it are counted.
	linesPerSecond = 2000
)

// Config sets up a Log.
type Config struct {
	Writer io.Writer
	// Fields start every line, as key and value in turn.
	Fields []any
}

// Log writes events in the background.
type Log struct {
	config  Config
	lines   chan []byte
	dropped atomic.Int64
	prefix  []byte
	mutex   sync.Mutex
	second  int64
	count   int
	started time.Time
	done    chan struct{}
}

// NewLog returns a log that writes until Close.
func NewLog(c Config) *Log {
	l := &Log{config: c, lines: make(chan []byte, maxQueued), started: time.Now(), done: make(chan struct{})}
	var b bytes.Buffer
	pairs(&b, c.Fields)
	l.prefix = b.Bytes()
	go l.write()
	return l
}

// WriteEvent writes one line. The fields are key and value in turn.
func (l *Log) WriteEvent(name string, fields ...any) {
	if !l.allowed() {
		l.dropped.Add(1)
		return
	}
	var b bytes.Buffer
	b.WriteString("time=")
	b.WriteString(time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(" event=")
	b.WriteString(name)
	b.Write(l.prefix)
	pairs(&b, fields)
	b.WriteByte('\n')
	select {
	case l.lines <- b.Bytes():
	default:
		l.dropped.Add(1)
	}
}

// DroppedLines returns the number of lines that were not written.
func (l *Log) DroppedLines() int64 { return l.dropped.Load() }

// Close writes what waits and ends the log.
func (l *Log) Close() {
	close(l.lines)
	<-l.done
}

func (l *Log) allowed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	second := int64(time.Since(l.started) / time.Second)
	if second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= linesPerSecond
}

func (l *Log) write() {
	defer close(l.done)
	reported := int64(0)
	for line := range l.lines {
		if dropped := l.dropped.Load(); dropped > reported {
			line = append(line, []byte("event=linesDropped"+string(l.prefix)+" total="+strconv.FormatInt(dropped, 10)+"\n")...)
			reported = dropped
		}
		// A log that cannot be written has nowhere to say so.
		_, _ = l.config.Writer.Write(line)
	}
}

func pairs(b *bytes.Buffer, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		b.WriteByte(' ')
		b.WriteString(fmt.Sprint(fields[i]))
		b.WriteByte('=')
		b.WriteString(quoted(text(fields[i+1])))
	}
}

func text(v any) string {
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

func quoted(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["truncated"] = runTruncated }

// runTruncated: half of the workers truncate one in fifty of their streams within an event.
// The response is sent in chunks, and its last chunk comes, so that only the event tells that
// the stream has been broken off.
func runTruncated(b *bench) (bool, error) {
	const workers, spoiling, spoiledEach = 4, 2, 50
	const streams, events = 400, 12
	b.publish(streamRoute("/verse/", true, 2))
	var spoiled atomic.Int64
	for n := range workers {
		w := &worker{id: fmt.Sprintf("i-m%d", n), service: "kowadlo", zone: []string{"dolny-a", "dolny-b"}[n%2], version: "n1", slots: 128, record: b.record, store: b.store}
		var served atomic.Int64
		w.writeStream = func(w *worker, out http.ResponseWriter, r *http.Request, first, count int) {
			id := r.Header.Get("Request-Id")
			spoil := b.trouble && n < spoiling && served.Add(1)%spoiledEach == 0
			controller := http.NewResponseController(out)
			for k := first; k <= count; k++ {
				time.Sleep(5 * time.Millisecond)
				text := eventText(w.version, k)
				if spoil && k >= first+3 {
					_, _ = fmt.Fprint(out, text[:len(text)/2])
					spoiled.Add(1)
					b.record.add("run    %s ends within event %d at %s", id, k, w.id)
					return
				}
				_, _ = fmt.Fprint(out, text)
				_ = controller.Flush()
			}
			b.record.add("run    %s ends at %s", id, w.id)
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := b.startDaemons("dolny-a", "dolny-b", "dolny-b"); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var early, whole, broken atomic.Int64
	for n := range streams {
		c := call{id: newID(), path: "/verse/2f", body: fmt.Sprint(n), prompt: fmt.Sprintf("5c1e%04x:800,91bd%04x:250", n%37, n), events: events, deadline: 15 * time.Second}
		group.Go(func() {
			r := c.send(b.record, b.daemons[n%len(b.daemons)], nil)
			switch {
			case r.status == http.StatusOK && r.complete && len(r.events) < events:
				b.record.add("client %s got a stream that ends as complete after %d of %d events", c.id, len(r.events), events)
				early.Add(1)
			case r.complete && len(r.events) == events:
				whole.Add(1)
			default:
				broken.Add(1)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	b.record.add("%d streams: %d whole, %d broken off or failed visibly, %d end as complete before their last event; workers truncated %d", streams, whole.Load(), broken.Load(), early.Load(), spoiled.Load())
	return early.Load() == 0, nil
}

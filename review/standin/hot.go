package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["hot"] = runHot }

// share counts first attempts and those of them that a worker began to answer.
type share struct{ sent, begun int }

func (s share) value() float64 { return float64(s.begun) / float64(max(s.sent, 1)) }

// runHot: one part of a prompt crashes workers. Sound requests share the caller and the first
// part with the crashing ones, and are all about one thing: they have the same target and body.
func runHot(b *bench) (bool, error) {
	const baseline, length, downtime = 8 * time.Second, 40 * time.Second, 2500 * time.Millisecond
	const perSecond, least = 30, 20
	const crashing = "c4a5c4a5"
	b.publish(streamRoute("/draft/", false, 1))
	log := &crashLog{}
	err := b.startCrashingWorkers(log, 4, 100*time.Millisecond, downtime, func(r *http.Request) bool {
		return strings.Contains(r.Header.Get("Prompt-Prefix"), crashing)
	})
	if err != nil {
		return false, err
	}
	if err := b.startDaemons("dolny-a", "dolny-b", "dolny-c"); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var group sync.WaitGroup
	var mutex sync.Mutex
	before, after := share{}, share{}
	start := time.Now()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for n := 0; time.Since(start) < length; n++ {
		<-ticker.C
		d := b.daemons[n%len(b.daemons)]
		group.Go(func() {
			sentAt := time.Now()
			c := call{id: newID(), path: "/draft/2f", body: "the verse of the day", prompt: "5c1e07a2:800,e4402b7d:250", events: 10, deadline: 15 * time.Second}
			r := c.send(b.record, d, nil)
			mutex.Lock()
			defer mutex.Unlock()
			var counted *share
			switch {
			case sentAt.Sub(start) < baseline:
				counted = &before
			case b.trouble && log.sinceLast(sentAt) > 2*contactTime, !b.trouble && sentAt.Sub(start) > length/2:
				counted = &after
			default:
				return
			}
			counted.sent++
			if r.status == http.StatusOK && len(r.events) > 0 {
				counted.begun++
			}
		})
		if time.Since(start) > baseline && n%(2*perSecond) == 0 {
			group.Go(func() {
				id := newID()
				c := call{id: id, path: "/draft/2f", body: "draft " + id, prompt: "5c1e07a2:800," + crashing + ":60," + id + ":100", events: 10, deadline: 15 * time.Second}
				c.send(b.record, d, nil)
			})
		}
	}
	group.Wait()
	b.record.add("%d crashes; of sound requests with the same key and first part %d of %d begin at the first attempt before the first crash, %d of %d later than %v after the last one, while such requests still come", len(log.crashes), before.begun, before.sent, after.begun, after.sent, 2*contactTime)
	if before.sent < least || after.sent < least {
		return false, fmt.Errorf("fewer than %d requests to compare", least)
	}
	return after.value() >= before.value()/2, nil
}

// sinceLast returns the time from the last crash until a time, or zero if there is none or a
// later one.
func (l *crashLog) sinceLast(at time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.crashes) == 0 {
		return 0
	}
	return at.Sub(l.crashes[len(l.crashes)-1])
}

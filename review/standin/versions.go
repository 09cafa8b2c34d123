package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["versions"] = runVersions }

// runVersions: workers of two software versions serve side by side. Sessions have one turn
// while only version n2 serves and a second one that begins at either version. Then the
// workers of n1 drain, and all daemons are killed at the same moment and start again. The
// clients take their streams up.
func runVersions(b *bench) (bool, error) {
	const sessions, events, maxMixed = 24, 40, 2
	b.publish(streamRoute("/verse/", true, 3))
	newWorker := func(id, zone, version string) *worker {
		return &worker{id: id, service: "kowadlo", zone: zone, version: version, slots: 128, eventInterval: 100 * time.Millisecond, record: b.record, store: b.store}
	}
	newOnes := []*worker{newWorker("i-n2a", "dolny-a", "n2"), newWorker("i-n2b", "dolny-b", "n2")}
	oldOnes := []*worker{newWorker("i-n1a", "dolny-a", "n1"), newWorker("i-n1b", "dolny-b", "n1")}
	for _, w := range newOnes {
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := b.startDaemons("dolny-a", "dolny-b", "dolny-b"); err != nil {
		return false, err
	}
	prompt := func(n int) string { return fmt.Sprintf("5c1e07a2:800,91bd%04x:250", n) }
	var group sync.WaitGroup
	failed := 0
	var mutex sync.Mutex
	for n := range sessions {
		group.Go(func() {
			c := call{id: newID(), path: "/verse/2f", body: fmt.Sprintf("turn 1 of %d", n), prompt: prompt(n), events: 3, deadline: 15 * time.Second}
			if r := c.send(b.record, b.daemons[n%len(b.daemons)], nil); !r.complete || len(r.events) != 3 {
				mutex.Lock()
				failed++
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	if failed > 0 {
		return false, fmt.Errorf("%d first turns failed", failed)
	}
	for _, w := range oldOnes {
		if err := w.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(1500 * time.Millisecond)
	// versions holds the version of each event that a session's second turn has brought.
	streams := make([][]event, sessions)
	restarted := make(chan struct{})
	for n := range sessions {
		group.Go(func() { streams[n] = secondTurn(b, n, prompt(n), events, restarted) })
	}
	time.Sleep(1500 * time.Millisecond)
	for _, w := range oldOnes {
		w.drain()
	}
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		b.record.add("all daemons are killed at the same moment")
		for _, d := range b.daemons {
			group.Go(d.kill)
		}
		time.Sleep(300 * time.Millisecond)
		if err := b.launchDaemons(); err != nil {
			return false, err
		}
	}
	close(restarted)
	group.Wait()
	mixed := 0
	for n, list := range streams {
		versions := map[string]int{}
		for _, e := range list {
			versions[e.version]++
		}
		b.record.add("session %d: events by version %v", n, versions)
		if len(versions) > 1 {
			mixed++
		}
	}
	b.record.add("%d streams hold events of two versions, %d are allowed", mixed, maxMixed)
	return mixed <= maxMixed, nil
}

// secondTurn sends a session's second turn and takes its stream up if it breaks off.
func secondTurn(b *bench, n int, prompt string, events int, restarted chan struct{}) []event {
	start := time.Now()
	first := call{id: newID(), path: "/verse/2f", body: fmt.Sprintf("turn 2 of %d", n), prompt: prompt, events: events, deadline: 15 * time.Second}
	r := first.send(b.record, b.daemons[n%len(b.daemons)], nil)
	all := r.events
	if r.complete || len(all) == 0 {
		return all
	}
	<-restarted
	for try := 0; try < 3 && time.Since(start) < 12*time.Second; try++ {
		again := first
		again.id, again.lastEvent, again.resumes = newID(), all[len(all)-1].id, first.id
		again.deadline = 15*time.Second - time.Since(start)
		r := again.send(b.record, b.daemons[(n+try+1)%len(b.daemons)], nil)
		all = append(all, r.events...)
		if r.complete && r.status == 200 {
			return all
		}
		time.Sleep(time.Second)
	}
	return all
}

package main

import (
	"fmt"
	"time"
)

// clockStep is how far the clock of the machine is ahead when the upstream first starts.
const clockStep = 2400 * time.Millisecond

// bornCase starts an upstream while the clock of its machine is ahead. The clock jumps back, and the upstream starts again
// under its id. Then it leaves, and its daemon acknowledges that.
func bornCase(p *play) int {
	p.lateServer = "lookup"
	if err := p.deploy("lookup", "entry"); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	v, entry := p.vms[0], p.vms[1]
	const id = "i-lookup-1"
	ahead := time.Duration(0)
	if p.trouble {
		ahead = clockStep
	}
	p.rec.log("the clock of %s is ahead by %v", v.name, ahead)
	if _, err := v.startServer(id, time.Now().Add(ahead), 0); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	time.Sleep(700 * time.Millisecond)
	v.server.crash()
	p.rec.log("the clock of %s is right from here on", v.name)
	time.Sleep(700 * time.Millisecond)
	s, err := v.startServer(id, time.Now(), 0)
	if err != nil {
		return p.rec.cannotRun("%v", err)
	}
	time.Sleep(5 * time.Second)
	for i := range 3 {
		entry.send("GET", "/lookup/idempotent/early", fmt.Sprintf("early-%d", i), 4*time.Second, "")
	}
	s.set(func(s *server) { s.state, s.leaving = "draining", true })
	if !s.beatOnce() {
		return p.rec.cannotRun("no acknowledgement")
	}
	acknowledged := time.Now()
	p.rec.log("the upstream has the acknowledgement that it leaves")
	time.Sleep(drainTime + 500*time.Millisecond)
	for i := range 3 {
		id := fmt.Sprintf("late-%d", i)
		entry.send("GET", "/lookup/idempotent/"+id, id, 4*time.Second, "")
	}
	late := 0
	for _, r := range s.allRuns() {
		if r.at.Sub(acknowledged) > drainTime {
			late++
		}
	}
	return p.rec.result(late > 0, "%d requests reached the upstream later than drain after the acknowledgement", late)
}

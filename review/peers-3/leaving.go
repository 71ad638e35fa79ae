package main

import (
	"fmt"
	"time"
)

// drainTime is the bound drain of the deployment.
const drainTime = 2500 * time.Millisecond

// leavingCase lets an upstream leave whose heartbeats are late, so that only its answers say so, and these are failures.
func leavingCase(p *play) int {
	if err := p.deploy("lookup", "entry"); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	s, entry := p.vms[0].server, p.vms[1]
	if a := entry.send("GET", "/lookup/idempotent/first", "first", 4*time.Second, ""); a.status != 200 {
		return p.rec.cannotRun("the first request got %d %v", a.status, a.err)
	}
	s.set(func(s *server) {
		s.leaving, s.state, s.status, s.unsigned, s.muted = true, "draining", 500, true, p.trouble
	})
	p.rec.log("the upstream leaves, its heartbeats are late: %v", p.trouble)
	if !p.trouble && !s.beatOnce() {
		return p.rec.cannotRun("the heartbeat was not acknowledged")
	}
	var passedOn time.Time
	for i := 0; i < 10; i++ {
		a := entry.send("GET", fmt.Sprintf("/lookup/idempotent/early-%d", i), fmt.Sprintf("early-%d", i), 4*time.Second, "")
		if a.header.Get("Server-Leaving") == "1" {
			passedOn = time.Now()
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.rec.log("passed on: %v", !passedOn.IsZero())
	if p.trouble && passedOn.IsZero() {
		return p.rec.cannotRun("no answer said that the upstream leaves")
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	late := 0
	for i := 0; i < 5; i++ {
		id := fmt.Sprintf("late-%d", i)
		entry.send("GET", "/lookup/idempotent/"+id, id, 4*time.Second, "")
		for _, r := range s.allRuns() {
			if r.id == id {
				late++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return p.rec.result(late > 0 && !passedOn.IsZero(), "%d requests reached the upstream later than drain after an answer with Server-Leaving was passed on", late)
}

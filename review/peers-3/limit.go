package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	contact     = 4 * time.Second
	limitWindow = 4 * time.Second
	statedLimit = 10.0
)

// limitCase lets an upstream crash while one request runs. It comes back, names a limit, and the client's request comes
// again.
func limitCase(p *play) int {
	if err := p.deploy("lookup", "entry"); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	v, entry := p.vms[0], p.vms[1]
	s := v.server
	if p.trouble {
		s.set(func(s *server) { s.work = 10 * time.Second })
		go entry.send("GET", "/lookup/idempotent/slow", "slow-1", 5*time.Second, "")
		time.Sleep(500 * time.Millisecond)
		s.crash()
		time.Sleep(2 * time.Second)
		n, err := v.startServer("i-lookup-again", time.Now(), 0)
		if err != nil {
			return p.rec.cannotRun("%v", err)
		}
		s = n
		time.Sleep(2 * time.Second)
	}
	s.set(func(s *server) { s.limit = fmt.Sprint(statedLimit) })
	var wg sync.WaitGroup
	passedOn := time.Time{}
	var mu sync.Mutex
	begin := time.Now()
	for i := 0; time.Since(begin) < 24*time.Second; i++ {
		id := fmt.Sprintf("n-%d", i)
		wg.Go(func() {
			a := entry.send("GET", "/lookup/idempotent/"+id, id, 5*time.Second, "")
			mu.Lock()
			defer mu.Unlock()
			if a.header.Get("Server-Limit") != "" && passedOn.IsZero() {
				passedOn = time.Now()
			}
		})
		if i == 80 {
			wg.Go(func() { p.sendAgain(entry, s) })
		}
		time.Sleep(110 * time.Millisecond)
	}
	wg.Wait()
	from := passedOn.Add(contact)
	var at []time.Time
	for _, r := range s.allRuns() {
		if r.at.After(from) {
			at = append(at, r.at)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most := 0
	for i := range at {
		n := 0
		for j := i; j < len(at) && at[j].Sub(at[i]) < limitWindow; j++ {
			n++
		}
		most = max(most, n)
	}
	allowed := 1.5*statedLimit*limitWindow.Seconds() + 5
	return p.rec.result(float64(most) > allowed, "%d requests in some 4 s, allowed %.0f", most, allowed)
}

// sendAgain sends the request that was running at the crash again, once more after each refusal.
func (p *play) sendAgain(entry *vm, s *server) {
	for i := range 5 {
		id := fmt.Sprintf("slow-again-%d", i)
		s.set(func(s *server) { s.slowID = id })
		if a := entry.send("GET", "/lookup/idempotent/slow", id, 5*time.Second, ""); a.status == 200 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

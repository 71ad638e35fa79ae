package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"guavapoint.example/guavapoint/internal/standin/proxy"
)

// fault is one thing that goes wrong, or planned work. It returns when it is over.
type fault struct {
	name string
	run  func(s *site, n *node, rng *rand.Rand)
}

// plannedWork must cut nothing off.
var plannedWork = []fault{
	{"stop", func(s *site, n *node, _ *rand.Rand) {
		if !s.stopping.TryLock() {
			return // one at a time, since each service has two upstreams
		}
		defer s.stopping.Unlock()
		n.stop()
		s.awaitReady(n)
	}},
	{"stop twice", func(s *site, n *node, rng *rand.Rand) {
		if !s.stopping.TryLock() {
			return
		}
		defer s.stopping.Unlock()
		ended := n.signal(syscall.SIGTERM)
		time.Sleep(upTo(rng, 1500))
		n.signal(syscall.SIGTERM)
		n.signal(syscall.SIGHUP)
		<-ended
		n.start()
		s.awaitReady(n)
	}},
	{"reload", func(_ *site, n *node, _ *rand.Rand) { n.signal(syscall.SIGHUP) }},
	{"configure", func(s *site, _ *node, _ *rand.Rand) { s.configure() }},
	{"replace", func(s *site, n *node, rng *rand.Rand) {
		if !s.stopping.TryLock() {
			return
		}
		defer s.stopping.Unlock()
		s.replace(n, rng)
	}},
}

// unplanned faults. Each heals by itself.
var unplanned = []fault{
	{"pause", func(_ *site, n *node, rng *rand.Rand) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(upTo(rng, 2500))
		n.signal(syscall.SIGCONT)
	}},
	{"kill", func(_ *site, n *node, rng *rand.Rand) {
		<-n.signal(syscall.SIGKILL)
		time.Sleep(upTo(rng, 1000))
		n.start()
	}},
	{"kill a starting daemon", func(_ *site, n *node, rng *rand.Rand) {
		for range 3 {
			n.kill()
			time.Sleep(upTo(rng, 300))
		}
	}},
	{"stop while paused", func(_ *site, n *node, rng *rand.Rand) {
		n.signal(syscall.SIGSTOP)
		ended := n.signal(syscall.SIGTERM)
		time.Sleep(upTo(rng, 1500))
		n.signal(syscall.SIGCONT)
		select {
		case <-ended:
		case <-time.After(killAfter):
			<-n.signal(syscall.SIGKILL)
		}
		n.start()
	}},
	{"silence peers", func(_ *site, n *node, _ *rand.Rand) { n.peers.BlackholeExisting() }},
	{"silence backend", func(_ *site, n *node, _ *rand.Rand) { n.work.BlackholeExisting() }},
	{"silence store", func(_ *site, n *node, _ *rand.Rand) { n.store.BlackholeExisting() }},
	{"reset peers", func(_ *site, n *node, _ *rand.Rand) { n.peers.ResetAll() }},
	{"reset backend", func(_ *site, n *node, _ *rand.Rand) { n.work.ResetAll() }},
	{"cut peers one way", func(_ *site, n *node, rng *rand.Rand) {
		n.peers.SetBlackhole([]proxy.Direction{proxy.ClientToServer, proxy.ServerToClient, proxy.Both}[rng.IntN(3)])
		time.Sleep(upTo(rng, 2000))
		n.peers.SetBlackhole(0)
	}},
	{"delay peers", func(_ *site, n *node, rng *rand.Rand) {
		n.peers.SetDelay(upTo(rng, 150))
		time.Sleep(upTo(rng, 2000))
		n.peers.SetDelay(0)
	}},
	{"refuse peers", func(_ *site, n *node, rng *rand.Rand) {
		n.peers.SetRejectNew(true)
		time.Sleep(upTo(rng, 1500))
		n.peers.SetRejectNew(false)
	}},
	{"turned away by the store", func(_ *site, n *node, rng *rand.Rand) {
		n.store.SetRejectNew(true)
		n.store.ResetAll()
		time.Sleep(upTo(rng, 3000))
		n.store.SetRejectNew(false)
	}},
	{"store down", func(s *site, _ *node, rng *rand.Rand) {
		s.store.SetDown(true)
		time.Sleep(upTo(rng, 3000))
		s.store.SetDown(false)
	}},
	{"store slow", func(s *site, _ *node, rng *rand.Rand) {
		s.store.SetDelay(upTo(rng, 400))
		time.Sleep(upTo(rng, 2000))
		s.store.SetDelay(0)
	}},
	{"store loses answers", func(s *site, _ *node, rng *rand.Rand) { s.store.LoseResponses(1 + rng.IntN(3)) }},
	{"store forgets", func(s *site, _ *node, _ *rand.Rand) { s.store.Compact() }},
	{"answers lost", func(_ *site, n *node, rng *rand.Rand) {
		n.backend.losing.Store(int64(50 + rng.IntN(8)))
		time.Sleep(upTo(rng, 1500))
		n.backend.losing.Store(0)
	}},
	{"backend crash", func(_ *site, n *node, rng *rand.Rand) {
		n.backend.setState("gone")
		n.work.SetRejectNew(true)
		n.work.ResetAll()
		time.Sleep(upTo(rng, 1500))
		n.backend.restart()
		n.work.SetRejectNew(false)
	}},
}

// upTo returns a random time of at most so many milliseconds.
func upTo(rng *rand.Rand, ms int) time.Duration {
	return time.Duration(1+rng.IntN(ms)) * time.Millisecond
}

// replace lets a backend server leave and starts a new instance, as a release does.
func (s *site) replace(n *node, rng *rand.Rand) {
	n.backend.setState("draining")
	for range 20 {
		time.Sleep(heartbeatInterval / 2)
		n.backend.mu.Lock()
		left := n.backend.left
		n.backend.mu.Unlock()
		if !left.IsZero() {
			break
		}
	}
	time.Sleep(drainBound + upTo(rng, 700)) // it goes on serving what it has
	n.backend.restart()
	s.awaitReady(n)
}

// inject runs faults at random times, some of them at once, until the time is over. It returns when all have healed.
func (s *site) inject(faults []fault, rng *rand.Rand, length time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := faults[rng.IntN(len(faults))]
		n := s.nodes[rng.IntN(len(s.nodes))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		s.note(fmt.Sprintf("%s at %s", f.name, n.name))
		running.Go(func() { f.run(s, n, own) })
		time.Sleep(upTo(rng, 500))
	}
	running.Wait()
}

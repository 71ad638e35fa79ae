package experiment

import (
	"math/rand/v2"

	"guavapoint.example/guavapoint/internal/core/call"
)

// naiveRetries is how many times each hop of the naive system repeats a failed call. The design allows the same number
// to a whole request.
const naiveRetries = 3

// naiveSystem is a deployment without daemons: FIFO queues, a timeout and retries at each hop, no load shedding.
type naiveSystem struct {
	*network
	faults  *faults
	rng     *rand.Rand
	servers map[string][]*server
}

// server is a backend server with an unbounded FIFO queue.
type server struct {
	sys     *naiveSystem
	service *Service
	zone    zone
	leaving bool
	running int
	queue   []func() // each starts one request
}

func newNaiveSystem(n *network, f *faults, rng *rand.Rand) *naiveSystem {
	sys := &naiveSystem{network: n, faults: f, rng: rng, servers: map[string][]*server{}}
	for i := range n.deployment.Services {
		s := &n.deployment.Services[i]
		for u := range s.Upstreams {
			z := zone(u % (regions * zonesPerRegion))
			sys.servers[s.Name] = append(sys.servers[s.Name], &server{sys: sys, service: s, zone: z})
		}
	}
	return sys
}

func (sys *naiveSystem) setLeaving(region int, leaving bool) {
	for name, group := range sys.servers {
		for _, s := range group {
			s.leaving = leaving && s.zone.region() == region && name != sys.deployment.Bottleneck
		}
	}
}

func (sys *naiveSystem) submit(from zone, r *request, reply func(callResult)) {
	sys.after(sys.deployment.ClientDelay, func() {
		sys.call(from, r, 0, 0, func(res callResult) {
			sys.after(sys.deployment.ClientDelay, func() { reply(res) })
		})
	})
}

// call calls the service of the given hop and repeats the call when it fails or times out. A call that timed out goes
// on at its server, which has no deadline. attempt is the number of calls made before on this hop.
func (sys *naiveSystem) call(from zone, r *request, hop, attempt int, done func(callResult)) {
	to := sys.pickServer(r.op.Chain[hop], from)
	ended := false
	end := func(res callResult) {
		if ended {
			return
		}
		ended = true
		if res.succeeded() || attempt == naiveRetries {
			done(res)
			return
		}
		r.retries++
		sys.call(from, r, hop, attempt+1, done)
	}
	sys.after(timeout, func() { end(callResult{reason: call.ReasonTimeout}) })
	sys.send(from, to.zone, r.bytes(hop), func() {
		to.serve(r, hop, func(res callResult) {
			sys.send(to.zone, from, res.bytes(r.op), func() { end(res) })
		})
	})
}

// pickServer returns a random server of the caller's region, or of any region if none is serving there.
func (sys *naiveSystem) pickServer(service string, from zone) *server {
	var sameRegion, all []*server
	for _, s := range sys.servers[service] {
		if s.leaving {
			continue
		}
		all = append(all, s)
		if s.zone.region() == from.region() {
			sameRegion = append(sameRegion, s)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion[sys.rng.IntN(len(sameRegion))]
	}
	return all[sys.rng.IntN(len(all))]
}

// serve queues a request and starts it when a slot is free.
func (s *server) serve(r *request, hop int, reply func(callResult)) {
	s.queue = append(s.queue, func() { s.run(r, hop, reply) })
	s.startQueued()
}

// startQueued starts queued requests while slots are free.
func (s *server) startQueued() {
	for s.running < s.service.Slots && len(s.queue) > 0 {
		do := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.running++
		do()
	}
}

// run spends the self time of a request and makes its child call, if any. The slot is held until the result is known.
func (s *server) run(r *request, hop int, reply func(callResult)) {
	finish := func(res callResult) {
		s.running--
		reply(res)
		s.startQueued()
	}
	s.sys.after(randomSelfTime(s.sys.rng, s.service.MeanSelfTime, s.sys.faults.slowdownFactor(s.service.Name)), func() {
		if hop+1 == len(r.op.Chain) {
			finish(callResult{outcome: call.OutcomeAnswered})
			return
		}
		s.sys.call(s.zone, r, hop+1, 0, func(res callResult) {
			if !res.succeeded() {
				res = callResult{outcome: call.OutcomeAnswered, failed: true, reason: res.reason}
			}
			finish(res)
		})
	})
}

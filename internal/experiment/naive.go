package experiment

import (
	"math/rand/v2"

	"guavapoint.example/guavapoint/internal/core/call"
)

// naiveRetries is how often each hop of the naive system repeats a failed call: the same number that the design gives
// to a whole request.
const naiveRetries = 3

// naive is a deployment without daemons: FIFO queues, a timeout and retries at each hop, no shedding.
type naive struct {
	*network
	faults  *faults
	rng     *rand.Rand
	servers map[string][]*server
}

// server is a backend server with an unbounded queue.
type server struct {
	n       *naive
	service *Service
	at      place
	leaving bool
	running int
	queue   []func()
}

func newNaive(n *network, f *faults, rng *rand.Rand) *naive {
	v := &naive{network: n, faults: f, rng: rng, servers: map[string][]*server{}}
	for i := range n.d.Services {
		s := &n.d.Services[i]
		for u := range s.Upstreams {
			at := place(u % (regions * zonesPerRegion))
			v.servers[s.Name] = append(v.servers[s.Name], &server{n: v, service: s, at: at})
		}
	}
	return v
}

func (v *naive) setLeaving(region int, leaving bool) {
	for name, group := range v.servers {
		for _, s := range group {
			s.leaving = leaving && s.at.region() == region && name != v.d.Bottleneck
		}
	}
}

func (v *naive) submit(from place, r *request, reply func(result)) {
	v.after(v.d.ClientDelay, func() {
		v.call(from, r, 0, 0, func(res result) {
			v.after(v.d.ClientDelay, func() { reply(res) })
		})
	})
}

// call sends to a random server of the region and repeats the call when it fails or times out.
func (v *naive) call(from place, r *request, hop, attempt int, done func(result)) {
	to := v.choose(r.op.Chain[hop], from)
	ended := false
	end := func(res result) {
		if ended {
			return
		}
		ended = true
		if res.good() || attempt == naiveRetries {
			done(res)
			return
		}
		r.retries++
		v.call(from, r, hop, attempt+1, done)
	}
	v.after(timeout, func() { end(result{reason: call.ReasonTimeout}) })
	v.send(from, to.at, r.bytes(hop), func() {
		to.serve(r, hop, func(res result) {
			v.send(to.at, from, res.bytes(r.op), func() { end(res) })
		})
	})
}

func (v *naive) choose(service string, from place) *server {
	var near, all []*server
	for _, s := range v.servers[service] {
		if s.leaving {
			continue
		}
		all = append(all, s)
		if s.at.region() == from.region() {
			near = append(near, s)
		}
	}
	if len(near) > 0 {
		return near[v.rng.IntN(len(near))]
	}
	return all[v.rng.IntN(len(all))]
}

func (s *server) serve(r *request, hop int, reply func(result)) {
	s.queue = append(s.queue, func() { s.run(r, hop, reply) })
	s.next()
}

func (s *server) next() {
	for s.running < s.service.Slots && len(s.queue) > 0 {
		do := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.running++
		do()
	}
}

func (s *server) run(r *request, hop int, reply func(result)) {
	finish := func(res result) {
		s.running--
		reply(res)
		s.next()
	}
	s.n.after(ownTime(s.n.rng, s.service.Own, s.n.faults.factor(s.service.Name)), func() {
		if hop+1 == len(r.op.Chain) {
			finish(result{outcome: call.OutcomeAnswered})
			return
		}
		s.n.call(s.at, r, hop+1, 0, func(res result) {
			if !res.good() {
				res = result{outcome: call.OutcomeAnswered, failed: true, reason: res.reason}
			}
			finish(res)
		})
	})
}

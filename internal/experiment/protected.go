package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
)

// reservedShare is the reserved share of slots of the preset "ordinary" in the design.
const reservedShare = 0.1

// protectedSystem is a deployment with a daemon beside each backend server.
type protectedSystem struct {
	*network
	faults  *faults
	rng     *rand.Rand
	daemons []*daemon
	byAddr  map[string]*daemon // by candidate.Address
}

// daemon is the daemon of one upstream together with its backend server.
type daemon struct {
	sys           *protectedSystem
	service       *Service
	candidate     routing.Candidate
	zone          zone
	leaving       bool // refuses calls from other daemons, and is still an entry daemon
	controller    *admission.Controller
	pickers       map[string]*routing.Picker // by called service, like ratioLimiters
	ratioLimiters map[string]*retry.RatioLimiter
	pending       map[uint64]*pendingRequest // by request ID
	nextID        uint64
}

// pendingRequest is a request at its upstream, waiting for a slot or running.
type pendingRequest struct {
	req         *request
	hop         int
	retryBudget *retry.Budget // for the child calls of this request
	selfTime    time.Duration
	reply       func(callResult)
}

func newProtectedSystem(n *network, f *faults, rng *rand.Rand) *protectedSystem {
	sys := &protectedSystem{network: n, faults: f, rng: rng, byAddr: map[string]*daemon{}}
	for i := range n.deployment.Services {
		for u := range n.deployment.Services[i].Upstreams {
			sys.addDaemon(&n.deployment.Services[i], u)
		}
	}
	sys.updateAll()
	for _, d := range sys.daemons {
		sys.after(time.Duration(rng.Int64N(int64(admission.TickInterval))), d.tick)
	}
	return sys
}

func (sys *protectedSystem) addDaemon(s *Service, index int) {
	z := zone(index % (regions * zonesPerRegion))
	d := &daemon{
		sys: sys, service: s, zone: z, pending: map[uint64]*pendingRequest{},
		controller: admission.New(admission.Config{Slots: s.Slots, ReservedShare: reservedShare}),
		pickers:    map[string]*routing.Picker{}, ratioLimiters: map[string]*retry.RatioLimiter{},
		candidate: routing.Candidate{
			Address: fmt.Sprintf("%s-%d", s.Name, index), Incarnation: 1, Zone: fmt.Sprint(z),
			Region: fmt.Sprint(z.region()), Slots: s.Slots, ServingSince: fakeEpoch.Add(-time.Hour),
		},
	}
	link := routing.NewLink(routing.LinkConfig{
		// Each daemon has an equal part, so that all daemons of a region together can fill the link.
		BytesPerSecond: int64(sys.deployment.LinkRate / (float64(sys.deployment.daemonCount()) / regions)),
		UploadShare:    routing.DefaultUploadShare,
	})
	for _, other := range sys.deployment.Services {
		cfg := routing.Config{Zone: d.candidate.Zone, Region: d.candidate.Region, Link: link}
		d.pickers[other.Name] = routing.NewPicker(cfg, sys.rng)
		d.ratioLimiters[other.Name] = retry.NewRatioLimiter(retry.RatioLimiterConfig{Ratio: retry.DefaultRatio})
	}
	sys.daemons = append(sys.daemons, d)
	sys.byAddr[d.candidate.Address] = d
}

// updateAll passes the serving upstreams to all pickers.
func (sys *protectedSystem) updateAll() {
	serving := map[string][]routing.Candidate{}
	for _, d := range sys.daemons {
		if !d.leaving {
			serving[d.service.Name] = append(serving[d.service.Name], d.candidate)
		}
	}
	for _, d := range sys.daemons {
		for name, p := range d.pickers {
			p.Update(sys.time(), serving[name])
		}
	}
}

// setLeaving drains the backend servers of a region except those of the bottleneck, or starts them again as new
// incarnations. Their daemons stay entry daemons meanwhile.
func (sys *protectedSystem) setLeaving(region int, leaving bool) {
	for _, d := range sys.daemons {
		if d.zone.region() != region || d.service.Name == sys.deployment.Bottleneck {
			continue
		}
		d.leaving = leaving
		if !leaving {
			d.candidate.Incarnation++
			d.candidate.ServingSince = sys.time()
		}
	}
	sys.updateAll()
}

// submit sends a request to a random daemon of the caller's region, its entry daemon.
func (sys *protectedSystem) submit(from zone, r *request, reply func(callResult)) {
	entry := sys.daemons[sys.rng.IntN(len(sys.daemons))]
	for entry.zone.region() != from.region() {
		entry = sys.daemons[sys.rng.IntN(len(sys.daemons))]
	}
	sys.after(sys.deployment.ClientDelay, func() {
		budget := retry.NewBudget(retry.DefaultBudget)
		entry.call(r, 0, budget, nil, 0, func(res callResult) {
			sys.after(sys.deployment.ClientDelay, func() { reply(res) })
		})
	})
}

// tick runs the periodic part of admission and schedules the next tick.
func (d *daemon) tick() {
	d.apply(d.controller.Tick(d.sys.time()))
	d.sys.after(admission.TickInterval, d.tick)
}

// call calls the service of the given hop, with retries while the budget and the ratio limiter allow them. exclude
// holds the addresses that were called before on this hop, and attempt is their number.
func (d *daemon) call(r *request, hop int, budget *retry.Budget, exclude []string, attempt int, done func(callResult)) {
	name := r.op.Chain[hop]
	picker, ratioLimiter := d.pickers[name], d.ratioLimiters[name]
	if d.sys.now >= r.deadline {
		done(callResult{reason: call.ReasonTimeout})
		return
	}
	info := routing.PickInfo{Rank: r.rank, Bytes: r.bytes(hop), Upload: r.op.Upload && hop == 0, Exclude: exclude}
	chosen, err := picker.Pick(d.sys.time(), info)
	if err != nil {
		done(callResult{outcome: call.OutcomeNotRun, reason: reasonOf(err)})
		return
	}
	if attempt == 0 {
		ratioLimiter.RecordFirst(d.sys.time())
	}
	sent := d.sys.now
	to := d.sys.byAddr[chosen.Address]
	granted := budget.Grant()
	d.sys.send(d.zone, to.zone, info.Bytes, func() {
		chosen.Charge.Sent(d.sys.time(), int(info.Bytes))
		to.serve(r, hop, granted, func(res callResult) {
			d.sys.send(to.zone, d.zone, res.bytes(r.op), func() {
				budget.Return(res.unusedRetries)
				chosen.Charge.Received(d.sys.time(), int(res.bytes(r.op)))
				chosen.Charge.End(d.sys.time())
				picker.Done(d.sys.time(), chosen.Address, routing.DoneInfo{
					Latency: d.sys.now - sent, Outcome: res.outcome, Reason: res.reason, Cutoff: res.cutoff,
				})
				if !retryAllowed(r, res) || budget.Remaining() == 0 ||
					!ratioLimiter.AllowClass(d.sys.time(), r.rank.Class()) || !budget.Spend() {
					done(res)
					return
				}
				r.retries++
				d.sys.after(retry.Backoff(attempt+1, d.sys.rng), func() {
					d.call(r, hop, budget, append(exclude, chosen.Address), attempt+1, done)
				})
			})
		})
	})
}

// reasonOf returns the reason for which a call was not sent, from the error of routing.Picker.Pick.
func reasonOf(err error) call.Reason {
	switch {
	case errors.Is(err, routing.ErrBelowCutoff):
		return call.ReasonOverload
	case errors.Is(err, routing.ErrLinkBudget):
		return call.ReasonLinkBudget
	default:
		return call.ReasonNoUpstream
	}
}

// retryAllowed reports whether a call with this result may be repeated: never if it was answered, only for an overload
// or a leaving upstream if it was not run, and only if the operation is idempotent if it may have run.
func retryAllowed(r *request, res callResult) bool {
	switch res.outcome {
	case call.OutcomeAnswered:
		return false
	case call.OutcomeNotRun:
		return res.reason == call.ReasonOverload || res.reason == call.ReasonLeaving
	default:
		return r.op.Idempotent
	}
}

// serve offers an arriving request with its granted retries to admission, or refuses it if the daemon is leaving.
func (d *daemon) serve(r *request, hop, retries int, reply func(callResult)) {
	if d.leaving {
		reply(callResult{outcome: call.OutcomeNotRun, reason: call.ReasonLeaving, unusedRetries: retries})
		return
	}
	d.nextID++
	d.pending[d.nextID] = &pendingRequest{req: r, hop: hop, retryBudget: retry.NewBudget(retries), reply: reply}
	offered := admission.Request{ID: d.nextID, Rank: r.rank, Deadline: fakeEpoch.Add(r.deadline)}
	d.apply(d.controller.Offer(d.sys.time(), offered))
}

// apply starts the requests that admission has admitted and refuses those that it has shed.
func (d *daemon) apply(decisions []admission.Decision) {
	for _, decision := range decisions {
		if decision.Kind == admission.Admitted {
			d.start(decision.ID)
		} else {
			d.respond(decision.ID, callResult{outcome: call.OutcomeNotRun, reason: decision.Reason})
		}
	}
}

// start spends the self time of a request and then makes its child call, if any. The slot is held until finish.
func (d *daemon) start(id uint64) {
	p := d.pending[id]
	p.selfTime = randomSelfTime(d.sys.rng, d.service.MeanSelfTime, d.sys.faults.slowdownFactor(d.service.Name))
	d.sys.after(p.selfTime, func() {
		if p.hop+1 == len(p.req.op.Chain) {
			d.finish(id, callResult{outcome: call.OutcomeAnswered})
			return
		}
		d.call(p.req, p.hop+1, p.retryBudget, nil, 0, func(res callResult) { d.finish(id, res) })
	})
}

// finish frees the slot, responds and applies the decisions that follow. A backend server whose child call failed
// answers with an error.
func (d *daemon) finish(id uint64, res callResult) {
	if res.outcome != call.OutcomeAnswered {
		res = callResult{outcome: call.OutcomeAnswered, failed: true, reason: res.reason}
	}
	p := d.pending[id]
	decisions := d.controller.Done(d.sys.time(), id, admission.Sample{SelfTime: p.selfTime})
	d.respond(id, res)
	d.apply(decisions)
}

// respond removes a pending request and returns the result to the calling daemon, with the unused retries and the
// cutoff.
func (d *daemon) respond(id uint64, res callResult) {
	p := d.pending[id]
	delete(d.pending, id)
	res.unusedRetries = p.retryBudget.Remaining()
	res.cutoff = d.controller.Cutoff(d.sys.time())
	p.reply(res)
}

package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
)

// reservedShare is that of the preset "ordinary" in the design.
const reservedShare = 0.1

// guarded is a deployment with a daemon beside each backend server.
type guarded struct {
	*network
	faults  *faults
	rng     *rand.Rand
	daemons []*daemon
	byAddr  map[string]*daemon
}

// daemon is one upstream's daemon with its backend server.
type daemon struct {
	g        *guarded
	service  *Service
	self     routing.Candidate
	at       place
	leaving  bool
	control  *admission.Controller
	pickers  map[string]*routing.Picker
	ratios   map[string]*retry.RatioLimiter
	admitted map[uint64]*run
	nextID   uint64
}

// run is a request at its upstream, waiting or running.
type run struct {
	req     *request
	hop     int
	account *retry.Budget
	own     time.Duration
	reply   func(result)
}

func newGuarded(n *network, f *faults, rng *rand.Rand) *guarded {
	g := &guarded{network: n, faults: f, rng: rng, byAddr: map[string]*daemon{}}
	for i := range n.d.Services {
		for u := range n.d.Services[i].Upstreams {
			g.add(&n.d.Services[i], u)
		}
	}
	g.updateAll()
	for _, d := range g.daemons {
		g.after(time.Duration(rng.Int64N(int64(admission.TickInterval))), d.tick)
	}
	return g
}

func (g *guarded) add(s *Service, number int) {
	at := place(number % (regions * zonesPerRegion))
	d := &daemon{
		g: g, service: s, at: at, admitted: map[uint64]*run{},
		control: admission.New(admission.Config{Slots: s.Slots, ReservedShare: reservedShare}),
		pickers: map[string]*routing.Picker{}, ratios: map[string]*retry.RatioLimiter{},
		self: routing.Candidate{
			Address: fmt.Sprintf("%s-%d", s.Name, number), Incarnation: 1, Zone: fmt.Sprint(at),
			Region: fmt.Sprint(at.region()), Slots: s.Slots, ServingSince: start.Add(-time.Hour),
		},
	}
	link := routing.NewLink(routing.LinkConfig{
		// All daemons of a region together may fill the link.
		BytesPerSecond: int64(g.d.LinkRate / (float64(g.d.daemons()) / regions)),
		UploadShare:    routing.DefaultUploadShare,
	})
	for _, other := range g.d.Services {
		cfg := routing.Config{Zone: d.self.Zone, Region: d.self.Region, Link: link}
		d.pickers[other.Name] = routing.NewPicker(cfg, g.rng)
		d.ratios[other.Name] = retry.NewRatioLimiter(retry.RatioLimiterConfig{Ratio: retry.DefaultRatio})
	}
	g.daemons = append(g.daemons, d)
	g.byAddr[d.self.Address] = d
}

// updateAll gives all pickers the serving upstreams.
func (g *guarded) updateAll() {
	serving := map[string][]routing.Candidate{}
	for _, d := range g.daemons {
		if !d.leaving {
			serving[d.service.Name] = append(serving[d.service.Name], d.self)
		}
	}
	for _, d := range g.daemons {
		for name, p := range d.pickers {
			p.Update(g.time(), serving[name])
		}
	}
}

// setLeaving drains the backend servers of a region except those of the bottleneck, or starts them again. Their daemons
// go on as entry daemons.
func (g *guarded) setLeaving(region int, leaving bool) {
	for _, d := range g.daemons {
		if d.at.region() != region || d.service.Name == g.d.Bottleneck {
			continue
		}
		d.leaving = leaving
		if !leaving {
			d.self.Incarnation++
			d.self.ServingSince = g.time()
		}
	}
	g.updateAll()
}

// submit enters at any daemon of the caller's region.
func (g *guarded) submit(from place, r *request, reply func(result)) {
	entry := g.daemons[g.rng.IntN(len(g.daemons))]
	for entry.at.region() != from.region() {
		entry = g.daemons[g.rng.IntN(len(g.daemons))]
	}
	g.after(g.d.ClientDelay, func() {
		account := retry.NewBudget(retry.DefaultBudget)
		entry.call(r, 0, account, nil, 0, func(res result) {
			g.after(g.d.ClientDelay, func() { reply(res) })
		})
	})
}

func (d *daemon) tick() {
	d.apply(d.control.Tick(d.g.time()))
	d.g.after(admission.TickInterval, d.tick)
}

// call sends a request to the service of the given hop, with retries.
func (d *daemon) call(r *request, hop int, account *retry.Budget, exclude []string, attempt int, done func(result)) {
	name := r.op.Chain[hop]
	picker, ratio := d.pickers[name], d.ratios[name]
	if d.g.now >= r.deadline {
		done(result{reason: call.ReasonTimeout})
		return
	}
	q := routing.PickInfo{Rank: r.rank, Bytes: r.bytes(hop), Upload: r.op.Upload && hop == 0, Exclude: exclude}
	chosen, err := picker.Pick(d.g.time(), q)
	if err != nil {
		done(result{outcome: call.OutcomeNotRun, reason: reasonOf(err)})
		return
	}
	if attempt == 0 {
		ratio.RecordFirst(d.g.time())
	}
	sent := d.g.now
	to := d.g.byAddr[chosen.Address]
	part := account.Grant()
	d.g.send(d.at, to.at, q.Bytes, func() {
		to.serve(r, hop, part, func(res result) {
			d.g.send(to.at, d.at, res.bytes(r.op), func() {
				account.Return(res.unspent)
				picker.Done(d.g.time(), chosen.Address, routing.DoneInfo{
					Latency: d.g.now - sent, Outcome: res.outcome, Reason: res.reason, Cutoff: res.cutoff,
					Bytes: res.bytes(r.op),
				})
				if !repeatable(r, res) || account.Remaining() == 0 || !ratio.AllowClass(d.g.time(), r.rank.Class()) || !account.Spend() {
					done(res)
					return
				}
				r.retries++
				d.g.after(retry.Backoff(attempt+1, d.g.rng), func() {
					d.call(r, hop, account, append(exclude, chosen.Address), attempt+1, done)
				})
			})
		})
	})
}

func reasonOf(err error) call.Reason {
	switch err {
	case routing.ErrBelowCutoff:
		return call.ReasonOverload
	case routing.ErrLinkBudget:
		return call.ReasonLinkBudget
	default:
		return call.ReasonNoUpstream
	}
}

func repeatable(r *request, res result) bool {
	switch res.outcome {
	case call.OutcomeAnswered:
		return false
	case call.OutcomeNotRun:
		return res.reason == call.ReasonOverload || res.reason == call.ReasonLeaving
	default:
		return r.op.Idempotent
	}
}

// serve offers an arriving request to admission.
func (d *daemon) serve(r *request, hop, retries int, reply func(result)) {
	if d.leaving {
		reply(result{outcome: call.OutcomeNotRun, reason: call.ReasonLeaving, unspent: retries})
		return
	}
	d.nextID++
	d.admitted[d.nextID] = &run{req: r, hop: hop, account: retry.NewBudget(retries), reply: reply}
	ticket := admission.Request{ID: d.nextID, Rank: r.rank, Deadline: start.Add(r.deadline)}
	d.apply(d.control.Offer(d.g.time(), ticket))
}

func (d *daemon) apply(effects []admission.Decision) {
	for _, e := range effects {
		if e.Kind == admission.Admitted {
			d.start(e.ID)
		} else {
			d.end(e.ID, result{outcome: call.OutcomeNotRun, reason: e.Reason})
		}
	}
}

// start runs the own part of a request, then its child call.
func (d *daemon) start(id uint64) {
	x := d.admitted[id]
	x.own = ownTime(d.g.rng, d.service.Own, d.g.faults.factor(d.service.Name))
	d.g.after(x.own, func() {
		if x.hop+1 == len(x.req.op.Chain) {
			d.finish(id, result{outcome: call.OutcomeAnswered})
			return
		}
		d.call(x.req, x.hop+1, x.account, nil, 0, func(res result) { d.finish(id, res) })
	})
}

// finish frees the slot. A backend server whose child call failed answers with an error.
func (d *daemon) finish(id uint64, res result) {
	if res.outcome != call.OutcomeAnswered {
		res = result{outcome: call.OutcomeAnswered, failed: true, reason: res.reason}
	}
	x := d.admitted[id]
	effects := d.control.Done(d.g.time(), id, admission.Sample{SelfTime: x.own})
	d.end(id, res)
	d.apply(effects)
}

func (d *daemon) end(id uint64, res result) {
	x := d.admitted[id]
	delete(d.admitted, id)
	res.unspent = x.account.Remaining()
	res.cutoff = d.control.Cutoff(d.g.time())
	x.reply(res)
}

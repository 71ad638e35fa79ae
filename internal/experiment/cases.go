package experiment

import (
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Case is one overload. It begins after a time of ordinary demand and is followed by one.
type Case struct {
	Name    string
	Demand  float64       // during the trigger, as a multiple of the bottleneck's capacity
	Base    float64       // before and after it
	Slow    float64       // factor on the own time of the bottleneck during the trigger; 0 means 1
	Hard    bool          // callers retry hard
	Link    bool          // the first region loses its backend servers above the bottleneck
	Trigger time.Duration // length of the trigger
}

// base is the ordinary demand as a part of the bottleneck's capacity.
const base = 0.7

// Cases returns the overloads of the experiment.
func Cases() []Case {
	return []Case{
		{Name: "demand-1x", Demand: 1, Base: base, Trigger: 10 * time.Second},
		{Name: "demand-2x", Demand: 2, Base: base, Trigger: 10 * time.Second},
		{Name: "demand-4x", Demand: 4, Base: base, Trigger: 10 * time.Second},
		{Name: "demand-10x", Demand: 10, Base: base, Trigger: 10 * time.Second},
		{Name: "deep-slow-5x", Demand: base, Base: base, Slow: 5, Trigger: 30 * time.Second},
		{Name: "hard-retries", Demand: 2, Base: base, Hard: true, Trigger: 10 * time.Second},
		{Name: "slow-and-hard-retries", Demand: base, Base: base, Slow: 5, Hard: true, Trigger: 30 * time.Second},
		// The remaining region can run the demand of both, so that the link is the bottleneck.
		{Name: "link-saturated", Demand: 0.4, Base: 0.4, Link: true, Trigger: 10 * time.Second},
	}
}

const (
	warmUp  = 5 * time.Second
	former  = 5 * time.Second // measured before the trigger
	horizon = 15 * time.Second
	// recoveryWindow and recoveryShare define recovery: from then on, the goodput of each window reaches the share of
	// its former level.
	recoveryWindow = 500 * time.Millisecond
	recoveryShare  = 0.95
)

// Report holds the measured figures of one run.
type Report struct {
	GoodputOfIdeal float64
	Recovery       time.Duration // at most horizon, which means that goodput had not recovered by then
	TopClassShed   float64
	MaxRetries     int
	Good, Ideal    [call.NumClasses]float64 // requests per second during the trigger
}

// Run runs one case. With guard false it runs the naive system.
func Run(d Deployment, c Case, guard bool, seed uint64) Report {
	rng := rand.New(rand.NewPCG(seed, 1))
	network := &network{clock: &clock{}, d: &d}
	f := &faults{slow: map[string]float64{}}
	var sys system
	if guard {
		sys = newGuarded(network, f, rng)
	} else {
		sys = newNaive(network, f, rng)
	}
	capacity := d.capacity(d.Bottleneck)
	l := &load{clock: network.clock, d: &d, sys: sys, rng: rng, rate: c.Base * capacity, hard: c.Hard}
	l.records.from = warmUp + former
	l.records.to = l.records.from + c.Trigger
	l.run()
	l.runUntil(l.records.from)
	l.rate = c.Demand * capacity
	if c.Slow > 0 {
		f.slow[d.Bottleneck] = c.Slow
	}
	if c.Link {
		sys.setLeaving(0, true)
	}
	l.runUntil(l.records.to)
	l.rate = c.Base * capacity
	clear(f.slow)
	if c.Link {
		sys.setLeaving(0, false)
	}
	l.runUntil(l.records.to + horizon)
	return report(&d, c, &l.records)
}

func report(d *Deployment, c Case, r *records) Report {
	rep := Report{Recovery: recovery(r), MaxRetries: r.maxRetries, Ideal: ideal(d, c)}
	if r.topTried > 0 {
		rep.TopClassShed = float64(r.topRefused) / float64(r.topTried)
	}
	var useful, sum float64
	for class, n := range r.count(r.from, r.to) {
		rep.Good[class] = float64(n) / c.Trigger.Seconds()
		// Requests of a class beyond its ideal took the place of more important ones.
		useful += min(rep.Good[class], rep.Ideal[class])
		sum += rep.Ideal[class]
	}
	rep.GoodputOfIdeal = useful / sum
	return rep
}

// ideal returns the whole requests per second that the bottleneck can complete, the most important class first.
func ideal(d *Deployment, c Case) (rates [call.NumClasses]float64) {
	left := d.capacity(d.Bottleneck) / max(c.Slow, 1)
	link := d.LinkRate
	for class := call.NumClasses - 1; class >= 0; class-- {
		for i := range d.Operations {
			op := &d.Operations[i]
			if int(op.Class) != class {
				continue
			}
			rate := c.Demand * d.capacity(d.Bottleneck) * op.Share
			if c.Link {
				rate = rate/regions + crossing(op, rate/regions, &link)
			}
			rate = min(rate, left)
			left -= rate
			rates[class] += rate
		}
	}
	return rates
}

// crossing returns the requests per second that the link can carry, and takes their bytes from it. The budget counts the
// bytes of both directions together, so the link's rate in one direction stands for both.
func crossing(op *Operation, rate float64, link *float64) float64 {
	bytes := float64(op.Request + op.Response)
	rate = min(rate, *link/bytes)
	*link -= rate * bytes
	return rate
}

// recovery returns the time from the end of the trigger until goodput has reached its former level for good.
func recovery(r *records) time.Duration {
	level := recoveryShare * float64(total(r.count(r.from-former, r.from))) * recoveryWindow.Seconds() / former.Seconds()
	recovered := horizon
	for t := horizon - recoveryWindow; t >= 0; t -= bucketWidth {
		if float64(total(r.count(r.to+t, r.to+t+recoveryWindow))) < level {
			break
		}
		recovered = t
	}
	return recovered
}

func total(counts [call.NumClasses]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

package experiment

import (
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Case is one kind of overload. Its trigger is the cause of the overload and lasts for TriggerLength. Before and after
// it, the demand is BaseDemand and all services run at their usual speed.
type Case struct {
	Name              string
	Demand            float64 // during the trigger, as a multiple of the bottleneck's capacity without a slowdown
	BaseDemand        float64 // before and after the trigger, as a multiple of the same capacity
	SlowFactor        float64 // factor on the self time of the bottleneck during the trigger; 0 means 1
	AggressiveRetries bool    // callers resend failed requests up to maxAggressiveResends times, during the whole run
	DrainFirstRegion  bool    // during the trigger, the first region drains all its backend servers but the bottleneck's
	TriggerLength     time.Duration
}

// baseDemand is the demand outside the trigger as a fraction of the bottleneck's capacity.
const baseDemand = 0.7

// Cases returns the overloads that BenchmarkOverload runs. Their names are part of its output.
func Cases() []Case {
	return []Case{
		{Name: "demand-1x", Demand: 1, BaseDemand: baseDemand, TriggerLength: 10 * time.Second},
		{Name: "demand-2x", Demand: 2, BaseDemand: baseDemand, TriggerLength: 10 * time.Second},
		{Name: "demand-4x", Demand: 4, BaseDemand: baseDemand, TriggerLength: 10 * time.Second},
		{Name: "demand-10x", Demand: 10, BaseDemand: baseDemand, TriggerLength: 10 * time.Second},
		{Name: "deep-slow-5x", Demand: baseDemand, BaseDemand: baseDemand, SlowFactor: 5, TriggerLength: 30 * time.Second},
		{Name: "hard-retries", Demand: 2, BaseDemand: baseDemand, AggressiveRetries: true, TriggerLength: 10 * time.Second},
		{Name: "slow-and-hard-retries", Demand: baseDemand, BaseDemand: baseDemand, SlowFactor: 5,
			AggressiveRetries: true, TriggerLength: 30 * time.Second},
		// The second region has the capacity for the demand of both, so that the link is the bottleneck.
		{Name: "link-saturated", Demand: 0.4, BaseDemand: 0.4, DrainFirstRegion: true, TriggerLength: 10 * time.Second},
	}
}

const (
	warmUpLength   = 5 * time.Second  // not measured
	baselineLength = 5 * time.Second  // follows the warm-up and gives the goodput before the trigger
	maxRecovery    = 15 * time.Second // follows the trigger
	// The system has recovered once the goodput of every later recoveryWindow reaches recoveryLevel, a fraction of the
	// goodput before the trigger.
	recoveryWindow = 500 * time.Millisecond
	recoveryLevel  = 0.95
)

// Report holds the figures of one run.
type Report struct {
	// GoodputRatio is the useful goodput divided by the ideal goodput during the trigger.
	GoodputRatio float64
	// Recovery is the time from the end of the trigger, maxRecovery if goodput had not recovered by then.
	Recovery time.Duration
	// CriticalShedRatio is the share of critical attempts during the trigger that failed other than by a timeout.
	CriticalShedRatio float64
	// MaxRetries is the highest number of retries of one attempt of a caller, over all hops.
	MaxRetries int
	// Goodput and IdealGoodput are requests per second during the trigger.
	Goodput, IdealGoodput [call.NumClasses]float64
}

// Run runs one case with a daemon beside each backend server, or without daemons (the naive system) if protected is
// false. Equal arguments give equal reports.
func Run(d Deployment, c Case, protected bool, seed uint64) Report {
	rng := rand.New(rand.NewPCG(seed, 1))
	network := &network{clock: &clock{}, deployment: &d}
	f := &faults{slowdown: map[string]float64{}}
	var sys system
	if protected {
		sys = newProtectedSystem(network, f, rng)
	} else {
		sys = newNaiveSystem(network, f, rng)
	}
	capacity := d.capacity(d.Bottleneck)
	l := &loadGenerator{
		clock: network.clock, deployment: &d, sys: sys, rng: rng,
		rate: c.BaseDemand * capacity, aggressive: c.AggressiveRetries,
	}
	l.measured.triggerStart = warmUpLength + baselineLength
	l.measured.triggerEnd = l.measured.triggerStart + c.TriggerLength
	l.startStreams()
	l.runUntil(l.measured.triggerStart)
	l.rate = c.Demand * capacity
	if c.SlowFactor > 0 {
		f.slowdown[d.Bottleneck] = c.SlowFactor
	}
	if c.DrainFirstRegion {
		sys.setLeaving(0, true)
	}
	l.runUntil(l.measured.triggerEnd)
	l.rate = c.BaseDemand * capacity
	clear(f.slowdown)
	if c.DrainFirstRegion {
		sys.setLeaving(0, false)
	}
	l.runUntil(l.measured.triggerEnd + maxRecovery)
	return newReport(&d, c, &l.measured)
}

func newReport(d *Deployment, c Case, m *measurements) Report {
	rep := Report{Recovery: recoveryTime(m), MaxRetries: m.maxRetries, IdealGoodput: idealGoodput(d, c)}
	if m.criticalSent > 0 {
		rep.CriticalShedRatio = float64(m.criticalRefused) / float64(m.criticalSent)
	}
	var useful, sum float64
	for class, n := range m.successes(m.triggerStart, m.triggerEnd) {
		rep.Goodput[class] = float64(n) / c.TriggerLength.Seconds()
		// Requests of a class beyond its ideal goodput displaced more important ones and don't count.
		useful += min(rep.Goodput[class], rep.IdealGoodput[class])
		sum += rep.IdealGoodput[class]
	}
	rep.GoodputRatio = useful / sum
	return rep
}

// idealGoodput returns the requests per second of each class that complete if the bottleneck spends its capacity only
// on requests that complete, those of the most important class first.
func idealGoodput(d *Deployment, c Case) (rates [call.NumClasses]float64) {
	remaining := d.capacity(d.Bottleneck) / max(c.SlowFactor, 1)
	link := d.LinkRate
	for class := call.NumClasses - 1; class >= 0; class-- {
		for i := range d.Operations {
			op := &d.Operations[i]
			if int(op.Class) != class {
				continue
			}
			rate := c.Demand * d.capacity(d.Bottleneck) * op.DemandShare
			if c.DrainFirstRegion {
				rate = rate/regions + takeLinkCapacity(op, rate/regions, &link)
			}
			rate = min(rate, remaining)
			remaining -= rate
			rates[class] += rate
		}
	}
	return rates
}

// takeLinkCapacity returns how many of rate requests per second the link can carry, and subtracts their bytes per
// second from link. The link budget counts the bytes of both directions together, so the link's rate in one direction
// is the limit for the sum of both.
func takeLinkCapacity(op *Operation, rate float64, link *float64) float64 {
	bytes := float64(op.RequestBytes + op.ResponseBytes)
	rate = min(rate, *link/bytes)
	*link -= rate * bytes
	return rate
}

// recoveryTime returns the time from the end of the trigger after which goodput stays at recoveryLevel or above,
// maxRecovery if it doesn't.
func recoveryTime(m *measurements) time.Duration {
	baseline := float64(total(m.successes(m.triggerStart-baselineLength, m.triggerStart)))
	level := recoveryLevel * baseline * recoveryWindow.Seconds() / baselineLength.Seconds()
	recovered := maxRecovery
	for t := maxRecovery - recoveryWindow; t >= 0; t -= bucketWidth {
		if float64(total(m.successes(m.triggerEnd+t, m.triggerEnd+t+recoveryWindow))) < level {
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

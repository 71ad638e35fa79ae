package experiment

import (
	"math/rand/v2"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Case is one overload. It begins after a time of ordinary demand and is followed by one.
type Case struct {
	Name              string
	Demand            float64       // during the trigger, as a multiple of the bottleneck's capacity
	BaseDemand        float64       // before and after it
	SlowFactor        float64       // factor on the own time of the bottleneck during the trigger; 0 means 1
	AggressiveRetries bool          // callers retry aggressively
	DrainFirstRegion  bool          // the first region loses its backend servers above the bottleneck
	TriggerLength     time.Duration // length of the trigger
}

// baseDemand is the ordinary demand as a part of the bottleneck's capacity.
const baseDemand = 0.7

// Cases returns the overloads of the experiment.
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
		// The remaining region can run the demand of both, so that the link is the bottleneck.
		{Name: "link-saturated", Demand: 0.4, BaseDemand: 0.4, DrainFirstRegion: true, TriggerLength: 10 * time.Second},
	}
}

const (
	warmUpLength   = 5 * time.Second
	baselineLength = 5 * time.Second // measured before the trigger
	maxRecovery    = 15 * time.Second
	// recoveryWindow and recoveryLevel define recovery: from then on, the goodput of each window reaches the share of
	// its former level.
	recoveryWindow = 500 * time.Millisecond
	recoveryLevel  = 0.95
)

// Report holds the measured figures of one run.
type Report struct {
	GoodputRatio          float64
	Recovery              time.Duration // at most maxRecovery, which means that goodput had not recovered by then
	CriticalShedRatio     float64
	MaxRetries            int
	Goodput, IdealGoodput [call.NumClasses]float64 // requests per second during the trigger
}

// Run runs one case. With protected false it runs the naive system.
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
		// Requests of a class beyond its ideal took the place of more important ones.
		useful += min(rep.Goodput[class], rep.IdealGoodput[class])
		sum += rep.IdealGoodput[class]
	}
	rep.GoodputRatio = useful / sum
	return rep
}

// idealGoodput returns the whole requests per second that the bottleneck can complete, the most important class first.
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

// takeLinkCapacity returns the requests per second that the link can carry, and takes their bytes from it. The budget counts the
// bytes of both directions together, so the link's rate in one direction stands for both.
func takeLinkCapacity(op *Operation, rate float64, link *float64) float64 {
	bytes := float64(op.RequestBytes + op.ResponseBytes)
	rate = min(rate, *link/bytes)
	*link -= rate * bytes
	return rate
}

// recoveryTime returns the time from the end of the trigger until goodput has reached its former level for good.
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

package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// limitedFleet is the load of a large service: most of its backend servers limit the rate of their requests and many
// entries share these limits, so that an entry calls one of them too rarely to know whether its rate is used up.
type limitedFleet struct {
	now     time.Time
	limited map[string]float64 // requests left of the limits, by address
	entries []*Picker
}

const (
	fleetUpstreams = 46
	fleetLimited   = 32
	fleetEntries   = 99
	fleetDemand    = 400 // requests per second
	fleetLimit     = 5   // requests per second of each limited upstream
)

func newLimitedFleet() *limitedFleet {
	f := &limitedFleet{now: time.Unix(1_800_000_000, 0), limited: map[string]float64{}}
	var upstreams []Candidate
	for i := range fleetUpstreams {
		c := Candidate{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "z", Region: "r", Slots: 54}
		if upstreams = append(upstreams, c); i < fleetLimited {
			f.limited[c.Address] = 0
		}
	}
	for i := range fleetEntries {
		p := NewPicker(Config{Zone: "z", Region: "r"}, rand.New(rand.NewPCG(uint64(i), 1)))
		p.Update(f.now, upstreams)
		f.entries = append(f.entries, p)
	}
	return f
}

// send sends a request as the entry's daemon does, to at most five upstreams, and reports whether one served it.
func (f *limitedFleet) send(p *Picker) bool {
	info := PickInfo{Rank: call.LowestRank(call.ClassNormal), Idempotent: true}
	for range 5 {
		c, err := p.Pick(f.now, info)
		if err != nil {
			return false
		}
		left, limited := f.limited[c.Address]
		if !limited || left >= 1 {
			if limited {
				f.limited[c.Address]--
			}
			p.Done(f.now, c.Address, DoneInfo{Outcome: call.OutcomeAnswered, Latency: 300 * time.Millisecond, RateLimited: limited, Load: 0.2})
			return true
		}
		p.Done(f.now, c.Address, DoneInfo{Outcome: call.OutcomeNotRun, Reason: call.ReasonRateLimit, RateLimited: true, Load: 2})
		info.Exclude = append(info.Exclude, c.Address)
		info.AvoidRateLimited = true
	}
	return false
}

// Guards against requests that go from one used-up rate limit to the next and are refused in the end, although upstreams
// without a limit have room.
func TestRequestsLeaveRateLimitedUpstreams(t *testing.T) {
	f := newLimitedFleet()
	rng := rand.New(rand.NewPCG(7, 7))
	sent, refused := 0, 0
	for second := range 20 {
		for range fleetDemand {
			f.now = f.now.Add(time.Second / fleetDemand)
			for a, left := range f.limited {
				f.limited[a] = min(left+fleetLimit/float64(fleetDemand), 3)
			}
			served := f.send(f.entries[rng.IntN(fleetEntries)])
			if second < 10 {
				continue // the entries learn which upstreams have a limit
			}
			if sent++; !served {
				refused++
			}
		}
	}
	if refused*500 > sent {
		t.Errorf("%d of %d requests were refused by five upstreams, want at most one in 500", refused, sent)
	}
}

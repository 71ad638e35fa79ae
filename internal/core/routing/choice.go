package routing

import "math/rand/v2"

// choices keeps two random upstreams with room of each tier with their scores, and the one of those without where the wait is
// shortest, in one pass over the candidates.
type choices struct {
	tiers        [numTiers]reservoir
	fallback     *upstream
	fallbackWait float64
}

type reservoir struct {
	seen  int
	first scored
	other scored
}

type scored struct {
	*upstream
	score float64
}

// spillThresholds is the load above which an upstream of a tier is passed over while a farther one has room. A nearer upstream answers sooner and
// costs no traffic between zones while it has free slots; one that is nearly full makes its requests wait. The link
// between regions is slow and billed by volume, so it is used last.
var spillThresholds = [numTiers]float64{tierZone: 0.9, tierRegion: 0.95, tierRemote: 0.95}

// uploadSpillThreshold is the load above which an upload leaves its zone: an upload has tens of times the bytes of other requests,
// so it stays while a short wait gives it a slot.
const uploadSpillThreshold = 1.1

// spillThreshold returns the load above which an upstream is passed over for a request.
func spillThreshold(t tier, info PickInfo) float64 {
	if info.Upload && t == tierZone {
		return uploadSpillThreshold
	}
	return spillThresholds[t]
}

// add is reservoir sampling with two places.
func (cs *choices) add(u *upstream, score float64, rng *rand.Rand) {
	p := &cs.tiers[u.tier]
	p.seen++
	s := scored{u, score}
	switch {
	case p.seen == 1:
		p.first = s
	case p.seen == 2:
		p.other = s
	default:
		p.replace(rng.IntN(p.seen), s)
	}
}

func (p *reservoir) replace(i int, s scored) {
	switch i {
	case 0:
		p.first = s
	case 1:
		p.other = s
	}
}

// addFallback keeps the upstream without room where the wait is shortest.
func (cs *choices) addFallback(u *upstream, wait float64) {
	if cs.fallback == nil || wait < cs.fallbackWait {
		cs.fallback, cs.fallbackWait = u, wait
	}
}

// best returns the better of the two in the nearest tier that has room, or the upstream with the shortest wait where none has. It
// is nil without any.
func (cs *choices) best() *upstream {
	for i := range cs.tiers {
		if p := &cs.tiers[i]; p.seen > 0 {
			return p.lowerScore()
		}
	}
	return cs.fallback
}

func (p *reservoir) lowerScore() *upstream {
	if p.seen > 1 && p.other.score < p.first.score {
		return p.other.upstream
	}
	return p.first.upstream
}

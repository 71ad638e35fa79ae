package routing

import "math/rand/v2"

// choices collects the upstreams to choose from in one pass over the candidates: for each tier two random upstreams
// that have room, with their scores, and among those without room the one with the shortest expected wait.
type choices struct {
	tiers        [numTiers]reservoir
	fallback     *upstream // shortest expected wait of the upstreams without room
	fallbackWait float64   // expected wait at fallback, in seconds
	// fallbackOutlier means that fallback fails more requests than the others. It is replaced by any that doesn't.
	fallbackOutlier bool
}

// reservoir is a uniform random sample of at most two of the upstreams that were added to it.
type reservoir struct {
	seen  int // number of upstreams added
	first scored
	other scored
}

// scored is an upstream with the score that it had when it was added.
type scored struct {
	*upstream
	score float64
}

// spillThresholds holds for each tier the load above which an upstream has no room: it is passed over while another
// upstream, also one of a farther tier, has room. A nearer upstream with free slots responds sooner and causes no
// traffic between zones, but requests to one that is nearly full wait. The link between regions is slow and billed by
// volume, so it is used last.
var spillThresholds = [numTiers]float64{tierZone: 0.9, tierRegion: 0.95, tierRemote: 0.95}

// uploadSpillThreshold replaces the threshold of the own zone for uploads. It is above 1, so that an upload stays in
// its zone while a short wait gives it a slot: an upload has tens of times the bytes of other requests.
const uploadSpillThreshold = 1.1

// spillThreshold returns the load above which an upstream of the tier has no room for the request.
func spillThreshold(t tier, info PickInfo) float64 {
	if info.Upload && t == tierZone {
		return uploadSpillThreshold
	}
	return spillThresholds[t]
}

// add offers an upstream that has room to the sample of its tier (reservoir sampling with two places).
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

// replace puts s in place i of the sample; for other values of i the sample stays as it is.
func (p *reservoir) replace(i int, s scored) {
	switch i {
	case 0:
		p.first = s
	case 1:
		p.other = s
	}
}

// addFallback keeps the upstream without room that has the shortest expected wait, in seconds. An outlier is kept only
// while there is no other.
func (cs *choices) addFallback(u *upstream, wait float64, outlier bool) {
	better := wait < cs.fallbackWait
	if outlier != cs.fallbackOutlier {
		better = !outlier
	}
	if cs.fallback == nil || better {
		cs.fallback, cs.fallbackWait, cs.fallbackOutlier = u, wait, outlier
	}
}

// best returns the upstream with the lower score of the two sampled in the nearest tier that has room. If no tier has
// room, it returns the upstream with the shortest expected wait, or nil if no upstream was added.
func (cs *choices) best() *upstream {
	for i := range cs.tiers {
		if p := &cs.tiers[i]; p.seen > 0 {
			return p.lowerScore()
		}
	}
	return cs.fallback
}

// lowerScore returns the sampled upstream with the lower score. The reservoir must not be empty.
func (p *reservoir) lowerScore() *upstream {
	if p.seen > 1 && p.other.score < p.first.score {
		return p.other.upstream
	}
	return p.first.upstream
}

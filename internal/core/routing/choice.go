package routing

import "math/rand/v2"

// choices keeps two random upstreams with room of each tier with their scores, and the one of those without where the wait is
// shortest, in one pass over the candidates.
type choices struct {
	tiers [numTiers]pair
	least *upstream
	wait  float64 // at least
}

type pair struct {
	seen  int
	first scored
	other scored
}

type scored struct {
	*upstream
	score float64
}

// spillAt is the load above which an upstream of a tier is passed over while a farther one has room. A nearer upstream answers sooner and
// costs no traffic between zones while it has free slots; one that is nearly full makes its requests wait. The link
// between regions is slow and billed by volume, so it is used last.
var spillAt = [numTiers]float64{tierZone: 0.9, tierRegion: 0.95, tierRemote: 0.95}

// uploadSpillAt is the load above which an upload leaves its zone: an upload has tens of times the bytes of other requests,
// so it stays while a short wait gives it a slot.
const uploadSpillAt = 1.1

// spillLoad returns the load above which an upstream is passed over for a request.
func spillLoad(t tier, q Query) float64 {
	if q.Upload && t == tierZone {
		return uploadSpillAt
	}
	return spillAt[t]
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

func (p *pair) replace(i int, s scored) {
	switch i {
	case 0:
		p.first = s
	case 1:
		p.other = s
	}
}

// addFull keeps the upstream without room where the wait is shortest.
func (cs *choices) addFull(u *upstream, wait float64) {
	if cs.least == nil || wait < cs.wait {
		cs.least, cs.wait = u, wait
	}
}

// best returns the better of the two in the nearest tier that has room, or the upstream with the shortest wait where none has. It
// is nil without any.
func (cs *choices) best() *upstream {
	for i := range cs.tiers {
		if p := &cs.tiers[i]; p.seen > 0 {
			return p.better()
		}
	}
	return cs.least
}

func (p *pair) better() *upstream {
	if p.seen > 1 && p.other.score < p.first.score {
		return p.other.upstream
	}
	return p.first.upstream
}

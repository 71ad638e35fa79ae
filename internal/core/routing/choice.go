package routing

import "math/rand/v2"

// choices keeps two random upstreams of each tier with their scores, in one pass over the candidates.
type choices [numTiers]pair

type pair struct {
	seen  int
	first scored
	other scored
}

type scored struct {
	*upstream
	score float64
	load  float64
}

// spillAt is the load of a tier's choice above which a farther tier is looked at. A nearer upstream answers sooner and
// costs no traffic between zones while it has free slots; one that is nearly full makes its requests wait. The link
// between regions is slow and billed by volume, so it is used last.
var spillAt = [numTiers]float64{tierZone: 0.7, tierRegion: 0.85, tierRemote: 0.95}

// add is reservoir sampling with two places.
func (cs *choices) add(u *upstream, score, load float64, rng *rand.Rand) {
	p := &cs[u.tier]
	p.seen++
	s := scored{u, score, load}
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

// best returns the better of the two in the nearest tier that has room, or the least loaded one where none has. It is nil
// without any.
func (cs *choices) best() *upstream {
	var least *scored
	for i := range cs {
		if cs[i].seen == 0 {
			continue
		}
		s := cs[i].better()
		if s.load <= spillAt[i] {
			return s.upstream
		}
		if least == nil || s.load < least.load {
			least = s
		}
	}
	if least == nil {
		return nil
	}
	return least.upstream
}

func (p *pair) better() *scored {
	if p.seen > 1 && p.other.score < p.first.score {
		return &p.other
	}
	return &p.first
}

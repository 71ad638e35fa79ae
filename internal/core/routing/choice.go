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
}

// add is reservoir sampling with two places.
func (cs *choices) add(u *upstream, score float64, rng *rand.Rand) {
	p := &cs[u.tier]
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

// nearest returns the better of the two in the first tier that has any, or nil.
func (cs *choices) nearest() *upstream {
	for i := range cs {
		p := &cs[i]
		if p.seen > 0 {
			return p.better()
		}
	}
	return nil
}

func (p *pair) better() *upstream {
	if p.seen > 1 && p.other.score < p.first.score {
		return p.other.upstream
	}
	return p.first.upstream
}

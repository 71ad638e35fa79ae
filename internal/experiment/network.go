package experiment

import "time"

// zone is a zone. Zones are numbered over the whole deployment.
type zone int

func (z zone) region() int { return int(z) / zonesPerRegion }

// network delays messages. Messages between regions also queue for the link, in one queue for each direction.
type network struct {
	*clock
	deployment *Deployment
	linkFreeAt [regions]time.Duration // by sending region
}

func (n *network) send(from, to zone, bytes int64, do func()) {
	switch {
	case from == to:
		n.after(n.deployment.ZoneDelay/10, do)
	case from.region() == to.region():
		n.after(n.deployment.ZoneDelay, do)
	default:
		n.after(n.transmit(from.region(), bytes)+n.deployment.RegionDelay, do)
	}
}

// transmit returns the time until the link has sent the message.
func (n *network) transmit(region int, bytes int64) time.Duration {
	free := max(n.linkFreeAt[region], n.now)
	free += time.Duration(float64(bytes) / n.deployment.LinkRate * float64(time.Second))
	n.linkFreeAt[region] = free
	return free - n.now
}

package experiment

import "time"

// place is a zone. Zones are numbered over the whole deployment.
type place int

func (p place) region() int { return int(p) / zonesPerRegion }

// network delays messages. Messages between regions also queue for the link, in one queue for each direction.
type network struct {
	*clock
	d        *Deployment
	linkFree [regions]time.Duration // by sending region
}

func (n *network) send(from, to place, bytes int64, do func()) {
	switch {
	case from == to:
		n.after(n.d.ZoneDelay/10, do)
	case from.region() == to.region():
		n.after(n.d.ZoneDelay, do)
	default:
		n.after(n.transmit(from.region(), bytes)+n.d.RegionDelay, do)
	}
}

// transmit returns the time until the link has sent the message.
func (n *network) transmit(region int, bytes int64) time.Duration {
	free := max(n.linkFree[region], n.now)
	free += time.Duration(float64(bytes) / n.d.LinkRate * float64(time.Second))
	n.linkFree[region] = free
	return free - n.now
}

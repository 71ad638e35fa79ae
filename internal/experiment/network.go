package experiment

import "time"

// zone is the number of an availability zone. Zones are numbered across all regions.
type zone int

func (z zone) region() int { return int(z) / zonesPerRegion }

// network delays messages. Messages between regions also queue for the link, in one FIFO queue for each direction.
type network struct {
	*clock
	deployment *Deployment
	linkFreeAt [regions]time.Duration // by sending region; when the link will have sent all queued messages
}

// send runs do when a message of the given size arrives.
func (n *network) send(from, to zone, bytes int64, do func()) {
	switch {
	case from == to:
		// Within a zone, a tenth of the delay between zones.
		n.after(n.deployment.ZoneDelay/10, do)
	case from.region() == to.region():
		n.after(n.deployment.ZoneDelay, do)
	default:
		n.after(n.transmit(from.region(), bytes)+n.deployment.RegionDelay, do)
	}
}

// transmit adds a message to the link's queue of the sending region and returns the time until the link has sent it.
func (n *network) transmit(region int, bytes int64) time.Duration {
	free := max(n.linkFreeAt[region], n.now)
	free += time.Duration(float64(bytes) / n.deployment.LinkRate * float64(time.Second))
	n.linkFreeAt[region] = free
	return free - n.now
}

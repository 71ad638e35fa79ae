package announce

import (
	"slices"
	"time"
)

// Departure states that a start of a backend server leaves. It is final for that start and says nothing of later ones,
// also where they have the same ID. It binds the daemon beside the backend server after a restart as well, so it is kept
// outside that daemon.
type Departure struct {
	ID string
	// StartUnixMilli is the time of the start in Unix milliseconds, 0 if it isn't known.
	StartUnixMilli int64
	// NoticeUnixMilli is when a notice arrived that names the ID but no start, by the clock of the VM, 0 if none did. It
	// concerns every start of the ID up to then.
	NoticeUnixMilli int64
}

// covers reports whether the departure concerns the start of an ID at a time in Unix milliseconds.
func (d Departure) covers(id string, startUnixMilli int64) bool {
	return d.ID == id && startUnixMilli <= max(d.StartUnixMilli, d.NoticeUnixMilli)
}

const (
	// maxDepartures bounds the departures that a tracker knows. A VM has one backend server at a time.
	maxDepartures = 8
	// maxLateness is the longest time for which a heartbeat is on its way. A start that still sends heartbeats after that
	// isn't one that has left: a notice that seems to concern it compares clocks that were set.
	maxLateness = 30 * time.Second
	// repeatTime is the time for which a notice to leave is repeated, because its response was lost.
	repeatTime = 10 * time.Second
)

// maxClockError is the largest difference between the clock of the VM now and earlier: it may be set by seconds. A day
// is far beyond that.
const maxClockError = 24 * time.Hour

// PlausibleTime reports whether a time in Unix milliseconds, 0 for an unknown one, can have come before now.
func PlausibleTime(now time.Time, unixMilli int64) bool {
	return unixMilli >= 0 && unixMilli <= now.Add(maxClockError).UnixMilli()
}

// departures are the departures that a tracker knows, the latest last.
type departures []Departure

// add adds a departure. It returns false if it is known. For each start the latest notice is kept; those within
// repeatTime are repetitions of one.
func (ds *departures) add(d Departure) bool {
	i := slices.IndexFunc(*ds, func(known Departure) bool { return known.ID == d.ID && known.StartUnixMilli == d.StartUnixMilli })
	if i >= 0 {
		if d.NoticeUnixMilli-(*ds)[i].NoticeUnixMilli <= repeatTime.Milliseconds() {
			return false
		}
		*ds = slices.Delete(*ds, i, i+1)
	}
	if len(*ds) == maxDepartures {
		*ds = slices.Delete(*ds, 0, 1)
	}
	*ds = append(*ds, d)
	return true
}

// cover reports whether a start of an ID has left.
func (ds departures) cover(id string, startUnixMilli int64) bool {
	return slices.ContainsFunc(ds, func(d Departure) bool { return d.covers(id, startUnixMilli) })
}

// name reports whether any start of an ID has left.
func (ds departures) name(id string) bool {
	return slices.ContainsFunc(ds, func(d Departure) bool { return d.ID == id })
}

// dropDisproved removes the notices that a heartbeat which arrives at now disproves.
func (ds departures) dropDisproved(now time.Time, id string) {
	for i := range ds {
		if d := &ds[i]; d.ID == id && now.UnixMilli()-d.NoticeUnixMilli > maxLateness.Milliseconds() {
			d.NoticeUnixMilli = 0
		}
	}
}

package daemon

import (
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/settings"
)

// Guards against a daemon that exits before its neighbors can receive its announcement to leave, and against one that
// exceeds a drain limit shorter than minDrainTime for it.
func TestDrainLeavesTimeForTheAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ limit, exit time.Duration }{
		{time.Minute, minDrainTime}, {minDrainTime / 4, minDrainTime / 4},
	} {
		d := newDrainState(drainTimes{limit: c.limit, minTime: minDrainTime})
		d.begin(now)
		if d.canExit(now.Add(c.exit - 1)) {
			t.Errorf("limit %v: exits before %v", c.limit, c.exit)
		}
		if !d.canExit(now.Add(c.exit)) {
			t.Errorf("limit %v: still there after %v", c.limit, c.exit)
		}
	}
}

// Guards against a daemon that is killed at the end of its grace time because it was frozen between the request to stop and the
// begin of its drain, and counts its limit from the late begin.
func TestFreezeBeforeTheDrainDoesNotExtendIt(t *testing.T) {
	asked := time.Unix(1000, 0)
	const limit = 4 * time.Second
	for _, caller := range []bool{false, true} {
		d := newDrainState(drainTimes{minTime: ingressCloseDelay, lastStart: ingressCloseDelay, limit: limit})
		if caller {
			d.startCallerRequest()
		} else {
			d.startRequest()
		}
		begin := asked.Add(readinessDelay)
		d.announce(begin)
		d.begin(begin.Add(3 * time.Second))
		if d.canExit(begin.Add(limit - 1)) {
			t.Error("exits before the limit with a request in flight")
		}
		if !d.canExit(begin.Add(limit)) {
			t.Error("still there at the limit")
		}
	}
}

// Guards against a daemon that is killed because its shutdown takes longer than the kill_after of the settings, also if
// it must close connections on which no request was sent.
func TestStopEndsBeforeKillAfter(t *testing.T) {
	s, err := settings.Parse("settings.json", []byte(`{"name": "a", "service": "s", "region": "r", "zone": "z",
		"peer_address": "127.0.0.1:1", "call_address": "127.0.0.1:2", "admin_address": "127.0.0.1:3",
		"ingress": {"address": "127.0.0.1:4", "ready_address": "127.0.0.1:5", "announce_address": "127.0.0.1:6"},
		"backend": {"url": "http://127.0.0.1:7", "announced": true}, "platform": {"urls": ["http://127.0.0.1:8"]},
		"kill_after": "6s"}`))
	if err != nil {
		t.Fatal(err)
	}
	times := drainTimesFor(s)
	if longest := readinessDelay + max(times.limit, times.minTime) + closeTimeoutFor(s); longest >= 6*time.Second {
		t.Errorf("a stop takes up to %s", longest)
	}
}

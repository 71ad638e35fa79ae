package daemon

import (
	"testing"
	"time"
)

// Guards against a daemon that exits before its neighbours can hear that it leaves, and against one that outlasts its limit
// for that.
func TestDrainLeavesTimeForTheAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ limit, exit time.Duration }{{time.Minute, leaveNotice}, {leaveNotice / 4, leaveNotice / 4}} {
		d := newDrainState(c.limit, leaveNotice)
		d.begin(now)
		if d.done(now.Add(c.exit - 1)) {
			t.Errorf("limit %v: exits before %v", c.limit, c.exit)
		}
		if !d.done(now.Add(c.exit)) {
			t.Errorf("limit %v: still there after %v", c.limit, c.exit)
		}
	}
}

package holdings

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Sizes of the largest request that a client inside the limits may send, in bytes of the budget: a head of 48 KiB in fields
// of four bytes, and the part of its body that is kept.
const (
	largestHead = 48<<10 + 48<<10/4*128
	largestBody = 256 << 10
)

// Guards against limits with which one request can't be served, or that take more than their share, for any size of a
// process.
func TestLimitsLeaveRoomForOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heap := rapid.Int64Range(16<<20, 1<<40).Draw(t, "heap")
		descriptors := rapid.IntRange(64, math.MaxInt32).Draw(t, "descriptors")
		clients, control := NewLimits(heap, descriptors)
		if sum := clients.Bytes + control.Bytes; sum > heap*3/4 {
			t.Fatalf("%d of %d bytes", sum, heap)
		}
		if n := clients.Connections + control.Connections; n > max(descriptors/2, 2*minConnections) {
			t.Fatalf("%d connections with %d descriptors", n, descriptors)
		}
		now := time.Unix(0, 0)
		b := New(clients)
		c, _ := b.Open(now)
		for _, bytes := range []int64{largestHead, RequestCost, largestBody} {
			if ok, end := b.Grow(c, bytes, now); !ok || len(end) > 0 {
				t.Fatalf("no room for %d bytes of a single request", bytes)
			}
		}
	})
}

// Guards against budgets that are exceeded, that lose or keep what was returned, and against requests that are ended although
// they were passed on.
func TestBudgetKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: rapid.Int64Range(0, 2<<20).Draw(t, "bytes"), Connections: rapid.IntRange(1, 20).Draw(t, "connections")}
		b := New(limits)
		now := time.Unix(0, 0)
		held := map[*Connection]int64{} // of the open connections
		var others int64
		var open []*Connection
		check := func(end []*Connection) {
			for _, v := range end {
				if _, ok := held[v]; !ok {
					t.Fatal("a closed connection is to be ended")
				}
				if v.stage == StagePassed || (v.stage == StageWriting && now.Sub(v.since) < slowAnswerAge) {
					t.Fatalf("a connection in stage %v is to be ended", v.stage)
				}
				if v.stage != StageBody { // others are closed at once
					b.Close(v)
					delete(held, v)
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			var c *Connection
			if len(open) > 0 {
				c = open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
			}
			_, isOpen := held[c]
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); {
			case step == 0:
				added, end := b.Open(now)
				if added != nil {
					held[added] = ConnectionCost
					open = append(open, added)
				}
				check(end)
			case step == 1:
				bytes := rapid.Int64Range(0, 300_000).Draw(t, "bytes")
				ok, end := b.Grow(nil, bytes, now)
				if ok {
					others += bytes
				}
				check(end)
			case step == 2:
				b.Shrink(nil, others)
				others = 0
			case !isOpen:
			case step == 3:
				bytes := rapid.Int64Range(0, 300_000).Draw(t, "bytes")
				ok, end := b.Grow(c, bytes, now)
				if ok {
					held[c] += bytes
				}
				if ok && !c.isPassed() && b.used-b.leaving > b.clientLimit() {
					t.Fatal("a request that isn't passed on took what is kept for others")
				}
				check(end)
			case step == 4:
				b.Enter(c, Stage(rapid.IntRange(int(StageOpen), int(StageClosing)).Draw(t, "stage")), now)
			case step == 5:
				b.Close(c)
				delete(held, c)
			}
			sum := others
			for _, bytes := range held {
				sum += bytes
			}
			if b.Used() != sum || sum > limits.Bytes {
				t.Fatalf("%d bytes are used, %d are held, the limit is %d", b.Used(), sum, limits.Bytes)
			}
			if b.Connections() != len(held) || b.Connections()-b.leavingOpen > limits.Connections {
				t.Fatalf("%d connections, %d of them to end, the limit is %d", b.Connections(), b.leavingOpen, limits.Connections)
			}
		}
	})
}

// Guards against an order in which clients that have sent a whole request are ended before those that haven't.
func TestOrderOfEnding(t *testing.T) {
	start := time.Unix(0, 0)
	b := New(Limits{Bytes: math.MaxInt64, Connections: 10})
	enter := func(s Stage, after time.Duration) *Connection {
		c, _ := b.Open(start)
		if s != StageOpen {
			b.Enter(c, s, start.Add(after))
		}
		return c
	}
	const late = 3 * time.Second
	enter(StagePassed, 0)
	enter(StageWriting, late)
	want := []*Connection{
		enter(StageClosing, late), enter(StageOpen, 0), enter(StageBody, 0), enter(StageWriting, 0), enter(StageIdle, 0),
		enter(StageIdle, late), enter(StageNext, late), enter(StageBody, late),
	}
	for i, c := range want {
		opened, end := b.Open(start.Add(late))
		if len(end) != 1 || end[0] != c {
			t.Fatalf("%d: got %v, want the connection in stage %v", i, end, c.stage)
		}
		for _, closed := range []*Connection{c, opened} {
			b.Close(closed)
		}
		b.limits.Connections--
	}
	if c, end := b.Open(start.Add(late)); c != nil || len(end) > 0 {
		t.Fatalf("a request that was passed on is ended: %v", end)
	}
}

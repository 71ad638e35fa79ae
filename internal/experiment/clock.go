package experiment

import (
	"container/heap"
	"time"
)

// clock is a simulated clock. It runs events in the order of their times, and those of equal times in the order in
// which they were scheduled.
type clock struct {
	now    time.Duration // since fakeEpoch
	nextID uint64
	events eventHeap
}

type event struct {
	at time.Duration
	id uint64
	do func()
}

// fakeEpoch is the point in time at which a clock starts.
var fakeEpoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time {
	return fakeEpoch.Add(c.now)
}

// after schedules do to run after d, or at the present time if d is negative.
func (c *clock) after(d time.Duration, do func()) {
	c.nextID++
	heap.Push(&c.events, event{c.now + max(d, 0), c.nextID, do})
}

// runUntil runs the events before end and sets the clock to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].id < h[j].id)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

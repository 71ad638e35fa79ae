package admission

import (
	"sort"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// maxQueue bounds the memory and the insertion time of a queue, in requests.
const maxQueue = 1024

type waiting struct {
	Ticket
	since time.Time
}

// queue holds the waiting requests by falling rank, and among equal ranks by arrival.
type queue struct {
	items []waiting
	// oldest is not after the arrival of any waiting request. It saves scans of the queue.
	oldest time.Time
}

func (q *queue) len() int         { return len(q.items) }
func (q *queue) at(i int) waiting { return q.items[i] }

func (q *queue) insert(w waiting) {
	if len(q.items) == 0 {
		q.oldest = w.since
	}
	i := q.after(w.Rank)
	q.items = append(q.items, waiting{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = w
}

// after returns the index behind the last request of at least the given rank.
func (q *queue) after(r call.Rank) int {
	return sort.Search(len(q.items), func(i int) bool { return q.items[i].Rank < r })
}

func (q *queue) remove(i int) waiting {
	w := q.items[i]
	copy(q.items[i:], q.items[i+1:])
	q.items = q.items[:len(q.items)-1]
	return w
}

// find returns the index of a request, or -1.
func (q *queue) find(id uint64) int {
	for i := range q.items {
		if q.items[i].ID == id {
			return i
		}
	}
	return -1
}

// due reports whether a request may have waited longer than the delay.
func (q *queue) due(now time.Time, delay time.Duration) bool {
	return len(q.items) > 0 && now.Sub(q.oldest) > delay
}

// highestExpired returns the class of the highest request that has waited longer than the delay, or the lowest class.
func (q *queue) highestExpired(now time.Time, delay time.Duration) call.Class {
	highest := call.ClassLow
	q.oldest = now
	for i := range q.items {
		w := &q.items[i]
		if now.Sub(w.since) > delay {
			highest = max(highest, w.Rank.Class())
		} else if w.since.Before(q.oldest) {
			q.oldest = w.since
		}
	}
	return highest
}

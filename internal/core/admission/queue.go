package admission

import (
	"sort"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// maxQueueLen bounds the memory and the insertion time of a queue, in requests.
const maxQueueLen = 1024

type queuedRequest struct {
	Request
	queuedAt time.Time
}

// queue holds the waiting requests by falling rank, and among equal ranks by arrival.
type queue struct {
	items []queuedRequest
	// oldestBound is not after the arrival of any waiting request. It saves scans of the queue.
	oldestBound time.Time
}

func (q *queue) len() int               { return len(q.items) }
func (q *queue) at(i int) queuedRequest { return q.items[i] }

func (q *queue) insert(item queuedRequest) {
	if len(q.items) == 0 {
		q.oldestBound = item.queuedAt
	}
	i := q.insertionIndex(item.Rank)
	q.items = append(q.items, queuedRequest{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = item
}

// insertionIndex returns the index behind the last request of at least the given rank.
func (q *queue) insertionIndex(r call.Rank) int {
	return sort.Search(len(q.items), func(i int) bool { return q.items[i].Rank < r })
}

func (q *queue) remove(i int) queuedRequest {
	item := q.items[i]
	copy(q.items[i:], q.items[i+1:])
	q.items = q.items[:len(q.items)-1]
	return item
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

// mayHaveExpired reports whether a request may have waited longer than the delay.
func (q *queue) mayHaveExpired(now time.Time, delay time.Duration) bool {
	return len(q.items) > 0 && now.Sub(q.oldestBound) > delay
}

// highestExpiredClass returns the class of the highest request that has waited longer than the delay, or the lowest class.
func (q *queue) highestExpiredClass(now time.Time, delay time.Duration) call.Class {
	highest := call.ClassLow
	q.oldestBound = now
	for i := range q.items {
		item := &q.items[i]
		if now.Sub(item.queuedAt) > delay {
			highest = max(highest, item.Rank.Class())
		} else if item.queuedAt.Before(q.oldestBound) {
			q.oldestBound = item.queuedAt
		}
	}
	return highest
}

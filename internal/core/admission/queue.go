package admission

import (
	"sort"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// maxQueueLen bounds the queue length that queueBound derives from the running time, in requests, and so the memory and
// the insertion time of a queue.
const maxQueueLen = 1024

// queuedRequest is a waiting request and the time at which it was offered.
type queuedRequest struct {
	Request
	queuedAt time.Time
}

// queue holds the waiting requests by descending rank, and those of equal rank in order of arrival.
type queue struct {
	items []queuedRequest
	// oldestBound is at or before the arrival of every waiting request. It saves scans of the queue; removals leave it
	// as it is, so it may be too early.
	oldestBound time.Time
}

func (q *queue) len() int               { return len(q.items) }
func (q *queue) at(i int) queuedRequest { return q.items[i] }

// insert adds a request behind all of at least its rank.
func (q *queue) insert(item queuedRequest) {
	if len(q.items) == 0 {
		q.oldestBound = item.queuedAt
	}
	i := q.insertionIndex(item.Rank)
	q.items = append(q.items, queuedRequest{})
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = item
}

// insertionIndex returns the index after the last request whose rank is r or higher.
func (q *queue) insertionIndex(r call.Rank) int {
	return sort.Search(len(q.items), func(i int) bool { return q.items[i].Rank < r })
}

// remove removes and returns the request at index i.
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

// mayHaveExpired reports whether any request may have waited longer than the delay. A false result is certain.
func (q *queue) mayHaveExpired(now time.Time, delay time.Duration) bool {
	return len(q.items) > 0 && now.Sub(q.oldestBound) > delay
}

// highestExpiredClass returns the highest class of the requests that have waited longer than the delay, or the lowest
// class if there are none. It sets oldestBound to the earliest arrival of the other requests; the caller removes the
// expired ones.
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

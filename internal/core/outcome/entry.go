package outcome

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

type tokenState uint8

const (
	stateIssued tokenState = iota
	stateRunning
	stateFinished
	stateRefused // never ran: refused before dispatch, or resolved while issued
	stateExpired // never ran: expired while issued
)

const notQueued = -1

// entry is one token in the table.
type entry struct {
	token       call.Token
	state       tokenState
	fingerprint Fingerprint // set from running on
	answer      Answer      // set when finished
	dueAt       time.Time   // when the entry becomes due
	index       int         // position in the heap, or notQueued
}

// progress translates the state of a token that can't start any more.
func (e *entry) decision() (Decision, *Answer, error) {
	switch e.state {
	case stateRunning:
		return Running, nil, nil
	case stateFinished:
		return Replay, &e.answer, nil
	default:
		return Refused, nil, nil
	}
}

// dueHeap orders entries by the time at which they become due. It implements heap.Interface.
type dueHeap []*entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].dueAt.Before(h[j].dueAt) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends an *entry.
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry.
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = notQueued
	return e
}

package outcome

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// tokenState is the state of a token; the package comment shows the transitions.
type tokenState uint8

const (
	stateIssued tokenState = iota
	stateRunning
	stateFinished
	stateRefused // never ran: refused before dispatch, or resolved while issued
	stateExpired // never ran: expired while issued
)

// notQueued is the index of an entry that is not in the heap.
const notQueued = -1

// entry is one token in the table.
type entry struct {
	token       call.Token
	state       tokenState
	fingerprint Fingerprint // set by Begin
	answer      Answer      // set by Finish
	dueAt       time.Time   // when handleDue changes or removes the entry
	index       int         // position in the heap, or notQueued
}

// decision returns the decision on a token that is not issued any more, and the answer of a finished one.
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

// dueHeap is a heap of entries by dueAt, earliest first. It implements heap.Interface.
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

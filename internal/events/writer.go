package events

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of log lines that wait for a slow reader; about 300 bytes each.
	queueCapacity = 2048
	// flushTimeout bounds the wait for a slow reader at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// Writer writes log lines in the background, so that a reader of the log that stops reading never holds up a request.
// Lines that find the queue full are left out and counted. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	stopped chan struct{}
}

// NewWriter returns a Writer to w. Close ends it.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, queueCapacity), stopped: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Writer) run(w io.Writer) {
	defer close(q.stopped)
	for line := range q.lines {
		_, _ = w.Write(line) // there is no other place to report that the log can't be written
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (q *Writer) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out.
func (q *Writer) Dropped() int64 {
	return q.dropped.Load()
}

// Close writes what is queued, for a short time at most. No line may be written afterwards.
func (q *Writer) Close() {
	close(q.lines)
	select {
	case <-q.stopped:
	case <-time.After(flushTimeout):
	}
}

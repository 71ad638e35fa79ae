package events

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of log lines that are queued for a slow reader; a line has about 300 bytes.
	queueCapacity = 2048
	// flushTimeout is how long Close waits for a slow reader.
	flushTimeout = 500 * time.Millisecond
)

// Writer writes log lines in the background, so that a request is never blocked when the reader of the log stops
// reading. Lines that arrive while the queue is full, or after Close, are dropped and counted: requests that are cut off at
// the exit may still log. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	stopped chan struct{}
}

// NewWriter returns a Writer that writes to w from a goroutine, which Close ends.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, queueCapacity), closing: make(chan struct{}),
		stopped: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Writer) run(w io.Writer) {
	defer close(q.stopped)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // a failed write of the log can't be reported anywhere else
		case <-q.closing:
			q.flush(w)
			return
		}
	}
}

// flush writes the lines that are queued.
func (q *Writer) flush(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // as above
		default:
			return
		}
	}
}

// Write implements io.Writer. It queues a copy of the line. It never blocks and never returns an error.
func (q *Writer) Write(line []byte) (int, error) {
	select {
	case <-q.closing:
		q.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the queue was full or the Writer was closed.
func (q *Writer) Dropped() int64 {
	return q.dropped.Load()
}

// Close writes the queued lines and returns when they are written, or after flushTimeout. It must be called only once.
func (q *Writer) Close() {
	close(q.closing)
	select {
	case <-q.stopped:
	case <-time.After(flushTimeout):
	}
}

package transport

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// creditBatch is the number of ended streams for which the peer gets its credit at once. Without batches each control
// message causes two more datagrams, with the credit and its acknowledgement. Each ended stream that waits for its
// credit is held in memory.
const creditBatch = 8

// credits collects the ended streams of an accepted connection. It is safe for concurrent use.
type credits struct {
	mu    sync.Mutex
	ended []*quic.Stream
}

// add records the end of a stream.
func (c *credits) add(s *quic.Stream) {
	c.mu.Lock()
	c.ended = append(c.ended, s)
	var batch []*quic.Stream
	if len(c.ended) >= creditBatch {
		batch, c.ended = c.ended, nil
	}
	c.mu.Unlock()
	for _, s := range batch {
		s.ReleaseStreamCredit()
	}
}

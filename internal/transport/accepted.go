package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/wire"
)

// accepted is a connection that a peer opened. One goroutine reads its messages; the handler of an exchange runs in
// another one, so that the end of the connection is noticed meanwhile.
type accepted struct {
	net.Conn
	t      *Transport
	reader *bufio.Reader
	// refusing tells that the last message was refused, or that none came in time. Only the reading goroutine uses it.
	refusing bool

	writing sync.Mutex  // held while a message is written, also while the peer doesn't read
	alive   *time.Timer // nil while no signs of life are due; guarded by writing

	mu   sync.Mutex
	busy bool // an exchange is open
}

func newAccepted(t *Transport, c net.Conn) *accepted {
	return &accepted{Conn: c, t: t, reader: bufio.NewReaderSize(c, readBuffer)}
}

// write sends whole messages. It must not be called after the exchange has ended.
func (c *accepted) write(messages []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.Write(messages)
}

// writeLast sends the last messages of an answer. No sign of life follows them.
func (c *accepted) writeLast(messages []byte) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.stopAlive()
	_, err := c.Write(messages)
	return err
}

// startAlive sends signs of life until the last messages of the answer or the end of the exchange.
func (c *accepted) startAlive() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.alive = time.AfterFunc(c.t.cfg.AliveInterval, c.sendAlive)
}

func (c *accepted) sendAlive() {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.alive == nil {
		return
	}
	if _, err := c.Write(wire.AppendSign(nil, wire.KindAlive)); err == nil {
		c.alive.Reset(c.t.cfg.AliveInterval)
	}
}

// stopAlive ends the signs of life. The caller holds writing.
func (c *accepted) stopAlive() {
	if c.alive != nil {
		c.alive.Stop()
		c.alive = nil
	}
}

// idleDeadline bounds the wait for the next message.
func (c *accepted) idleDeadline() time.Time {
	return time.Now().Add(c.t.cfg.IdleTimeout + idleReserve)
}

// awaitMessage waits for the next message. It reports false at the end of the connection and of the transport.
func (c *accepted) awaitMessage() bool {
	if !c.setIdle() {
		return false
	}
	_, err := c.reader.Peek(1)
	c.refusing = errors.Is(err, os.ErrDeadlineExceeded)
	return err == nil
}

// setIdle lets the connection wait for a message, unless the transport is closing.
func (c *accepted) setIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	if c.t.isClosing() {
		return false
	}
	_ = c.SetReadDeadline(c.idleDeadline()) // fails for a closed connection, which the next read shows
	return true
}

// interruptIdle ends the wait for the next message.
func (c *accepted) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		_ = c.SetReadDeadline(time.Now()) // as above
	}
}

// begin begins an exchange whose first message has to arrive within the limit.
func (c *accepted) begin(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	_ = c.SetReadDeadline(time.Now().Add(limit)) // as above
}

// goodbyeLimit bounds the wait for the peer's end of the connection after a goodbye. It covers a message that crosses the
// goodbye on its way between regions.
const goodbyeLimit = 100 * time.Millisecond

// sayGoodbye tells the peer that nothing more is served, and waits until it has closed the connection: closing at once,
// with a message unread, would reset the connection and might destroy the goodbye.
func (c *accepted) sayGoodbye() {
	_ = c.SetDeadline(time.Now().Add(goodbyeLimit)) // a failure shows with the next call
	if _, err := c.Write(wire.AppendSign(nil, wire.KindGoodbye)); err != nil {
		return
	}
	c.discardRest()
}

// discardRest closes the direction to the peer and discards what the peer still sends.
func (c *accepted) discardRest() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // the connection is closed afterwards in any case
	}
	for {
		n, err := c.reader.Discard(readBuffer)
		if n == 0 || err != nil {
			return
		}
	}
}

// run runs the handler of an exchange and reports whether the connection can be used for another one. read is closed when
// the request was read to its end. The context ends with the connection.
func (c *accepted) run(read <-chan struct{}, handle func(ctx context.Context)) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	c.startAlive()
	go func() {
		defer close(done)
		handle(ctx)
		c.endExchange()
	}()
	select {
	case <-read:
	case <-done:
		return isClosed(read)
	}
	_, err := c.reader.Peek(1) // the next message, or the end of the connection
	if err != nil {
		cancel()
	}
	<-done
	return err == nil
}

// endExchange ends an exchange whose handler has returned.
func (c *accepted) endExchange() {
	c.writing.Lock()
	c.stopAlive()
	c.writing.Unlock()
	c.t.endIncoming()
	if !c.setIdle() {
		c.interruptIdle()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

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
type serverConn struct {
	net.Conn
	t      *Transport
	reader *bufio.Reader
	// refusing tells that the last message was refused, or that none came in time. Only the reading goroutine uses it.
	announceClose bool

	writeMu        sync.Mutex  // held while a message is written, also while the peer doesn't read
	keepAliveTimer *time.Timer // nil while no signs of life are due; guarded by writing

	mu   sync.Mutex
	busy bool // an exchange is open
}

func newServerConn(t *Transport, c net.Conn) *serverConn {
	return &serverConn{Conn: c, t: t, reader: bufio.NewReaderSize(c, readBuffer)}
}

// write sends whole messages. It must not be called after the exchange has ended.
func (c *serverConn) write(messages []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.Write(messages)
}

// writeLast sends the last messages of an answer. No sign of life follows them.
func (c *serverConn) writeLast(messages []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.stopKeepAlive()
	_, err := c.Write(messages)
	return err
}

// startKeepAlive sends signs of life until the last messages of the answer or the end of the exchange.
func (c *serverConn) startKeepAlive() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.keepAliveTimer = time.AfterFunc(c.t.cfg.KeepAliveInterval, c.sendKeepAlive)
}

func (c *serverConn) sendKeepAlive() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.keepAliveTimer == nil {
		return
	}
	if _, err := c.Write(wire.AppendEmptyMessage(nil, wire.KindKeepAlive)); err == nil {
		c.keepAliveTimer.Reset(c.t.cfg.KeepAliveInterval)
	}
}

// stopKeepAlive ends the signs of life. The caller holds writing.
func (c *serverConn) stopKeepAlive() {
	if c.keepAliveTimer != nil {
		c.keepAliveTimer.Stop()
		c.keepAliveTimer = nil
	}
}

// idleDeadline bounds the wait for the next message.
func (c *serverConn) idleDeadline() time.Time {
	return time.Now().Add(c.t.cfg.IdleTimeout + serverIdleGrace)
}

// awaitMessage waits for the next message. It reports false at the end of the connection and of the transport.
func (c *serverConn) awaitMessage() bool {
	if !c.setIdle() {
		return false
	}
	_, err := c.reader.Peek(1)
	c.announceClose = errors.Is(err, os.ErrDeadlineExceeded)
	return err == nil
}

// setIdle lets the connection wait for a message, unless the transport is closing.
func (c *serverConn) setIdle() bool {
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
func (c *serverConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		_ = c.SetReadDeadline(time.Now()) // as above
	}
}

// begin begins an exchange whose first message has to arrive within the limit.
func (c *serverConn) beginExchange(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	_ = c.SetReadDeadline(time.Now().Add(limit)) // as above
}

// connectionCloseTimeout bounds the wait for the peer's end of the connection after a goodbye. It covers a message that crosses the
// goodbye on its way between regions.
const connectionCloseTimeout = 100 * time.Millisecond

// sendConnectionClose tells the peer that nothing more is served, and waits until it has closed the connection: closing at once,
// with a message unread, would reset the connection and might destroy the goodbye.
func (c *serverConn) sendConnectionClose() {
	_ = c.SetDeadline(time.Now().Add(connectionCloseTimeout)) // a failure shows with the next call
	if _, err := c.Write(wire.AppendEmptyMessage(nil, wire.KindConnectionClose)); err != nil {
		return
	}
	c.closeWriteAndDrain()
}

// closeWriteAndDrain closes the direction to the peer and discards what the peer still sends.
func (c *serverConn) closeWriteAndDrain() {
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
func (c *serverConn) runHandler(requestRead <-chan struct{}, handle func(ctx context.Context)) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	c.startKeepAlive()
	go func() {
		defer close(done)
		handle(ctx)
		c.endExchange()
	}()
	select {
	case <-requestRead:
	case <-done:
		return isClosed(requestRead)
	}
	_, err := c.reader.Peek(1) // the next message, or the end of the connection
	if err != nil {
		cancel()
	}
	<-done
	return err == nil
}

// endExchange ends an exchange whose handler has returned.
func (c *serverConn) endExchange() {
	c.writeMu.Lock()
	c.stopKeepAlive()
	c.writeMu.Unlock()
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

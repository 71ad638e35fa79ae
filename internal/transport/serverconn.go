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

// serverConn is a connection that a peer opened. One goroutine reads its messages; the handler of an exchange runs in
// another one, so that the end of the connection is detected while the handler runs.
type serverConn struct {
	net.Conn
	t      *Transport
	reader *bufio.Reader
	// announceClose is set when the last message was refused or none came in time: the connection then ends with a
	// connection close message. Only the reading goroutine uses it.
	announceClose bool

	writeMu        sync.Mutex  // held while a message is written, also while the peer doesn't read
	keepAliveTimer *time.Timer // nil while no keep-alive messages are due; guarded by writeMu

	mu   sync.Mutex
	busy bool // an exchange is open
}

func newServerConn(t *Transport, c net.Conn) *serverConn {
	return &serverConn{Conn: c, t: t, reader: bufio.NewReaderSize(c, readBuffer)}
}

// write sends one or more complete messages. It must not be called after the exchange has ended.
func (c *serverConn) write(messages []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.Write(messages)
}

// writeLast sends the last messages of an answer. No keep-alive message follows them.
func (c *serverConn) writeLast(messages []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.stopKeepAlive()
	_, err := c.Write(messages)
	return err
}

// startKeepAlive sends keep-alive messages until the last messages of the answer or the end of the exchange.
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

// stopKeepAlive stops the keep-alive messages. The caller holds writeMu.
func (c *serverConn) stopKeepAlive() {
	if c.keepAliveTimer != nil {
		c.keepAliveTimer.Stop()
		c.keepAliveTimer = nil
	}
}

// idleDeadline returns the time until which the connection waits for the next message.
func (c *serverConn) idleDeadline() time.Time {
	return time.Now().Add(c.t.cfg.IdleTimeout + serverIdleGrace)
}

// awaitMessage waits for the next message. It reports false when the connection ended, when no message came before the
// idle deadline, and when the transport is closing.
func (c *serverConn) awaitMessage() bool {
	if !c.setIdle() {
		return false
	}
	_, err := c.reader.Peek(1)
	c.announceClose = errors.Is(err, os.ErrDeadlineExceeded)
	return err == nil
}

// setIdle marks the connection as idle and sets the deadline for the next message. It reports false, and sets no
// deadline, when the transport is closing.
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

// interruptIdle ends the wait for the next message, unless an exchange is open.
func (c *serverConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		_ = c.SetReadDeadline(time.Now()) // as above
	}
}

// beginExchange starts an exchange whose first message has to arrive within the limit.
func (c *serverConn) beginExchange(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	_ = c.SetReadDeadline(time.Now().Add(limit)) // as above
}

// connectionCloseTimeout bounds the wait for the peer to close the connection after a connection close message. It
// covers a message of the peer that is on its way between regions at the same time.
const connectionCloseTimeout = 100 * time.Millisecond

// sendConnectionClose sends a connection close message and waits until the peer has closed the connection: closing at
// once, with a message of the peer unread, would reset the connection, and the peer might never receive the message.
func (c *serverConn) sendConnectionClose() {
	_ = c.SetDeadline(time.Now().Add(connectionCloseTimeout)) // a failure shows with the next call
	if _, err := c.Write(wire.AppendEmptyMessage(nil, wire.KindConnectionClose)); err != nil {
		return
	}
	c.closeWriteAndDrain()
}

// closeWriteAndDrain closes the write side of the connection and discards what the peer still sends.
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

// runHandler runs the handler of an exchange and reports whether the connection can be used for another one.
// requestRead is closed when the request has been read to its end. The context ends with the connection.
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

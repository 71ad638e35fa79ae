package intake

import (
	"bytes"
	"net"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/holdings"
)

const (
	// writeTimeout bounds the time in which a client takes no more of an answer.
	writeTimeout = 30 * time.Second
	// maxWrite is the most that is written at once, in bytes, so that writeTimeout applies to a part of a large answer.
	maxWrite = 64 << 10
	// closingTime is how long a client that was refused before it had sent its whole request can read the refusal.
	closingTime = 2 * time.Second
	// maxDiscarded is the number of bytes that are read from such a client and discarded.
	maxDiscarded = 4 << 20
	// discardBuffer is the size of the buffer for it, in bytes.
	discardBuffer = 2 << 10
	// fieldCost is what a field of a head takes beside its text, in bytes.
	fieldCost = 128
)

// conn is the connection of a client.
type conn struct {
	net.Conn
	intake  *Intake
	account *holdings.Connection

	mu           sync.Mutex
	state        connState
	held         int64 // bytes of the budget for the request and its head, without its body
	handled      bool  // the request has reached its handler; a response before that refuses what net/http can't read
	mayStillSend bool  // at the end of the connection, the client may still send a part of its request
	aborted      bool  // the connection is closed
	interrupted  bool  // reads fail, so that the handler refuses the request
}

// connState is what conn itself has to know about the connection's stage.
type connState uint8

const (
	stateOpen connState = iota // no whole head has arrived
	stateIdle
	stateHead    // the head of a later request arrives
	stateRequest // the head has arrived
	statePassed  // and the request is passed on
)

func (c *conn) accountOrNil() *holdings.Connection {
	if c == nil {
		return nil
	}
	return c.account
}

// Read implements net.Conn. Bytes of a head are charged. If there is no room for them, the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.chargeHead(p[:n]) {
		c.abort()
		return 0, net.ErrClosed
	}
	return n, err
}

// chargeHead charges bytes that were read while a head arrives.
func (c *conn) chargeHead(p []byte) bool {
	c.mu.Lock()
	state := c.state
	if state == stateIdle {
		c.state = stateHead
	}
	c.mu.Unlock()
	if state >= stateRequest {
		return true
	}
	if state == stateIdle {
		c.intake.enter(c, holdings.StageNext)
	}
	cost := int64(len(p) + fieldCost*bytes.Count(p, []byte{'\n'}))
	if !c.intake.grow(c, cost) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += cost
	return true
}

// beginRequest records that a head has arrived. If there is no room for a request, it is interrupted.
func (c *conn) beginRequest() {
	c.mu.Lock()
	c.state, c.handled = stateRequest, false
	c.mu.Unlock()
	c.intake.enter(c, holdings.StageBody)
	if !c.intake.grow(c, holdings.RequestCost) {
		c.interrupt()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += holdings.RequestCost
}

// beginHandler records that a request has reached its handler. It reports whether there is room for it.
func (c *conn) beginHandler(hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.mayStillSend = true, hasBody
	return !c.interrupted
}

// endRequest records that a request has been answered and that the connection waits for the next one.
func (c *conn) endRequest() {
	c.mu.Lock()
	held := c.held
	c.held, c.state, c.mayStillSend = 0, stateIdle, false
	c.mu.Unlock()
	c.intake.shrink(c, held)
	c.intake.enter(c, holdings.StageIdle)
}

// passOn records that the request is passed on.
func (c *conn) passOn() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted || c.aborted {
		return ErrNoRoom
	}
	c.state = statePassed
	c.intake.enter(c, holdings.StagePassed)
	return nil
}

// abortIfWaiting marks the connection as closed unless the head of a request has arrived meanwhile: that request may run. It
// reports whether the connection can be closed.
func (c *conn) abortIfWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state >= stateRequest {
		return false
	}
	c.aborted = true
	return true
}

// interrupt makes reads of the request fail, unless it has been passed on meanwhile.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == statePassed {
		c.intake.spare(c)
		return
	}
	c.interrupted, c.mayStillSend = true, true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (c *conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// SetReadDeadline implements net.Conn. It has no effect once the request was interrupted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It fails if the client takes nothing for writeTimeout.
func (c *conn) Write(p []byte) (written int, err error) {
	c.mu.Lock()
	c.mayStillSend = c.mayStillSend || !c.handled
	c.mu.Unlock()
	defer c.intake.beginWrite(c)()
	for {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // as in interrupt
		n, err := c.Conn.Write(p[written:min(written+maxWrite, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// resetIfAborted resets the connection when the handler that defers it aborts its response. The body of a response in HTTP/1.0
// ends with the connection, so that a truncated one would look complete otherwise.
func (c *conn) resetIfAborted() {
	p := recover()
	if p == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.abort()
	panic(p)
}

// CloseWrite closes the connection for writing. net/http calls it after a response to a request that it doesn't read to its
// end.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.mayStillSend = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	c.Conn.Close()
	c.intake.remove(c)
}

// Close implements net.Conn. If the client may still send, closing the connection would reset it and could take the response
// from the client. What it sends is then discarded for a time.
func (c *conn) Close() error {
	c.mu.Lock()
	discard := c.mayStillSend && !c.aborted
	held := c.held
	c.held = 0
	c.mu.Unlock()
	if !discard {
		c.abort()
		return nil
	}
	_ = c.CloseWrite() // the connection is closed in any case
	c.intake.shrink(c, held)
	c.intake.enter(c, holdings.StageClosing)
	go c.discard()
	return nil
}

// discard reads what the client sends until it closes the connection, and then closes it.
func (c *conn) discard() {
	defer c.abort()
	_ = c.Conn.SetReadDeadline(time.Now().Add(closingTime)) // as in interrupt
	buf := make([]byte, discardBuffer)
	for left := maxDiscarded; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

// Package loopback is an HTTP/1.1 client with a connection pool for the backend server on the same VM. It differs from
// net/http's client in three points: it never sends a request twice, its errors say whether the backend server can have
// seen the request, and it doesn't return a response that belongs to another request. The last point matters because
// backend servers may send a second response late, when the response to the next request is expected.
package loopback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/httpcheck"
	"guavapoint.example/guavapoint/internal/sockets"
)

const (
	// dialTimeout bounds a connection attempt. A new connection takes about 1 ms.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection stays in the pool if the backend server doesn't send its
	// timeout.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin is how long before the backend server's timeout an idle connection is no longer used.
	idleMargin = 700 * time.Millisecond
	// maxIdleTimeout is the longest timeout that is taken from a backend server's response.
	maxIdleTimeout = time.Hour
	// maxMismatched is the number of responses to other requests that are skipped before the connection is closed.
	maxMismatched = 2
	// maxDiscardBytes is the size of a skipped response's body, in bytes, at which the connection is closed instead.
	maxDiscardBytes = 1 << 20
	// maxHeadBytes is the size of a response's header, with all informational responses before it, at which the connection
	// is closed. A broken backend server may send bytes without end. It is above the 48 KiB that a request header may
	// have.
	maxHeadBytes = 64 << 10
	// maxInlineBody is the largest request body, in bytes, that is written completely before the response is read. It
	// fits into the socket's buffer, so that a backend server that responds early can't block the writer.
	maxInlineBody = 16 << 10
)

// Errors of Pool.Do.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrConnectionLost reports that the connection broke after the request was sent, or that what was received is no
	// valid response to it. The backend server may have seen the request.
	ErrConnectionLost = errors.New("connection to the backend server was lost")
)

// Pool keeps connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address string
	now     func() time.Time

	mu     sync.Mutex
	idle   []*conn // most recently used last
	opened int     // number of connections opened since the start
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	limited     *limitedConn // below reader
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration // backend server's timeout less idleMargin, or defaultIdleTimeout
	lastUsed    time.Time
	reused      bool // has carried an earlier request
	alone       bool // carries one request only
}

// New returns a pool without connections. address is the ip:port of the backend server, now returns the current time.
func New(address string, now func() time.Time) *Pool {
	return &Pool{address: address, now: now}
}

// Opened returns the number of connections opened since the start.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends a request and returns its response once the header has been read. matches reports from a response's header
// whether the response belongs to the request; other responses are skipped. The caller must read the body to its end or
// close it. When ctx ends, the request is aborted and its connection closed. Errors match ErrNotSent or
// ErrConnectionLost.
func (p *Pool) Do(ctx context.Context, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return p.exchange(ctx, c, req, matches)
}

// DoAlone is Do on a connection of its own, which carries no other request before or after. It is for requests whose
// response can't be told from others by its header. The first response on the connection is returned.
func (p *Pool) DoAlone(ctx context.Context, req *http.Request) (*http.Response, error) {
	c, err := p.dial(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.alone = true
	return p.exchange(ctx, c, req, func(http.Header) bool { return true })
}

// exchange sends a request on a connection and returns the response as Do does.
func (p *Pool) exchange(ctx context.Context, c *conn, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() }) // unblocks reads and writes
	written := c.write(req)
	resp, err := c.read(req, matches)
	if err != nil {
		stop()
		c.Close()
		return nil, fmt.Errorf("send request to %s: %w: %w", p.address, ErrConnectionLost, err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, written: written, resp: resp,
		framed: httpcheck.Framed(resp), reusable: reusable(resp) && !c.alone}
	return resp, nil
}

// reusable reports whether another request may follow on the connection: the response's length is known or the body is
// chunked, and the response neither says "Connection: close" nor is HTTP/1.0.
func reusable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && resp.ProtoAtLeast(1, 1)
}

// acquire returns an idle connection on which nothing has arrived and that has not timed out, or a new one. Other idle
// connections that it finds are closed.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if p.now().Sub(c.lastUsed) < c.idleTimeout && c.noPendingInput() {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockets.WithReceiveBuffer(sockets.ReceiveBuffer)}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw), nil
}

func newConn(raw net.Conn) *conn {
	limited := &limitedConn{Conn: raw, left: noLimit}
	return &conn{Conn: raw, limited: limited, reader: bufio.NewReader(limited), writer: bufio.NewWriter(raw),
		idleTimeout: defaultIdleTimeout}
}

// errHeadTooLarge reports a response header larger than maxHeadBytes.
var errHeadTooLarge = errors.New("response header is too large")

// noLimit is the value of limitedConn.left while the reads are not limited.
const noLimit = -1

// limitedConn reads from a connection up to a number of bytes, and records them.
type limitedConn struct {
	net.Conn
	left   int // bytes that may be read, or noLimit
	record httpcheck.Recorder
}

// Read implements io.Reader. It returns errHeadTooLarge when no more may be read.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left == noLimit {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.record.Add(p[:n])
	return n, err
}

// takeIdle removes the most recently used idle connection from the pool, or returns nil if there is none.
func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put returns a connection to the pool, and closes connections that have been idle for longer than their timeout.
func (p *Pool) put(c *conn) {
	now := p.now()
	c.lastUsed = now
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastUsed) >= p.idle[0].idleTimeout {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// noPendingInput reports whether nothing has arrived on an idle connection: the backend server has not closed it, and
// no bytes that belong to no request are there to be read.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return sockets.NoPendingInput(c.Conn)
}

// write sends the request, in the background if its body is large or of unknown length. The channel receives the result
// once writing has ended.
func (c *conn) write(req *http.Request) <-chan error {
	done := make(chan error, 1)
	send := func() {
		err := req.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		done <- err
	}
	if req.ContentLength >= 0 && req.ContentLength <= maxInlineBody {
		send()
	} else {
		go send()
	}
	return done
}

// read returns the response that belongs to the request, and skips informational (1xx) ones. Responses to other
// requests are skipped only on a connection that has carried an earlier request, and only if the connection can still
// be used after them.
func (c *conn) read(req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	c.limited.left = maxHeadBytes
	c.limited.record.Start(nil)
	defer func() {
		c.limited.left = noLimit
		c.limited.record.Stop()
	}()
	for mismatched := 0; ; {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if matches(resp.Header) {
			c.updateIdleTimeout(resp.Header)
			return resp, nil
		}
		mismatched++
		if mismatched > maxMismatched || !c.reused || !reusable(resp) {
			return nil, errors.New("read response: it belongs to another request")
		}
		c.limited.left = maxDiscardBytes
		c.limited.record.Stop()
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
			return nil, errors.New("skip response to another request: its body is broken or too large")
		}
		c.limited.left = maxHeadBytes
		read, _ := c.reader.Peek(c.reader.Buffered()) // never fails for what is buffered
		c.limited.record.Start(read)
	}
}

// readHead reads the head of a response and checks it as it was received.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	if err := httpcheck.CheckHead(c.limited.record.Take(c.reader.Buffered())); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errSwitched
	}
	return resp, nil
}

// errSwitched reports a response that changes the protocol, which no request asks for.
var errSwitched = errors.New("response switches to another protocol")

// updateIdleTimeout sets the idle timeout from the Keep-Alive header, in which the backend server announces after how
// many seconds it closes an idle connection.
func (c *conn) updateIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if ok && (err == nil || errors.Is(err, strconv.ErrRange)) {
			seconds = min(max(seconds, 0), int(maxIdleTimeout.Seconds()))
			c.idleTimeout = max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
}

// responseBody is the body of a response. At its end it returns the connection to the pool. It closes the connection
// instead if the body was not read to its end, if more bytes have arrived, if the response or the context ends the
// connection, or if the request has not been written completely: the backend server could take the bytes of the next
// request for the rest of this one.
type responseBody struct {
	io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool  // stops closing the connection when the context ends; false if that has happened
	written  <-chan error // result of writing the request
	resp     *http.Response
	framed   bool // the response says where its body ends
	reusable bool
	sawEOF   bool // the body was read to its end
	released bool // the connection was returned to the pool or closed
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	if err == io.EOF {
		b.sawEOF = true
		b.release()
	} else if err != nil {
		b.Close()
	}
	return n, err
}

// writeEndTime is how long the end of writing a request is awaited when the connection has ended.
const writeEndTime = 100 * time.Millisecond

// checkEnd returns io.EOF if the body has proved to be complete, or else an error. A body that ends with the connection has
// only if the request was written completely: a reset is reported once, and if the writing goroutine gets it, the connection
// just seems to end here.
func (b *responseBody) checkEnd() error {
	if err := httpcheck.CheckFields(b.resp.Trailer); err != nil {
		return err
	}
	if b.framed {
		return io.EOF
	}
	select {
	case err := <-b.written:
		if err == nil {
			return io.EOF
		}
	case <-time.After(writeEndTime):
	}
	return io.ErrUnexpectedEOF
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.release()
	return nil
}

// release returns the connection to the pool if another request may follow on it, or else closes it. Only the first
// call has an effect.
func (b *responseBody) release() {
	if b.released {
		return
	}
	b.released = true
	cancelled := !b.stop()
	if cancelled || !b.sawEOF || !b.reusable || !b.requestWritten() || b.conn.reader.Buffered() > 0 {
		b.conn.Close()
		return
	}
	b.conn.reused = true
	b.pool.put(b.conn)
}

// requestWritten reports whether the request has been written completely by now. It must be called only once.
func (b *responseBody) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

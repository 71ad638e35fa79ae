// Package loopback sends HTTP/1.1 requests to the backend server on the same VM. Unlike net/http's client it never sends
// a request twice, tells whether a request can have been seen, and doesn't hand out an answer that belongs to another
// request: backend servers may send a second answer late, at the point where the next one is expected.
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

	"guavapoint.example/guavapoint/internal/sockets"
)

const (
	// dialTimeout bounds a connection attempt. A new connection takes about 1 ms.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long a connection stays in the pool where the backend server doesn't tell its timeout.
	defaultIdleTimeout = 500 * time.Millisecond
	// idleMargin ends the use of an idle connection before the backend server closes it.
	idleMargin = 700 * time.Millisecond
	// maxMismatched bounds the answers to other requests that are skipped before the connection is given up.
	maxMismatched = 2
	// maxDiscardBytes bounds the body of a skipped answer, in bytes.
	maxDiscardBytes = 1 << 20
	// maxInlineBody is the largest body that is written before the answer is read, in bytes. It fits into the socket's buffer,
	// so that a backend server which answers early can't block the writer.
	maxInlineBody = 16 << 10
)

// Errors of Pool.Do.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("no connection to the backend server")
	// ErrConnectionLost reports that the connection broke, or that the bytes on it are no answer, after the request was sent.
	ErrConnectionLost = errors.New("connection to the backend server was lost")
)

// Pool keeps connections to one backend server. It is safe for concurrent use.
type Pool struct {
	address string
	now     func() time.Time

	mu     sync.Mutex
	idle   []*conn // most recently used last
	opened int     // since the start
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration // how long the backend server keeps it open
	lastUsed    time.Time
	reused      bool
}

// New returns a pool without connections. address is the ip:port of the backend server.
func New(address string, now func() time.Time) *Pool {
	return &Pool{address: address, now: now}
}

// Opened returns the number of connections opened since the start.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends a request and returns the head of its answer. belongs tells whether an answer belongs to the request; others
// are skipped. The caller reads the body to its end or closes it. The request is cut off when ctx ends.
func (p *Pool) Do(ctx context.Context, req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	written := c.write(req)
	resp, err := c.read(req, matches)
	if err != nil {
		stop()
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrConnectionLost, err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, pool: p, conn: c, stop: stop, written: written, reusable: reusable(resp)}
	return resp, nil
}

// reusable reports whether the answer's end is marked, so that another request may follow on the connection.
func reusable(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return framed && !resp.Close && resp.ProtoAtLeast(1, 1)
}

// acquire returns an idle connection that is still sound, or a new one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if p.now().Sub(c.lastUsed) < c.idleTimeout && c.noPendingInput() {
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw), idleTimeout: defaultIdleTimeout}, nil
}

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

// put returns a connection to the pool, and closes those that have been idle for too long.
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

// noPendingInput reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return sockets.NoPendingInput(c.Conn)
}

// write sends the request. The channel tells when all of it was written.
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

// read returns the answer that belongs to the request.
func (c *conn) read(req *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	for mismatched := 0; ; {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
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
			return nil, errors.New("the answer belongs to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
			return nil, errors.New("the answer to another request has no end")
		}
	}
}

// updateIdleTimeout takes the timeout after which the backend server closes the idle connection.
func (c *conn) updateIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if ok && err == nil {
			c.idleTimeout = max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
}

// responseBody returns the connection to the pool at the end of the answer. It closes the connection where the answer was not
// read to its end, where more bytes have come, or where the request has not been written completely: the backend server
// could take other bytes for the rest.
type responseBody struct {
	io.ReadCloser
	pool     *Pool
	conn     *conn
	stop     func() bool
	written  <-chan error
	reusable bool
	sawEOF   bool // the end was reached
	released bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.sawEOF = true
		b.release()
	} else if err != nil {
		b.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.release()
	return nil
}

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

// requestWritten reports whether the request was written to its end.
func (b *responseBody) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

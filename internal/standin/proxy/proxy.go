// Package proxy is a stand-in for the network between two processes: a TCP proxy on loopback that delays, resets, cuts one
// way and silences connections.
package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is one way through the proxy.
type Direction uint8

// The directions, as a set of bits.
const (
	Forth Direction = 1 << iota // from the side that opened the connection
	Back
	Both = Forth | Back
)

// Proxy forwards connections to one target. All methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64  // nanoseconds before each piece is passed on
	cut      atomic.Uint32 // Direction in which nothing passes, also on new connections
	refusing atomic.Bool

	mu    sync.Mutex
	flows map[*flow]struct{}
	total int
	tasks sync.WaitGroup
}

// flow is one connection through the proxy.
type flow struct {
	client, server net.Conn
	silent         atomic.Bool
}

// New starts a proxy. listen is an address on loopback; port 0 chooses a free one.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, flows: make(map[*flow]struct{})}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Flows returns the number of connections so far.
func (p *Proxy) Flows() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// SetDelay delays each piece that is passed on from now.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// Silence lets nothing pass on the connections that exist now, without closing them. New ones work.
func (p *Proxy) Silence() {
	for _, f := range p.all() {
		f.silent.Store(true)
	}
}

// Cut lets nothing pass in a direction, on present and new connections, until Cut(0). What was held back is lost, and its
// connections stay silent.
func (p *Proxy) Cut(d Direction) { p.cut.Store(uint32(d)) }

// Refuse resets new connections while on is set.
func (p *Proxy) Refuse(on bool) { p.refusing.Store(on) }

// Reset resets all connections.
func (p *Proxy) Reset() {
	for _, f := range p.all() {
		f.reset()
	}
}

// Close resets all connections and ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Refuse(true)
	p.Reset()
	p.tasks.Wait()
}

func (p *Proxy) all() []*flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*flow, 0, len(p.flows))
	for f := range p.flows {
		all = append(all, f)
	}
	return all
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.serve(c) })
	}
}

func (p *Proxy) serve(c net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || p.refusing.Load() {
		abort(c)
		if err == nil {
			abort(server)
		}
		return
	}
	f := &flow{client: c, server: server}
	p.mu.Lock()
	p.flows[f] = struct{}{}
	p.total++
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(f, Forth, server, c) })
	both.Go(func() { p.pass(f, Back, c, server) })
	both.Wait()
	p.mu.Lock()
	delete(p.flows, f)
	p.mu.Unlock()
	_ = c.Close() // both directions have ended
	_ = server.Close()
}

// pieceSize is the most that is passed on at once, in bytes.
const pieceSize = 16 << 10

// pass copies one direction until it ends.
func (p *Proxy) pass(f *flow, d Direction, to, from net.Conn) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if p.holds(f, d) {
			f.silent.Store(true) // a gap in the bytes must not be passed on as if it were none
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, writeErr := to.Write(piece[:n]); writeErr != nil {
				f.reset()
				return
			}
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			f.reset()
			return
		}
	}
}

func (p *Proxy) holds(f *flow, d Direction) bool {
	return f.silent.Load() || Direction(p.cut.Load())&d != 0
}

func (f *flow) reset() {
	abort(f.client)
	abort(f.server)
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed in order
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have closed it
	}
}

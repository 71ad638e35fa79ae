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
	ClientToServer Direction = 1 << iota // from the side that opened the connection
	ServerToClient
	Both = ClientToServer | ServerToClient
)

// Proxy forwards connections to one target. All methods are safe for concurrent use.
type Proxy struct {
	listener  net.Listener
	target    string
	delay     atomic.Int64  // nanoseconds before each chunk is passed on
	blackhole atomic.Uint32 // Direction in which nothing passes, also on new connections
	rejectNew atomic.Bool

	mu    sync.Mutex
	conns map[*proxiedConn]struct{}
	total int
	wg    sync.WaitGroup
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	client, server net.Conn
	blackholed     atomic.Bool
}

// New starts a proxy. listen is an address on loopback; port 0 chooses a free one.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*proxiedConn]struct{})}
	p.wg.Go(p.acceptLoop)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// TotalConnections returns the number of connections so far.
func (p *Proxy) TotalConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// SetDelay delays each chunk that is passed on from now.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// BlackholeExisting lets nothing pass on the connections that exist now, without closing them. New ones work.
func (p *Proxy) BlackholeExisting() {
	for _, pc := range p.openConns() {
		pc.blackholed.Store(true)
	}
}

// SetBlackhole lets nothing pass in a direction, on present and new connections, until SetBlackhole(0). What was held
// back is lost, and its connections stay blackholed.
func (p *Proxy) SetBlackhole(d Direction) { p.blackhole.Store(uint32(d)) }

// SetRejectNew resets new connections while on is set.
func (p *Proxy) SetRejectNew(on bool) { p.rejectNew.Store(on) }

// ResetAll resets all connections.
func (p *Proxy) ResetAll() {
	for _, pc := range p.openConns() {
		pc.reset()
	}
}

// Close resets all connections and ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetRejectNew(true)
	p.ResetAll()
	p.wg.Wait()
}

func (p *Proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*proxiedConn, 0, len(p.conns))
	for pc := range p.conns {
		all = append(all, pc)
	}
	return all
}

func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.proxyConn(c) })
	}
}

func (p *Proxy) proxyConn(c net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || p.rejectNew.Load() {
		abort(c)
		if err == nil {
			abort(server)
		}
		return
	}
	pc := &proxiedConn{client: c, server: server}
	p.mu.Lock()
	p.conns[pc] = struct{}{}
	p.total++
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(pc, ClientToServer, server, c) })
	directions.Go(func() { p.forward(pc, ServerToClient, c, server) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
	_ = c.Close() // both directions have ended
	_ = server.Close()
}

// chunkSize is the most that is passed on at once, in bytes.
const chunkSize = 16 << 10

// forward copies one direction until it ends.
func (p *Proxy) forward(pc *proxiedConn, d Direction, to, from net.Conn) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if p.dropsData(pc, d) {
			pc.blackholed.Store(true) // a gap in the bytes must not be passed on as if it were none
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
				pc.reset()
				return
			}
		}
		if err == io.EOF {
			halfClose(to)
			return
		}
		if err != nil {
			pc.reset()
			return
		}
	}
}

func (p *Proxy) dropsData(pc *proxiedConn, d Direction) bool {
	return pc.blackholed.Load() || Direction(p.blackhole.Load())&d != 0
}

func (pc *proxiedConn) reset() {
	abort(pc.client)
	abort(pc.server)
}

// abort closes a connection by a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed in order
	}
	_ = c.Close()
}

func halfClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have closed it
	}
}

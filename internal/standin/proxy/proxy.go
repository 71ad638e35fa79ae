// Package proxy is a stand-in for the network between two processes: a TCP proxy on loopback that injects faults. It
// can delay data, reset connections, reject new ones, and drop all data in one direction or both while the connections
// stay open.
package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a set of directions in which data flows through the proxy.
type Direction uint8

// The directions; the client is the side that opened the connection.
const (
	ClientToServer Direction = 1 << iota
	ServerToClient
	Both = ClientToServer | ServerToClient
)

// Proxy forwards connections to one target. All methods are safe for concurrent use.
type Proxy struct {
	listener  net.Listener
	target    string
	delay     atomic.Int64  // nanoseconds before each chunk is forwarded
	blackhole atomic.Uint32 // Direction in which data is dropped, also on new connections
	rejectNew atomic.Bool

	mu    sync.Mutex // guards conns and total
	conns map[*proxiedConn]struct{}
	total int // connections added to conns so far
	wg    sync.WaitGroup
}

// proxiedConn is one connection through the proxy, with its two TCP connections.
type proxiedConn struct {
	client, server net.Conn
	blackholed     atomic.Bool // all further data is dropped, in both directions
}

// New starts a proxy that forwards connections to target. listen is an address on loopback; port 0 selects a free port.
// It returns an error if it can't listen.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("start the proxy to %s: %w", target, err)
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*proxiedConn]struct{})}
	p.wg.Go(p.acceptLoop)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// TotalConnections returns the number of connections to the target so far, open or closed. Rejected connections and
// those for which the target couldn't be dialed don't count.
func (p *Proxy) TotalConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// SetDelay delays each chunk of data that is forwarded from now on by d, in both directions.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// BlackholeExisting drops all further data on the connections that are open now, in both directions and for good,
// without closing them. New connections work.
func (p *Proxy) BlackholeExisting() {
	for _, pc := range p.openConns() {
		pc.blackholed.Store(true)
	}
}

// SetBlackhole drops all data in the directions d, on open and new connections, until SetBlackhole(0). The dropped data
// is lost, and a connection on which data was dropped stays open but forwards nothing more in either direction. A
// connection that carried no data in these directions meanwhile works again after SetBlackhole(0).
func (p *Proxy) SetBlackhole(d Direction) { p.blackhole.Store(uint32(d)) }

// SetRejectNew makes the proxy reset new connections while on is true.
func (p *Proxy) SetRejectNew(on bool) { p.rejectNew.Store(on) }

// ResetAll resets all open connections.
func (p *Proxy) ResetAll() {
	for _, pc := range p.openConns() {
		pc.reset()
	}
}

// Close stops the proxy, resets all connections and waits until they have ended.
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

// acceptLoop accepts connections until the listener is closed.
func (p *Proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.proxyConn(c) })
	}
}

// proxyConn forwards an accepted connection to the target until both directions have ended, or resets it.
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

// chunkSize is the largest amount of data that is forwarded at once, in bytes.
const chunkSize = 16 << 10

// forward copies data in the direction d until that direction ends. An error in either direction resets the connection.
func (p *Proxy) forward(pc *proxiedConn, d Direction, to, from net.Conn) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if p.dropsData(pc, d) {
			pc.blackholed.Store(true) // bytes after a gap must not be forwarded as if the stream were intact
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

// dropsData reports whether data on pc in the direction d is dropped.
func (p *Proxy) dropsData(pc *proxiedConn, d Direction) bool {
	return pc.blackholed.Load() || Direction(p.blackhole.Load())&d != 0
}

func (pc *proxiedConn) reset() {
	abort(pc.client)
	abort(pc.server)
}

// abort resets a connection.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
	}
	_ = c.Close()
}

// halfClose closes a connection for writing, so that the peer reads the end of the stream.
func halfClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the connection is already closed
	}
}

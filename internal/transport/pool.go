package transport

import (
	"context"
	"sync"
	"time"
)

// pool holds the connections that this side opened and that carry no exchange at present.
type pool struct {
	t *Transport

	mu     sync.Mutex
	idle   map[string][]*clientConn // by address, the most recently used last
	open   int                      // connections open or being opened, in use or not
	closed bool
}

func newPool(t *Transport) *pool {
	return &pool{t: t, idle: make(map[string][]*clientConn)}
}

// acquire returns an idle connection to the address that is still reusable, or opens one.
func (p *pool) acquire(ctx context.Context, address string) (*clientConn, error) {
	for {
		c, err := p.takeIdle(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c, nil)
	}
	if err := p.reserve(); err != nil {
		return nil, err
	}
	c, err := p.t.dial(ctx, address)
	if err != nil {
		p.unreserve()
		p.t.observe(Event{Kind: EventFailed, Address: address, Err: err})
		return nil, err
	}
	p.t.observe(Event{Kind: EventOpened, Address: address})
	return c, nil
}

// takeIdle returns the most recently used idle connection to the address, or nil.
func (p *pool) takeIdle(address string) (*clientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	all := p.idle[address]
	if len(all) == 0 {
		return nil, nil
	}
	c := all[len(all)-1]
	p.setIdle(address, all[:len(all)-1])
	return c, nil
}

// setIdle replaces the idle connections to an address. The caller holds mu.
func (p *pool) setIdle(address string, all []*clientConn) {
	if len(all) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = all
}

// reserve counts a connection that is to be opened. At Config.MaxConnections it closes an idle one first, and returns
// ErrTooManyConnections if there is none.
func (p *pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return ErrClosed
	}
	if p.open >= p.t.cfg.MaxConnections && !p.evictOldestIdle() {
		return ErrTooManyConnections
	}
	p.open++
	return nil
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// evictOldestIdle closes the idle connection that was unused for the longest time. It reports false if none is idle.
// The caller holds mu.
func (p *pool) evictOldestIdle() bool {
	var oldest *clientConn
	for _, all := range p.idle {
		if oldest == nil || all[0].lastUsed.Before(oldest.lastUsed) {
			oldest = all[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.setIdle(oldest.address, p.idle[oldest.address][1:])
	p.open--
	oldest.Close()
	return true
}

// put returns a connection to the pool for the next exchange.
func (p *pool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = time.Now()
	if p.closed {
		p.open--
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// discard closes a connection that is not in the pool. err is the reason, nil if the connection ended while idle.
func (p *pool) discard(c *clientConn, err error) {
	c.Close()
	p.unreserve()
	p.t.observe(Event{Kind: EventClosed, Address: c.address, Err: err})
}

// closeIdle closes the idle connections to an address after one to it has gone silent: the others may be silent as
// well.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	all := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range all {
		p.discard(c, errSilent)
	}
}

// idleChecksPerTimeout is the number of checks for unused connections within Config.IdleTimeout.
const idleChecksPerTimeout = 4

// closeExpiredPeriodically closes connections that were unused for Config.IdleTimeout, until the transport stops.
func (p *pool) closeExpiredPeriodically() {
	ticker := time.NewTicker(p.t.cfg.IdleTimeout / idleChecksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-p.t.ctx.Done():
			return
		case <-ticker.C:
			for _, c := range p.takeExpired(time.Now().Add(-p.t.cfg.IdleTimeout)) {
				p.discard(c, errIdleTimeout)
			}
		}
	}
}

// takeExpired removes and returns the idle connections that were last used before the given time.
func (p *pool) takeExpired(before time.Time) []*clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unused []*clientConn
	for address, all := range p.idle {
		n := 0
		for n < len(all) && all[n].lastUsed.Before(before) {
			n++
		}
		unused = append(unused, all[:n]...)
		p.setIdle(address, all[n:])
	}
	return unused
}

// close closes all idle connections. Those in use are closed at the end of their exchange.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	var all []*clientConn
	for _, idle := range p.idle {
		all = append(all, idle...)
	}
	p.idle = make(map[string][]*clientConn)
	p.mu.Unlock()
	for _, c := range all {
		p.discard(c, ErrClosed)
	}
}

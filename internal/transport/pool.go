package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// pool holds the connections that this side opened.
type pool struct {
	t *Transport

	mu     sync.Mutex
	peers  map[string]*peer
	total  int // connections open or being opened
	closed bool
	dials  sync.WaitGroup
}

// peer is one address with its connections.
type peer struct {
	address string
	conns   []*conn
	dial    *dial // in progress, nil if none
	// freshUntil is the time until which connections are opened from a new local port, because a middlebox may have
	// lost its state for the shared one.
	freshUntil time.Time
}

// freshPeriod is how long the shared port is avoided after it failed to reach a peer.
const freshPeriod = 10 * time.Minute

// dial is one attempt to open a connection, shared by all who wait for it.
type dial struct {
	done chan struct{}
	err  error // valid after done
}

func newPool(t *Transport) *pool {
	return &pool{t: t, peers: make(map[string]*peer)}
}

// acquire returns a connection to the address, with one outstanding stream counted, and opens one if needed.
func (p *pool) acquire(ctx context.Context, address string) (*conn, error) {
	for {
		c, d, err := p.pick(address)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pick returns the usable connection with the fewest streams, or the dial to wait for.
func (p *pool) pick(address string) (*conn, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	at := p.peer(address)
	best := at.least()
	if best != nil && best.outstanding < maxOutstanding {
		best.outstanding++
		if best.outstanding > p.t.cfg.StreamsPerConnection && len(at.conns) < p.t.cfg.ConnectionsPerPeer {
			_ = p.startDial(at) // the connection at hand serves meanwhile
		}
		return best, nil, nil
	}
	if best != nil && len(at.conns) >= p.t.cfg.ConnectionsPerPeer {
		return nil, nil, ErrTooManyStreams
	}
	if err := p.startDial(at); err != nil {
		p.dropEmpty(at)
		return nil, nil, err
	}
	return nil, at.dial, nil
}

func (p *pool) peer(address string) *peer {
	at, ok := p.peers[address]
	if !ok {
		at = &peer{address: address}
		p.peers[address] = at
	}
	return at
}

func (at *peer) least() *conn {
	var best *conn
	for _, c := range at.conns {
		if c.usable() && (best == nil || c.outstanding < best.outstanding) {
			best = c
		}
	}
	return best
}

// release ends a stream. answered is false where it ended without an answer of the peer.
func (p *pool) release(c *conn, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.outstanding--
	c.lastUsed = time.Now()
	if !answered {
		c.unanswered = true
	}
}

// startDial begins to open a connection unless that is in progress. The mutex is held.
func (p *pool) startDial(at *peer) error {
	if at.dial != nil || p.closed {
		return nil
	}
	if p.total >= p.t.cfg.MaxConnections && !p.evict() {
		return ErrTooManyConnections
	}
	d := &dial{done: make(chan struct{})}
	at.dial = d
	p.total++
	fresh := time.Now().Before(at.freshUntil)
	p.dials.Go(func() { p.run(at, d, fresh) })
	return nil
}

// evict closes the connection that was unused for the longest time. The mutex is held.
func (p *pool) evict() bool {
	var oldest *conn
	for _, at := range p.peers {
		for _, c := range at.conns {
			if c.outstanding == 0 && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.remove(oldest)
	go oldest.close(codeIdle, "replaced by a connection to another peer")
	return true
}

// run opens one connection. It doesn't use the context of a caller, because several may wait.
func (p *pool) run(at *peer, d *dial, fresh bool) {
	ctx, cancel := context.WithTimeout(p.t.ctx, p.t.cfg.DialTimeout)
	defer cancel()
	c, err := p.t.dial(ctx, at.address, fresh)
	p.mu.Lock()
	at.dial = nil
	d.err = err
	if err != nil {
		p.total--
		p.afterFailure(at, err)
	} else {
		at.conns = append(at.conns, c)
	}
	p.mu.Unlock()
	close(d.done)
	if err != nil {
		p.t.observe(Event{Kind: EventFailed, Address: at.address, Err: err})
		return
	}
	p.t.observe(Event{Kind: EventOpened, Address: at.address})
	context.AfterFunc(c.quic.Context(), func() { p.ended(c) })
}

// afterFailure uses a new port for the next attempt where the peer didn't respond. The mutex is held.
func (p *pool) afterFailure(at *peer, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		at.freshUntil = time.Now().Add(freshPeriod)
	}
	p.dropEmpty(at)
}

// ended forgets a connection that has been closed by either side.
func (p *pool) ended(c *conn) {
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	if c.socket != nil {
		_ = c.socket.close()
	}
	p.t.observe(Event{Kind: EventClosed, Address: c.address, Err: context.Cause(c.quic.Context())})
}

// remove takes a connection out of the pool, if it is there. The mutex is held.
func (p *pool) remove(c *conn) {
	at, ok := p.peers[c.address]
	if !ok {
		return
	}
	for i, other := range at.conns {
		if other == c {
			at.conns = append(at.conns[:i], at.conns[i+1:]...)
			p.total--
			p.dropEmpty(at)
			return
		}
	}
}

// dropEmpty forgets a peer without connections, unless it has to be remembered for its ports. The mutex is held.
func (p *pool) dropEmpty(at *peer) {
	if len(at.conns) == 0 && at.dial == nil && !time.Now().Before(at.freshUntil) {
		delete(p.peers, at.address)
	}
}

// step looks for silent and idle connections.
func (p *pool) step(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.peers {
		for _, c := range append([]*conn(nil), at.conns...) {
			p.stepConn(now, at, c)
		}
		p.dropEmpty(at)
	}
}

func (p *pool) stepConn(now time.Time, at *peer, c *conn) {
	switch act := c.step(now); {
	case act == actionPing:
		c.outstanding++
		go p.ping(c)
	case act == actionGiveUp:
		p.giveUp(now, at, c)
	case c.outstanding > 0:
	case c.retired || now.Sub(c.lastUsed) > p.t.cfg.IdleTimeout:
		p.remove(c)
		go c.close(codeIdle, "idle")
	}
}

// ping sends a ping. Flow control may hold it back, while unread bodies fill the connection's window, so its stream is
// reset halfway to the time when the connection counts as silent: a reset is not subject to flow control, and its
// acknowledgement is a sign of life.
func (p *pool) ping(c *conn) {
	c.ping(p.t.ctx, p.t.Address(), (p.t.cfg.SilentAfter-p.t.cfg.PingAfter)/2)
	p.release(c, true)
}

var errSilent = errors.New("nothing was received in spite of a ping")

// giveUp closes a silent connection, by which its outstanding calls are lost, and opens one from a new port. Other
// connections to the peer may share the fate of the port: they finish their streams and take no new ones. The mutex
// is held.
func (p *pool) giveUp(now time.Time, at *peer, c *conn) {
	c.silent.Store(true)
	for _, other := range at.conns {
		other.retired = true
	}
	at.freshUntil = now.Add(freshPeriod)
	p.remove(c)
	_ = p.startDial(at) // a failure shows at the next call
	go func() {
		p.t.observe(Event{Kind: EventSilent, Address: c.address, Err: errSilent})
		c.close(codeSilent, errSilent.Error())
	}()
}

// close closes all connections. The transport's context has ended, so that dials in progress fail.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dials.Wait()
	p.mu.Lock()
	var all []*conn
	for _, at := range p.peers {
		all = append(all, at.conns...)
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range all {
		wg.Go(func() { c.close(codeClosed, "transport closed") })
	}
	wg.Wait()
}

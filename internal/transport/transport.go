package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Transport exchanges calls and control messages with other daemons. It is safe for concurrent use.
type Transport struct {
	cfg    Config
	socket *socket // listens, and opens connections except those from a new port
	listen *quic.Listener
	pool   *pool

	ctx    context.Context // ends when the transport stops
	cancel context.CancelFunc
	tasks  sync.WaitGroup // the accept loop and the monitor

	mu       sync.Mutex
	closing  bool
	incoming int // streams that peers opened
	outgoing int
	accepted map[*quic.Conn]struct{}
	quiet    chan struct{} // closed when closing and no stream is open
}

// socket is a UDP socket with its QUIC transport. quic-go doesn't close a socket that it was given.
type socket struct {
	conn *net.UDPConn
	quic *quic.Transport
}

func (s *socket) close() error {
	return errors.Join(s.quic.Close(), s.conn.Close())
}

// New opens the UDP socket and begins to serve peers.
func New(cfg Config) (*Transport, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		accepted: make(map[*quic.Conn]struct{}),
		quiet:    make(chan struct{}),
	}
	t.pool = newPool(t)
	if err := t.open(); err != nil {
		cancel()
		return nil, err
	}
	t.tasks.Go(t.accept)
	t.tasks.Go(t.monitor)
	return t, nil
}

// open binds the address and begins to listen.
func (t *Transport) open() error {
	address, err := net.ResolveUDPAddr("udp", t.cfg.Address)
	if err != nil {
		return fmt.Errorf("transport: listen address: %w", err)
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("transport: %w", err)
	}
	t.socket = &socket{conn: udp, quic: &quic.Transport{
		Conn:              udp,
		StatelessResetKey: resetKey(t.cfg.TLS, udp.LocalAddr().String()),
		ConnContext:       t.watchHandshake,
	}}
	t.listen, err = t.socket.quic.Listen(serverTLS(t.cfg.TLS), t.cfg.serverQUIC())
	if err != nil {
		return errors.Join(fmt.Errorf("transport: %w", err), t.socket.close())
	}
	return nil
}

// Address returns the UDP address on which the transport listens.
func (t *Transport) Address() string { return t.socket.conn.LocalAddr().String() }

// beginIncoming counts a stream that a peer opened. It reports false after the begin of Close.
func (t *Transport) beginIncoming() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		return false
	}
	t.incoming++
	return true
}

func (t *Transport) endIncoming() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incoming--
	t.signalQuiet()
}

// beginOutgoing counts an own stream. During Close it reports false unless a peer's stream is open, whose handler may
// need calls of its own.
func (t *Transport) beginOutgoing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing && t.incoming == 0 {
		return false
	}
	t.outgoing++
	return true
}

func (t *Transport) endOutgoing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outgoing--
	t.signalQuiet()
}

// signalQuiet tells Close that no stream is open. The caller holds the mutex.
func (t *Transport) signalQuiet() {
	if !t.closing || t.incoming+t.outgoing > 0 {
		return
	}
	select {
	case <-t.quiet:
	default:
		close(t.quiet)
	}
}

// Close refuses new connections and streams, lets the open streams finish until ctx ends, and then closes all
// connections. It returns the error of ctx when streams were cut off. Only the first call does anything.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	first := !t.closing
	t.closing = true
	t.signalQuiet()
	t.mu.Unlock()
	if !first {
		return nil
	}
	err := t.listen.Close()
	select {
	case <-t.quiet:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	t.cancel()
	t.closeAccepted()
	t.pool.close()
	t.tasks.Wait()
	return errors.Join(err, t.socket.close())
}

func (t *Transport) closeAccepted() {
	t.mu.Lock()
	var all []*quic.Conn
	for c := range t.accepted {
		all = append(all, c)
	}
	t.mu.Unlock()
	closeAll(all, codeClosed, "transport closed")
}

// closeAll closes connections at the same time, because each waits until its last packet is sent.
func closeAll(all []*quic.Conn, code quic.ApplicationErrorCode, reason string) {
	var wg sync.WaitGroup
	for _, c := range all {
		wg.Go(func() { _ = c.CloseWithError(code, reason) })
	}
	wg.Wait()
}

// monitorSteps is the number of steps of the monitor within Config.PingAfter.
const monitorSteps = 5

// monitor looks for silent and idle connections.
func (t *Transport) monitor() {
	ticker := time.NewTicker(t.cfg.PingAfter / monitorSteps)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.pool.step(time.Now())
		}
	}
}

package transport

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"

	"guavapoint.example/guavapoint/internal/sockets"
)

// Transport exchanges calls and control messages with other daemons. It is safe for concurrent use.
type Transport struct {
	cfg      Config
	listener net.Listener
	dialTCP  func(ctx context.Context, address string) (net.Conn, error) // opens a connection below TLS
	pool     *pool

	ctx    context.Context // ends when the transport stops
	cancel context.CancelFunc
	tasks  sync.WaitGroup // the accept loop, its connections and the removal of idle ones

	mu            sync.Mutex
	closing       bool
	incoming      int // open exchanges that peers started
	outgoing      int // open exchanges that this side started
	serverConns   map[*serverConn]struct{}
	exchangesDone chan struct{} // closed when closing is set and no exchange is open
}

// New listens on the address and starts to serve peers.
func New(cfg Config) (*Transport, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	receiveBuffer := sockets.WithReceiveBuffer(sockets.ReceiveBuffer)
	config := net.ListenConfig{KeepAliveConfig: sockets.KeepAlive, Control: receiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w", cfg.Address, err)
	}
	dialer := net.Dialer{KeepAliveConfig: sockets.KeepAlive, Control: receiveBuffer}
	return newTransport(cfg, listener, func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}), nil
}

// newTransport starts to serve the peers that connect to the listener. It opens connections with dial.
func newTransport(cfg Config, listener net.Listener,
	dial func(ctx context.Context, address string) (net.Conn, error)) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:           cfg,
		listener:      listener,
		dialTCP:       dial,
		ctx:           ctx,
		cancel:        cancel,
		serverConns:   make(map[*serverConn]struct{}),
		exchangesDone: make(chan struct{}),
	}
	t.pool = newPool(t)
	t.tasks.Go(t.accept)
	t.tasks.Go(t.pool.closeExpiredPeriodically)
	return t
}

// Address returns the address on which the transport listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// beginIncoming counts an exchange that a peer started. It reports false once Close has been called.
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
	t.signalExchangesDone()
}

// beginOutgoing counts an exchange that this side starts. Once Close has been called, it reports false unless a peer's
// exchange is open, whose handler may need to make calls.
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
	t.signalExchangesDone()
}

// signalExchangesDone closes exchangesDone if Close was called and no exchange is open. The caller holds mu.
func (t *Transport) signalExchangesDone() {
	if !t.closing || t.incoming+t.outgoing > 0 {
		return
	}
	select {
	case <-t.exchangesDone:
	default:
		close(t.exchangesDone)
	}
}

// Close refuses new exchanges, waits for the open ones until ctx ends, and then closes all connections. It returns the
// error of ctx when open exchanges were interrupted. Only the first call has an effect; later ones return nil at once.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	first := !t.closing
	t.closing = true
	t.signalExchangesDone()
	t.mu.Unlock()
	if !first {
		return nil
	}
	t.interruptIdle()
	var err error
	select {
	case <-t.exchangesDone:
	case <-ctx.Done():
		err = ctx.Err()
	}
	t.cancel()
	err = errors.Join(err, t.listener.Close())
	t.pool.close()
	if err != nil {
		t.closeServerConns()
	}
	t.tasks.Wait()
	return err
}

// interruptIdle makes the accepted connections without an exchange send a connection close message.
func (t *Transport) interruptIdle() {
	for _, c := range t.currentServerConns() {
		c.interruptIdle()
	}
}

// closeServerConns closes the accepted connections, also those with an open exchange.
func (t *Transport) closeServerConns() {
	for _, c := range t.currentServerConns() {
		c.Close()
	}
}

// currentServerConns returns the accepted connections.
func (t *Transport) currentServerConns() []*serverConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.serverConns))
}

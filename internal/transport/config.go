package transport

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/quic-go/quic-go"
)

// Config configures a Transport. Zero durations and counts take the defaults.
type Config struct {
	// Address is the UDP address to listen on, "ip:port". Port 0 chooses a free port, see Transport.Address.
	Address string
	// TLS holds the certificate in Certificates and the authority in RootCAs; LoadTLS returns such a configuration.
	// The other fields that matter for mutual authentication are set by New.
	TLS *tls.Config
	// Handler serves the calls and control messages of peers.
	Handler Handler
	// Observer is told about connections; nil for none.
	Observer Observer

	// PingAfter is how long nothing may arrive on a connection with outstanding streams before a ping is sent on it.
	PingAfter time.Duration
	// SilentAfter is how long nothing may arrive, in spite of the ping, before the connection counts as silent.
	SilentAfter time.Duration
	// IdleTimeout is the time after which an unused connection is closed by the side that opened it.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection. It covers two lost packets between regions, which quic-go sends
	// again after 0.2 s and 0.6 s.
	DialTimeout time.Duration
	// MessageTimeout bounds the time between the start of an incoming stream and the end of its first message.
	MessageTimeout time.Duration
	// ConnectionsPerPeer is the largest number of connections opened to one peer.
	ConnectionsPerPeer int
	// StreamsPerConnection is the number of outstanding streams on each connection to a peer at which another
	// connection is opened to it.
	StreamsPerConnection int
	// MaxConnections bounds the opened connections, and separately the accepted ones. An idle one takes about 50 KB.
	MaxConnections int
}

// Defaults of Config. PingAfter and SilentAfter are those of section 5 of the design.
const (
	DefaultPingAfter            = 250 * time.Millisecond
	DefaultSilentAfter          = 500 * time.Millisecond
	DefaultIdleTimeout          = 20 * time.Second
	DefaultDialTimeout          = time.Second
	DefaultMessageTimeout       = 5 * time.Second
	DefaultConnectionsPerPeer   = 2
	DefaultStreamsPerConnection = 100
	DefaultMaxConnections       = 512
)

// maxIncomingStreams is what a peer may have open on one connection. It is above the slots of the largest upstream
// (100) with its queue, so that calls wait in the upstream's queue, by rank, and not in the transport.
const maxIncomingStreams = 1000

// maxOutstanding is the number of own streams on one connection above which no call is sent on it. Without a reserve
// below the peer's maxIncomingStreams, a ping finds no stream, and a busy connection would count as silent.
const maxOutstanding = maxIncomingStreams - 100

// Windows of QUIC flow control, in bytes. The largest window of a stream covers 30 Mbit/s at 60 ms (225 KB). A call
// that waits for admission holds its unread body, up to the initial window of its stream, in the connection's window;
// that one has room for 64 of them before calls block each other.
const (
	initialStreamWindow     = 128 << 10
	maxStreamWindow         = 512 << 10
	initialConnectionWindow = 8 << 20
	maxConnectionWindow     = 16 << 20
)

// idleReserve is added to IdleTimeout for QUIC's own idle timeout. The side that opened a connection closes it first,
// and so never sends a call on a connection that the peer has already forgotten.
const idleReserve = 10 * time.Second

func (c Config) withDefaults() (Config, error) {
	if c.Handler == nil {
		return c, errors.New("transport: Config.Handler is nil")
	}
	if c.TLS == nil || len(c.TLS.Certificates) == 0 || (c.TLS.RootCAs == nil && !c.TLS.InsecureSkipVerify) {
		return c, errors.New("transport: Config.TLS needs a certificate and an authority")
	}
	setDefault(&c.PingAfter, DefaultPingAfter)
	setDefault(&c.SilentAfter, DefaultSilentAfter)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.MessageTimeout, DefaultMessageTimeout)
	setDefault(&c.ConnectionsPerPeer, DefaultConnectionsPerPeer)
	setDefault(&c.StreamsPerConnection, DefaultStreamsPerConnection)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	return c, nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// serverQUIC returns the configuration of accepted connections.
func (c Config) serverQUIC() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.DialTimeout,
		MaxIdleTimeout:                 c.IdleTimeout + idleReserve,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		RequireStreamCreditRelease:     true, // see credits
	}
}

// clientQUIC returns the configuration of opened connections. Only their opener starts streams.
func (c Config) clientQUIC() *quic.Config {
	q := c.serverQUIC()
	q.MaxIncomingStreams = -1
	return q
}

package transport

import (
	"crypto/tls"
	"errors"
	"time"
)

// Config configures a Transport. Zero durations and counts take the defaults.
type Config struct {
	// Address is the TCP address to listen on, "ip:port". Port 0 chooses a free port, see Transport.Address.
	Address string
	// TLS holds the certificate in Certificates and the authority in RootCAs; LoadTLS returns such a configuration.
	// Nil means connections without encryption and authentication.
	TLS *tls.Config
	// Handler serves the calls and control messages of peers.
	Handler Handler
	// Observer receives connection events; nil for none.
	Observer Observer

	// KeepAliveInterval is the time between two keep-alive messages while an answer is still to come.
	KeepAliveInterval time.Duration
	// KeepAliveTimeout is the time without any input, while an answer is awaited, after which a connection counts as
	// silent. It must leave room for a lost keep-alive message. The daemons that call this one must have the same
	// timeout or a longer one.
	KeepAliveTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed by the side that opened it.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection. It must cover several round trips between regions (60 ms).
	DialTimeout time.Duration
	// MessageTimeout bounds the time between the first byte of a message and its end.
	MessageTimeout time.Duration
	// MaxConnections bounds the number of opened connections, and separately that of the accepted ones.
	MaxConnections int
}

// Defaults of Config. The keep-alive timeout is that of section 5 of the design; two keep-alive messages are due within
// it.
const (
	DefaultKeepAliveInterval = 200 * time.Millisecond
	DefaultKeepAliveTimeout  = 500 * time.Millisecond
	DefaultIdleTimeout       = 10 * time.Second
	DefaultDialTimeout       = time.Second
	DefaultMessageTimeout    = 5 * time.Second
	DefaultMaxConnections    = 1024
)

// serverIdleGrace is added to IdleTimeout on the accepting side, so that the side that opened a connection closes it
// first and never sends a call on a connection that the peer is closing.
const serverIdleGrace = 10 * time.Second

func (c Config) withDefaults() (Config, error) {
	if c.Handler == nil {
		return c, errors.New("transport: Config.Handler is nil")
	}
	if c.TLS != nil && (len(c.TLS.Certificates) == 0 || c.TLS.RootCAs == nil) {
		return c, errors.New("transport: Config.TLS needs a certificate and an authority")
	}
	setDefault(&c.KeepAliveInterval, DefaultKeepAliveInterval)
	setDefault(&c.KeepAliveTimeout, DefaultKeepAliveTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.MessageTimeout, DefaultMessageTimeout)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	return c, nil
}

// setDefault sets a field that is not positive to the given value.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

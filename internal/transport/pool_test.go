package transport

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"guavapoint.example/guavapoint/internal/wire"
)

// Guards against one dial for each of many calls to a new peer.
func TestConcurrentDialsAreMerged(t *testing.T) {
	a := newAuthority(t)
	seen := newEvents()
	server := a.start("server", handler{}, func(c *Config) { c.Observer = seen })
	client := a.start("client", handler{}, nil)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if _, _, err := exchangeBody(within(t), client, server.Address(), nil); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := seen.count(EventOpened, true); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Guards against a busy peer that never gets its second connection, and one that gets ever more.
func TestBusyPeerGetsAnotherConnection(t *testing.T) {
	a := newAuthority(t)
	h := newHeld()
	seen := newEvents()
	server := a.start("server", h, func(c *Config) { c.Observer = seen })
	client := a.start("client", handler{}, func(c *Config) { c.StreamsPerConnection = 2 })
	var all []<-chan result
	for range 20 {
		all = append(all, background(within(t), client, server.Address(), nil))
		<-h.arrived
	}
	await(t, "a second connection", func() bool { return seen.count(EventOpened, true) == 2 })
	close(h.release)
	for _, done := range all {
		if r := <-done; r.err != nil {
			t.Error(r.err)
		}
	}
	if n := seen.count(EventOpened, true); n != DefaultConnectionsPerPeer {
		t.Errorf("%d connections, want %d", n, DefaultConnectionsPerPeer)
	}
}

// Guards against connections that stay open for ever after their last use.
func TestIdleConnectionIsDropped(t *testing.T) {
	a := newAuthority(t)
	seen := newEvents()
	server := a.start("server", handler{}, func(c *Config) { c.Observer = seen })
	client := a.start("client", handler{}, func(c *Config) { c.IdleTimeout = 50 * time.Millisecond })
	if _, _, err := exchangeBody(within(t), client, server.Address(), nil); err != nil {
		t.Fatal(err)
	}
	var reason *quic.ApplicationError
	if e := seen.await(t, EventClosed, true); !errors.As(e.Err, &reason) || reason.ErrorCode != codeIdle {
		t.Errorf("closed by %v", e.Err)
	}
	if _, _, err := exchangeBody(within(t), client, server.Address(), nil); err != nil {
		t.Errorf("call after the idle time: %v", err)
	}
}

// Guards against a connection that takes no more streams once a peer has opened as many as are allowed at one time.
func TestCreditOfEndedStreamsIsReturned(t *testing.T) {
	a := newAuthority(t)
	server := a.start("server", handler{}, nil)
	client := a.start("client", handler{}, func(c *Config) { c.SilentAfter = time.Hour })
	m := &wire.Control{Ping: &wire.Ping{}}
	for n := range maxIncomingStreams + 2*creditBatch {
		if err := client.Send(within(t), server.Address(), m); err != nil {
			t.Fatalf("message %d: %v", n, err)
		}
	}
}

// Guards against a connection that counts as silent because its calls leave no stream for a ping.
func TestFullConnectionIsNotSilent(t *testing.T) {
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	client := a.start("client", handler{}, func(c *Config) {
		c.ConnectionsPerPeer = 1
		c.PingAfter = 50 * time.Millisecond
	})
	var all []<-chan result
	for range maxIncomingStreams + 50 {
		all = append(all, background(within(t), client, server.Address(), nil))
	}
	for range maxOutstanding {
		<-h.arrived
	}
	c := client.onlyConn(server.Address())
	await(t, "20 pings", func() bool { return c.pings.Load() >= 20 })
	close(h.release)
	refused := 0
	for _, done := range all {
		if r := <-done; errors.Is(r.err, ErrTooManyStreams) {
			refused++
		} else if r.err != nil {
			t.Error(r.err)
		}
	}
	if want := maxIncomingStreams + 50 - maxOutstanding; refused != want {
		t.Errorf("%d calls were refused, want %d", refused, want)
	}
}

// Guards against connections beyond the limit, and against a limit that idle connections use up.
func TestConnectionLimit(t *testing.T) {
	a := newAuthority(t)
	h := newHeld()
	one, two := a.start("one", handler{}, nil), a.start("two", h, nil)
	client := a.start("client", handler{}, func(c *Config) { c.MaxConnections = 1 })
	if _, _, err := exchangeBody(within(t), client, one.Address(), nil); err != nil {
		t.Fatal(err)
	}
	done := background(within(t), client, two.Address(), nil)
	<-h.arrived
	_, err := client.Call(within(t), one.Address(), header(), nil)
	if !isNotSent(err) || !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("got %v", err)
	}
	close(h.release)
	if r := <-done; r.err != nil {
		t.Error(r.err)
	}
}

// Guards against a shutdown that cuts off a running call or takes a new one.
func TestCloseLetsCallsFinish(t *testing.T) {
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	client := a.start("client", handler{}, nil)
	body := strings.Repeat("whole", 100_000)
	done := background(within(t), client, server.Address(), strings.NewReader(body))
	<-h.arrived
	closed := make(chan error, 1)
	go func() { closed <- server.Close(within(t)) }()
	await(t, "a refused call", func() bool {
		short, cancel := context.WithTimeout(within(t), 100*time.Millisecond)
		defer cancel()
		_, err := client.Call(short, server.Address(), header(), nil)
		return isNotSent(err) && errors.Is(err, ErrRefused)
	})
	close(h.release)
	if r := <-done; r.err != nil || r.body == nil || string(r.body) != body {
		t.Errorf("running call got %d bytes, %v", len(r.body), r.err)
	}
	if err := <-closed; err != nil {
		t.Errorf("Close: %v", err)
	}
	if _, err := server.Call(within(t), client.Address(), header(), nil); !isNotSent(err) || !errors.Is(err, ErrClosed) {
		t.Errorf("call after Close: %v", err)
	}
}

// Guards against a Close that waits for ever, and against calls that it cuts off without telling.
func TestCloseCutsOffAtItsDeadline(t *testing.T) {
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	client := a.start("client", handler{}, nil)
	done := background(within(t), client, server.Address(), nil)
	s := <-h.arrived
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Close(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Close: %v", err)
	}
	var lost *LostError
	if r := <-done; !errors.As(r.err, &lost) {
		t.Errorf("call got %v", r.err)
	}
	<-s.Context().Done()
}

// Guards against requests without a reply that hang, and against refusals that are taken for replies.
func TestControlRefusals(t *testing.T) {
	a := newAuthority(t)
	received := make(chan string, 1)
	serve := func(_ context.Context, from string, m *wire.Control) (*wire.Control, error) {
		switch m.From {
		case "chosen":
			return nil, &RefusalError{Code: "c", Message: "m"}
		case "notice":
			received <- from
		case "invalid":
			return &wire.Control{}, nil
		}
		return nil, nil
	}
	server := a.start("server", handler{control: serve}, nil)
	client := a.start("client", handler{}, nil)
	for from, code := range map[string]string{"chosen": "c", "none": codeNoReply, "invalid": codeInvalidReply} {
		m := &wire.Control{From: from, ConfigPull: &wire.ConfigPull{}}
		_, err := client.Request(within(t), server.Address(), m)
		var refusal *RefusalError
		if !errors.As(err, &refusal) || refusal.Code != code {
			t.Errorf("%s: got %v, want code %s", from, err, code)
		}
	}
	m := &wire.Control{From: "notice", ConfigPull: &wire.ConfigPull{}}
	if err := client.Send(within(t), server.Address(), m); err != nil || <-received != client.Address() {
		t.Errorf("notice: %v", err)
	}
}

package transport

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/wire"
)

// Guards against calls that hang on a silent connection, and against new calls that go on using it: outstanding calls
// are reported as lost, and both calls and queries of the outcome work over a connection from a new port.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	proxy := newProxy(t, server.Address())
	seen := newEvents()
	client := a.start("client", handler{}, func(c *Config) { c.Observer = seen })
	ctx := within(t)
	one := background(ctx, client, proxy.address(), nil)
	two := background(ctx, client, proxy.address(), strings.NewReader("body"))
	<-h.arrived
	<-h.arrived
	proxy.silence()
	for _, done := range []<-chan result{one, two} {
		var lost *LostError
		if r := <-done; !errors.As(r.err, &lost) || !lost.Silent {
			t.Errorf("got %v, want a silent *LostError", r.err)
		}
	}
	seen.await(t, EventSilent, false)
	close(h.release)
	got, _, err := exchangeBody(ctx, client, proxy.address(), strings.NewReader("after"))
	if err != nil || string(got) != "after" || proxy.numFlows() != 2 {
		t.Errorf("got %q, %v over %d flows, want 2", got, err, proxy.numFlows())
	}
	query := &wire.Control{ResolveRequest: &wire.ResolveRequest{Token: "t"}}
	if _, err := client.Request(ctx, proxy.address(), query); err != nil {
		t.Errorf("query of the outcome: %v", err)
	}
}

// Guards against an answer that is cut in the middle by the network and looks whole, or never ends for its reader.
func TestAnswerCutByTheNetwork(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	cut := make(chan struct{})
	server := a.start("server", handler{call: func(s *CallStream) {
		rest := readerFunc(func([]byte) (int, error) {
			<-cut
			return 0, io.EOF
		})
		_ = s.Answer(answered(), io.MultiReader(zeros(100_000), rest), nil)
	}}, nil)
	proxy := newProxy(t, server.Address())
	client := a.start("client", handler{}, nil)
	answer, err := client.Call(within(t), proxy.address(), header(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(answer.Body, make([]byte, 100_000)); err != nil {
		t.Fatal(err)
	}
	proxy.silence()
	close(cut) // the end of the answer is sent and lost
	if n, err := answer.Body.Read(make([]byte, 1)); n != 0 || err != io.ErrUnexpectedEOF || answer.Unspent() != 0 {
		t.Errorf("got %d bytes, %v", n, err)
	}
}

// Guards against calls with short timeouts that each end before the silence is noticed, so that it never is.
func TestSilenceIsNoticedByShortCalls(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	server := a.start("server", handler{}, nil)
	proxy := newProxy(t, server.Address())
	client := a.start("client", handler{}, nil)
	ctx := within(t)
	if _, _, err := exchangeBody(ctx, client, proxy.address(), nil); err != nil {
		t.Fatal(err)
	}
	proxy.silence()
	await(t, "a short call over a new connection", func() bool {
		time.Sleep(150 * time.Millisecond) // no call is outstanding meanwhile
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, _, err := exchangeBody(short, client, proxy.address(), nil)
		return err == nil
	})
}

// Guards against a long-running backend server that is mistaken for a silent connection: the answer comes after many
// more pings than a silent connection gets.
func TestLongRunningCallIsNotSilent(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	client := a.start("client", handler{}, func(c *Config) {
		c.PingAfter = 50 * time.Millisecond
		c.SilentAfter = 500 * time.Millisecond // leaves a busy machine time to answer the pings
	})
	done := background(within(t), client, server.Address(), strings.NewReader("late"))
	<-h.arrived
	c := client.onlyConn(server.Address())
	await(t, "20 pings", func() bool { return c.pings.Load() >= 20 })
	close(h.release)
	if r := <-done; r.err != nil || string(r.body) != "late" {
		t.Errorf("got %q, %v", r.body, r.err)
	}
}

// Guards against a connection that counts as silent because unread bodies fill its window and leave no room for a ping.
func TestStalledBodiesAreNotSilent(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	client := a.start("client", handler{}, func(c *Config) {
		c.ConnectionsPerPeer = 1
		c.PingAfter = 50 * time.Millisecond
	})
	const stalled = initialConnectionWindow / initialStreamWindow
	var all []<-chan result
	for range stalled {
		all = append(all, background(within(t), client, server.Address(), zeros(2*initialStreamWindow)))
	}
	for range stalled {
		<-h.arrived
	}
	c := client.onlyConn(server.Address())
	await(t, "5 pings", func() bool { return c.pings.Load() >= 5 })
	close(h.release)
	for _, done := range all {
		if r := <-done; r.err != nil || len(r.body) != 2*initialStreamWindow {
			t.Errorf("got %d bytes, %v", len(r.body), r.err)
		}
	}
}

// Guards against answers that get mixed up or cut when packets arrive late and out of order and the calls end in
// another order than they began.
func TestLateAndReorderedAnswers(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	h := newHeld()
	server := a.start("server", h, nil)
	proxy := newProxy(t, server.Address())
	client := a.start("client", handler{}, nil)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(20261204, 1))
	delay := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.IntN(30)) * time.Millisecond
	}
	proxy.delay.Store(&delay)
	ctx := within(t)
	var all []<-chan result
	body := func(i int) string { return strings.Repeat(string(rune('A'+i)), 1000*(i+1)) }
	for i := range 40 {
		all = append(all, background(ctx, client, proxy.address(), strings.NewReader(body(i))))
	}
	for range all {
		<-h.arrived
	}
	close(h.release)
	for i := range all {
		if r := <-all[i]; r.err != nil || string(r.body) != body(i) {
			t.Errorf("call %d: got %d bytes, %v", i, len(r.body), r.err)
		}
	}
}

// Guards against calls to a restarted daemon that wait for the silence to be noticed, or that count as never sent.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	h := newHeld()
	certificate := a.tls("server")
	old := a.start("old", h, func(c *Config) { c.TLS = certificate })
	client := a.start("client", handler{}, func(c *Config) { c.SilentAfter = time.Hour })
	done := background(within(t), client, old.Address(), nil)
	<-h.arrived
	_ = old.socket.conn.Close() // a killed process says nothing to its peers
	a.start("new", handler{}, func(c *Config) { c.TLS, c.Address = certificate, old.Address() })
	var lost *LostError
	if r := <-done; !errors.As(r.err, &lost) || lost.Silent {
		t.Errorf("got %v, want a *LostError that is not silent", r.err)
	}
	if _, _, err := exchangeBody(within(t), client, old.Address(), nil); err != nil {
		t.Error(err)
	}
}

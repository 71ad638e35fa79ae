package transport

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/wire"
)

// BenchmarkCall measures a call of 1 KB with an answer of 1 KB over an open connection; allocations are those of both
// ends.
func BenchmarkCall(b *testing.B) {
	a := newAuthority(b)
	server, client := a.start("server", handler{}, nil), a.start("client", handler{}, nil)
	body := make([]byte, 1<<10)
	ctx := b.Context()
	call := func() {
		answer, err := client.Call(ctx, server.Address(), header(), bytes.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, answer.Body); n != 1<<10 || err != nil {
			b.Fatal(n, err)
		}
	}
	call()
	b.Run("sequential", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			call()
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				call()
			}
		})
	})
}

// BenchmarkNewConnection measures the mutual TLS handshake, the first call and the close.
func BenchmarkNewConnection(b *testing.B) {
	a := newAuthority(b)
	server, client := a.start("server", handler{}, nil), a.start("client", handler{}, nil)
	b.ReportAllocs()
	for b.Loop() {
		c, err := client.dial(b.Context(), server.Address(), false)
		if err != nil {
			b.Fatal(err)
		}
		c.ping(b.Context(), "", eventually)
		c.close(codeIdle, "")
	}
}

// inUse returns the bytes of live heap objects and of stacks.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkIdleConnectionMemory reports the memory of an idle connection, the sum of both ends.
func BenchmarkIdleConnectionMemory(b *testing.B) {
	const connections = 200
	a := newAuthority(b)
	server, client := a.start("server", handler{}, nil), a.start("client", handler{}, nil)
	for name, fresh := range map[string]bool{"shared port": false, "own port": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := inUse()
				var all []*conn
				for range connections {
					c, err := client.dial(b.Context(), server.Address(), fresh)
					if err != nil {
						b.Fatal(err)
					}
					c.ping(b.Context(), "", eventually)
					all = append(all, c)
				}
				time.Sleep(time.Second) // the buffers of the handshakes are released
				b.ReportMetric((inUse()-before)/connections, "B/connection")
				for _, c := range all {
					c.close(codeIdle, "")
				}
				await(b, "end of the connections", func() bool {
					server.mu.Lock()
					defer server.mu.Unlock()
					return len(server.accepted) == 0
				})
			}
		})
	}
}

// BenchmarkWireBytes reports UDP payload and datagrams at a proxy, both directions: of a connection without use, of one
// with an outstanding call, which is pinged, and of single control messages of the size of a heartbeat.
func BenchmarkWireBytes(b *testing.B) {
	const seconds, messages, payload = 5, 100, 100
	const ackDelay = 50 * time.Millisecond // above the longest delay of an acknowledgement, 25 ms
	a := newAuthority(b)
	h := newHeld()
	server, client := a.start("server", h, nil), a.start("client", handler{}, nil)
	proxy := newProxy(b, server.Address())
	m := &wire.Control{From: client.Address(), Membership: &wire.Membership{Payload: make([]byte, payload)}}
	send := func() {
		if err := client.Send(b.Context(), proxy.address(), m); err != nil {
			b.Fatal(err)
		}
	}
	for range messages { // the search for the path's MTU goes on with the traffic
		send()
		time.Sleep(ackDelay)
	}
	measure := func(b *testing.B, per float64, f func()) {
		for b.Loop() {
			sent, packets := proxy.sent.Load(), proxy.packets.Load()
			f()
			b.ReportMetric(float64(proxy.sent.Load()-sent)/per, "B")
			b.ReportMetric(float64(proxy.packets.Load()-packets)/per, "datagrams")
		}
	}
	b.Run("idle second", func(b *testing.B) {
		measure(b, seconds, func() { time.Sleep(seconds * time.Second) })
	})
	b.Run("message", func(b *testing.B) {
		measure(b, messages, func() {
			for range messages {
				send()
				time.Sleep(ackDelay)
			}
		})
	})
	b.Run("second of an outstanding call", func(b *testing.B) {
		ctx, cancel := context.WithCancel(b.Context())
		done := background(ctx, client, proxy.address(), nil)
		<-h.arrived
		time.Sleep(100 * time.Millisecond)
		measure(b, seconds, func() { time.Sleep(seconds * time.Second) })
		cancel()
		<-done
	})
}

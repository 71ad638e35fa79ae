package transport

import (
	"bytes"
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

// BenchmarkNewConnection measures a new connection with its first message.
func BenchmarkNewConnection(b *testing.B) {
	for name, change := range map[string]func(*Config){"TLS": nil, "plain": withoutTLS} {
		b.Run(name, func(b *testing.B) {
			a := newAuthority(b)
			server, client := a.start("server", handler{}, change), a.start("client", handler{}, change)
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Send(b.Context(), server.Address(), &wire.Control{Ping: &wire.Ping{}}); err != nil {
					b.Fatal(err)
				}
				client.pool.closeIdle(server.Address())
			}
		})
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
	for name, change := range map[string]func(*Config){"TLS": nil, "plain": withoutTLS} {
		b.Run(name, func(b *testing.B) {
			a := newAuthority(b)
			server, client := a.start("server", handler{}, change), a.start("client", handler{}, change)
			for b.Loop() {
				before := inUse()
				for range connections {
					c, err := client.dial(b.Context(), server.Address())
					if err != nil {
						b.Fatal(err)
					}
					client.pool.put(c)
				}
				time.Sleep(time.Second) // the buffers of the handshakes are released
				b.ReportMetric((inUse()-before)/connections, "B/connection")
				client.pool.closeIdle(server.Address())
				await(b, "end of the connections", func() bool { return len(server.currentServerConns()) == 0 })
			}
		})
	}
}

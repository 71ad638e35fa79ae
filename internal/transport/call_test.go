package transport

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"strings"
	"sync"
	"testing"

	"guavapoint.example/guavapoint/internal/wire"
)

// Guards against a body that is changed or truncated in transfer, for bodies of no frame, one frame and many frames.
func TestCallCarriesBodies(t *testing.T) {
	t.Run("TLS", func(t *testing.T) { testCallCarriesBodies(t, nil) })
	t.Run("plain", func(t *testing.T) { testCallCarriesBodies(t, withoutTLS) })
}

func testCallCarriesBodies(t *testing.T, change func(*Config)) {
	a := newAuthority(t)
	server := a.start("server", handler{}, change)
	client := a.start("client", handler{}, change)
	for _, size := range []int{0, 1, 1 << 10, 16 << 10, 64 << 10, 5_000_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := make([]byte, size)
			_, _ = rand.Read(body)
			got, answer, err := callAndReadBody(testContext(t), client, server.Address(), bytes.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			if sha256.Sum256(got) != sha256.Sum256(body) || answer.UnusedRetries() != 3 {
				t.Fatalf("got %d bytes, %d unused retries, want %d and 3", len(got), answer.UnusedRetries(), size)
			}
		})
	}
}

// Guards against responses that reach the wrong caller, and against many concurrent calls that block each other.
func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	a := newAuthority(t)
	server := a.start("server", handler{}, nil)
	client := a.start("client", handler{}, nil)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			want := strings.Repeat(fmt.Sprintf("call %d;", i), i*20)
			got, _, err := callAndReadBody(testContext(t), client, server.Address(), strings.NewReader(want))
			if err != nil || string(got) != want {
				t.Errorf("call %d: got %d bytes, %v; want %d", i, len(got), err, len(want))
			}
		})
	}
	wg.Wait()
}

// Guards against control messages that don't arrive, and replies that get lost.
func TestControl(t *testing.T) {
	a := newAuthority(t)
	server := a.start("server", handler{}, nil)
	client := a.start("client", handler{}, nil)
	m := &wire.Control{From: client.Address(), Membership: &wire.Membership{Payload: []byte("x")}}
	if err := client.Send(testContext(t), server.Address(), m); err != nil {
		t.Fatal(err)
	}
	reply, err := client.Request(testContext(t), server.Address(), m)
	if err != nil || string(reply.Membership.Payload) != "x" {
		t.Fatalf("got %+v, %v", reply, err)
	}
}

package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"guavapoint.example/guavapoint/platform"
)

// writeTimeouts writes version 2 of the operator's configuration, in which requests may take the given time.
func (s *testCluster) writeTimeouts(client *platform.Client, timeout string) {
	s.t.Helper()
	kv, err := client.Get(s.t.Context(), platform.ConfigKey)
	if err != nil {
		s.t.Fatal(err)
	}
	text := strings.ReplaceAll(fmt.Sprintf(operatorConfig, 2, "lookup"), `"timeout":"5s"`, `"timeout":"`+timeout+`"`)
	if _, err := client.CompareAndSwap(s.t.Context(), platform.ConfigKey, kv.Revision, []byte(text), 0); err != nil {
		s.t.Fatal(err)
	}
}

// beginUpload sends the head of a request whose body is streamed, and all of the body but one byte.
func (n *testDaemon) beginUpload(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.settings.Ingress.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const size = 2 * replayLimit
	_, err = fmt.Fprintf(conn, "POST /write/upload HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s",
		randomID(), size, strings.Repeat("x", size-1))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// startWithUpload starts a daemon on which one upload runs whose last byte is missing. Requests may take ten minutes.
func (s *testCluster) startWithUpload(t *testing.T) (*testDaemon, net.Conn) {
	t.Helper()
	client := s.withOperatorConfig()
	n := s.startServing(t, newRawBackend(t, "i-1"))
	s.writeTimeouts(client, "600s")
	waitUntil(t, "the second version is in effect", func() bool { v, _ := n.config.Current(); return v.Revision == 2 })
	conn := n.beginUpload(t)
	waitUntil(t, "the upload runs", func() bool { return n.admission.load().InFlight == 1 })
	return n, conn
}

// Guards against an upload whose client has left and that keeps its slot until its deadline.
func TestBrokenUploadFreesItsSlot(t *testing.T) {
	n, conn := newTestCluster(t).startWithUpload(t)
	conn.Close()
	waitUntil(t, "the slot is free", func() bool { return n.admission.load().InFlight == 0 })
}

// Guards against clients that take all slots with uploads that never end: others get them.
func TestStalledUploadsFreeTheirSlots(t *testing.T) {
	n, _ := newTestCluster(t).startWithUpload(t)
	for n.admission.load().InFlight < n.admission.load().Limit {
		before := n.admission.load().InFlight
		n.beginUpload(t)
		waitUntil(t, "the next upload runs", func() bool { return n.admission.load().InFlight > before })
	}
	waitUntil(t, "another request is served", func() bool { return n.request(t, http.MethodGet, "/read/x").status == http.StatusOK })
}

// Guards against an upload that is canceled although its client is only slow, or although nobody waits for its slot.
func TestUploadIsCanceledOnlyForOthers(t *testing.T) {
	taken, free := func() bool { return true }, func() bool { return false }
	for _, c := range []struct {
		name       string
		slotsTaken func() bool
		waited     time.Duration // since the begin of the present read
		reading    bool
		canceled   bool
	}{
		{"slow", taken, bodyStallTime - 1, true, false},
		{"stalled in calm", free, time.Hour, true, false},
		{"stalled", taken, bodyStallTime, true, true},
		{"the backend server doesn't read", taken, time.Hour, false, false},
	} {
		now := time.Unix(0, 0)
		ctx, cancel := context.WithCancelCause(t.Context())
		r, w := io.Pipe()
		b := &arrivingBody{Reader: r, now: func() time.Time { return now }, cancel: cancel}
		done := make(chan struct{})
		go func() {
			defer close(done)
			if c.reading {
				_, _ = b.Read(make([]byte, 1)) // ends when the test closes the pipe
			}
		}()
		waitUntil(t, "the body is read", func() bool { return !c.reading || b.waiting.Load() != nil })
		now = now.Add(c.waited)
		b.check(c.slotsTaken)
		if got := errors.Is(context.Cause(ctx), errBodyStalled); got != c.canceled {
			t.Errorf("%s: canceled %v, want %v", c.name, got, c.canceled)
		}
		w.Close()
		<-done
		cancel(nil)
	}
}

package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// lateRequest is a request of a caller that has sent its header and the half of its body.
type lateRequest struct {
	net.Conn
	path string
}

const lateBody = "0123456789"

// sendHalf begins a request that waits for a long time.
func (n *testDaemon) sendHalf(t *testing.T, path string) lateRequest {
	t.Helper()
	conn, err := net.Dial("tcp", n.settings.Ingress.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s",
		path, randomID(), len(lateBody), lateBody[:5])
	return lateRequest{conn, path}
}

// finish sends the rest of the body and returns the response.
func (r lateRequest) finish() (reply, error) {
	if _, err := io.WriteString(r.Conn, lateBody[5:]); err != nil {
		return reply{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(r.Conn), nil)
	if err != nil {
		return reply{}, err
	}
	return readReply(resp)
}

// closed reports whether the ingress accepts no connections any more.
func (n *testDaemon) closed() bool {
	conn, err := net.Dial("tcp", n.settings.Ingress.Address)
	if err == nil {
		conn.Close()
	}
	return err != nil
}

// Guards against a request that a stopping daemon passes on so late that it is cut off at the exit, so that its caller can't
// know whether it ran: its header had been read before the ingress closed, and its body became whole after that.
func TestLateRequestIsRefusedNotCutOff(t *testing.T) {
	s := newTestCluster(t)
	s.writeTimeouts(s.withOperatorConfig(), "20s")
	b := newAnnouncedBackend(t, "i-1")
	b.answer = func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	}
	s.startReady(t, b)
	s.drain = readinessDelay + ingressCloseDelay + 5*time.Second // before the requests' deadlines
	entry := s.addAnnounced("ledger", newAnnouncedBackend(t, "i-2"))
	waitUntil(t, "the entry is ready, with the long timeouts", func() bool {
		version, _ := entry.config.Current()
		return entry.isReady() && version.Revision == 2
	})
	entry.heartbeat(t, "i-2", 1, "ready")
	s.ready()
	late := []lateRequest{entry.sendHalf(t, "/read/x"), entry.sendHalf(t, "/write/x")}
	waitUntil(t, "the headers have been read", func() bool { return entry.drain.inFlight() == len(late) })
	entry.stop()
	waitUntil(t, "the ingress has closed", entry.closed)
	for _, r := range late {
		got, err := r.finish()
		if err != nil || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, %v, want 503 with Retry-After", r.path, got.status, err)
		}
	}
	if runs := b.runs.Load(); runs != 0 {
		t.Errorf("%d requests that were refused ran", runs)
	}
}

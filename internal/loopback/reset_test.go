package loopback

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// scriptedConn is a connection that has received a text, and that was then closed or reset. If resetWrites is set, the
// goroutine that writes has got the reset: writes fail, and reads see the end.
type scriptedConn struct {
	net.Conn
	received    *strings.Reader
	resetWrites bool
	failed      chan struct{} // closed when a write has failed
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.resetWrites {
		<-c.failed
	}
	return c.received.Read(p)
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if !c.resetWrites {
		return len(p), nil
	}
	select {
	case <-c.failed:
	default:
		close(c.failed)
	}
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *scriptedConn) Close() error { return nil }

// receive sends a request with a body over a connection that has received a text, and returns the status and the body.
func receive(t testing.TB, text string, resetWrites bool) (int, string, error) {
	t.Helper()
	raw := &scriptedConn{received: strings.NewReader(text), resetWrites: resetWrites, failed: make(chan struct{})}
	body := strings.NewReader(strings.Repeat("x", 2*maxInlineBody))
	req, err := http.NewRequest(http.MethodPost, "http://backend/x", body)
	if err != nil {
		t.Fatal(err)
	}
	p := New("127.0.0.1:1", time.Now)
	resp, err := p.exchange(context.Background(), newConn(raw), req, func(http.Header) bool { return true })
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// Guards against a part of a response that is taken for the whole: its body ends with the connection, and the connection was
// reset while the request was still being written. A reset is reported once, and the writing goroutine got it.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\npart of the b"
	if _, got, err := receive(t, text, true); err == nil {
		t.Errorf("got %q as a whole response", got)
	}
	if _, got, err := receive(t, text, false); err != nil || got != "part of the b" {
		t.Errorf("closed after the whole request: got %q, %v", got, err)
	}
	const framed = "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig"
	if status, got, err := receive(t, framed, true); err != nil || status != 413 || got != "big" {
		t.Errorf("a response that says its length: got %d, %q, %v", status, got, err)
	}
}

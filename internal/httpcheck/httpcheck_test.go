package httpcheck

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serveText serves a text as the response to each request, and closes the connection.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, text)
			c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against clients of the daemon, the commands and the load tool that believe a response whose end proves nothing, or
// whose head others read in another way.
func TestCheckedRefuses(t *testing.T) {
	client := &http.Client{Transport: Checked(&http.Transport{DisableKeepAlives: true})}
	for _, c := range []struct {
		text, body string
		ok         bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "request", true},
		{"HTTP/1.1 200 OK\r\n\r\nok", "", true},
		{"HTTP/1.1 200 OK\r\n\r\nok", "request", false},
		{"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok", "", false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 4\r\nContent-Length: 2\r\n\r\nokay", "", false},
		{"HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok", "", false},
	} {
		resp, err := client.Post(serveText(t, c.text), "text/plain", strings.NewReader(c.body))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if (err == nil) != c.ok || (err != nil && !errors.Is(err, ErrMalformed)) {
			t.Errorf("%q to the body %q: %v", c.text, c.body, err)
		}
	}
}

// Guards against a head that is mixed with bytes before or after it.
func TestRecorderKeepsHeads(t *testing.T) {
	var r Recorder
	r.Add([]byte("ignored"))
	r.Start([]byte("he"))
	r.Add([]byte("ad"))
	r.Add([]byte("1head2body"))
	if got := r.Take(9); string(got) != "head1" {
		t.Errorf("got %q", got)
	}
	if got := r.Take(4); string(got) != "head2" {
		t.Errorf("got %q", got)
	}
	r.Stop()
	r.Add([]byte("ignored"))
	r.Start(nil)
	if got := r.Take(0); len(got) != 0 {
		t.Errorf("got %q", got)
	}
}

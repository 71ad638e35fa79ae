package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/holdings"
)

// waitTime bounds the waits of the tests. It is no bound on how long something may take.
const waitTime = 30 * time.Second

// testServer is a server whose handler keeps requests with the path /wait until release is closed.
type testServer struct {
	*Intake
	address string
	passed  chan struct{} // receives for each request that was passed on
	release chan struct{}
}

func startServer(t *testing.T, limits holdings.Limits) *testServer {
	t.Helper()
	s := &testServer{Intake: New(limits, time.Now, nil), passed: make(chan struct{}, 100), release: make(chan struct{})}
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	Configure(server, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	go func() { _ = server.Serve(l) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return s
}

// serve reads the body within the budget and then answers with it.
func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/refused" {
		w.Header().Set("Connection", "close")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	h := s.Holding(r.Context())
	defer h.Release()
	var body []byte
	buf := make([]byte, 1000)
	for {
		n, err := r.Body.Read(buf)
		if !h.Grow(n) || (err != nil && err != io.EOF) {
			http.Error(w, "no room", http.StatusServiceUnavailable)
			return
		}
		body = append(body, buf[:n]...)
		if err == io.EOF {
			break
		}
	}
	if errors.Is(PassOn(r.Context()), ErrNoRoom) {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	s.passed <- struct{}{}
	if r.URL.Path == "/wait" {
		<-s.release
	}
	_, _ = w.Write(body)
}

// client is a connection to a testServer.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTime)) // a failure shows with the next call
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// receive returns the status and the body of a response.
func (c *client) receive() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// closed reports whether the server has closed the connection without a response.
func (c *client) closed() bool {
	_, err := c.r.ReadByte()
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// until waits for a condition.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTime); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting until %s", what)
		}
	}
}

func post(path, body string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// Guards against a refusal that is lost, because the server closes the connection with bytes of the client unread: a client
// that sends its whole request first, and reads later, gets the refusal.
func TestRefusalReachesClientThatReadsLater(t *testing.T) {
	s := startServer(t, holdings.Limits{Bytes: 1 << 20, Connections: 4})
	const size = 3 << 20
	for _, head := range []string{
		fmt.Sprintf("POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
		"POST /refused HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", size),
	} {
		c := s.dial(t)
		_ = c.Conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // so that the request doesn't fit; a failure shows as a pass without the fix
		var wrote error
		for i := 0; i < size && wrote == nil; i += 1 << 15 {
			_, wrote = io.WriteString(c, head+strings.Repeat("x", 1<<15))
			head = ""
		}
		if wrote != nil {
			t.Errorf("the connection was closed while the client sent: %v", wrote)
		}
		if status, body := c.receive(); status != http.StatusServiceUnavailable || body != "refused\n" {
			t.Errorf("status %d, body %q", status, body)
		}
	}
}

// Guards against a client inside the limits that is refused although nobody else is there: a large head and body that arrive
// byte by byte.
func TestSlowRequestIsServedInCalm(t *testing.T) {
	s := startServer(t, holdings.Limits{Bytes: 2 << 20, Connections: 1})
	c := s.dial(t)
	body := strings.Repeat("b", 2000)
	head := "POST / HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("h", 2000) + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body))
	for i := range len(head) + len(body) {
		c.send((head + body)[i : i+1])
	}
	if status, got := c.receive(); status != http.StatusOK || got != body {
		t.Errorf("status %d with %d bytes", status, len(got))
	}
	c.send(post("/", strings.Repeat("b", 200_000), 200_000))
	if status, got := c.receive(); status != http.StatusOK || len(got) != 200_000 {
		t.Errorf("second request: status %d with %d bytes", status, len(got))
	}
}

// Guards against clients that take all connections: those that have sent no whole request make room, and those with a request
// under way don't.
func TestConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, holdings.Limits{Bytes: 1 << 20, Connections: 3})
	working := s.dial(t)
	working.send(post("/wait", "w", 1))
	<-s.passed
	silent, half := s.dial(t), s.dial(t)
	half.send("GET / HTTP/1.1\r\nX-Half")
	until(t, "all are accepted", func() bool { return s.Usage().Connections == 3 })
	for range 3 {
		c := s.dial(t)
		c.send(post("/", "o", 1))
		if status, _ := c.receive(); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		<-s.passed
	}
	if !silent.closed() || !half.closed() {
		t.Error("a client without a whole request kept its connection")
	}
	close(s.release)
	if status, body := working.receive(); status != http.StatusOK || body != "w" {
		t.Errorf("the request under way: status %d, body %q", status, body)
	}
}

// Guards against bodies that hold memory while others are refused, and against a refusal of such a request that its client
// doesn't receive.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	const room = 600_000
	s := startServer(t, holdings.Limits{Bytes: room, Connections: 100})
	const size = 200_000
	first := s.dial(t)
	first.send(post("/", strings.Repeat("b", size-1), size))
	until(t, "the body is held", func() bool { return s.Usage().Bytes >= size })
	ordinary := s.dial(t)
	ordinary.send(post("/", strings.Repeat("o", size), size))
	if status, _ := first.receive(); status != http.StatusServiceUnavailable {
		t.Errorf("the unfinished request: status %d", status)
	}
	status, _ := ordinary.receive()
	for status == http.StatusServiceUnavailable { // until the other has returned what it held
		again := s.dial(t)
		again.send(post("/", strings.Repeat("o", size), size))
		status, _ = again.receive()
	}
	if status != http.StatusOK {
		t.Errorf("the ordinary request: status %d", status)
	}
}

// Guards against bytes of the budget that are lost, with requests that end in all ways.
func TestBudgetIsReturned(t *testing.T) {
	s := startServer(t, holdings.Limits{Bytes: 400_000, Connections: 8})
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
			c, err := net.Dial("tcp", s.address)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(waitTime))             // as above
			text := post("/", strings.Repeat("b", 50_000), 50_000)  // answered, refused or closed
			_, _ = io.WriteString(c, text[:len(text)-i%3*i*1000/2]) // some end early
			if i%2 == 0 {
				_, _ = io.Copy(io.Discard, io.LimitReader(c, 100))
			}
		})
	}
	clients.Wait()
	until(t, "nothing is held", func() bool { return s.Usage() == Usage{} })
}

// Guards against a holding that outlives its connection and is returned twice.
func TestHoldingOutlivesItsConnection(t *testing.T) {
	i := New(holdings.Limits{Bytes: 1 << 20, Connections: 1}, time.Now, nil)
	near, far := net.Pipe()
	defer far.Close()
	c := i.open(near)
	h := i.Holding(context.WithValue(t.Context(), connKey{}, net.Conn(c)))
	if !h.Grow(1000) || i.Usage().Bytes != holdings.ConnectionCost+1000 {
		t.Fatalf("%+v", i.Usage())
	}
	c.Close()
	if h.Grow(1000) {
		t.Error("a closed connection grows")
	}
	h.Release()
	if i.Usage() != (Usage{}) {
		t.Errorf("%+v", i.Usage())
	}
}

// Guards against a request that is cut off because its connection was chosen to make room just before the request arrived.
func TestRequestThatArrivesMeanwhileIsNotCutOff(t *testing.T) {
	for _, passed := range []bool{false, true} {
		i := New(holdings.Limits{Bytes: 10 << 20, Connections: 1}, time.Now, nil)
		near, far := net.Pipe()
		defer far.Close()
		c := i.open(near)
		_, chosen := i.budget.Open(time.Now())
		victims := i.connsOf(chosen)
		if len(victims) != 1 || victims[0].conn != c {
			t.Fatalf("chose %v", victims)
		}
		c.beginRequest()
		if passed {
			if err := c.passOn(); err != nil {
				t.Fatal(err)
			}
		}
		i.end(victims)
		if c.aborted || c.isInterrupted() == passed {
			t.Errorf("passed on %v: closed %v, interrupted %v", passed, c.aborted, c.isInterrupted())
		}
	}
}

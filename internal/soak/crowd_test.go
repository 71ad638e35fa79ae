package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/httpcheck"
)

// crowdMemoryMB is the memory limit of the daemons that a crowd of clients sends to.
const crowdMemoryMB = 64

// crowd is a number of clients that send the same to one daemon and keep their connections open.
type crowd struct {
	name    string
	clients int
	reads   bool               // the requests are idempotent
	target  func(v *vm) string // address that the clients send to; nil for that of the ingress
	files   int                // limit of the daemon's descriptors; 0 leaves that of this process
	// send sends what one client sends. newID returns the ID of its next request.
	send func(w io.Writer, newID func() string) error
}

// Sizes of what the clients send, in bytes. The bodies are inside the limits of the platform's configuration.
const (
	changeSize   = 200_000
	uploadSize   = 1_500_000
	pieceSize    = 8 << 10
	chunkSize    = 64 << 10
	tinyBodySize = 100_000 // of a body in chunks of one byte
	headSize     = 47 << 10
	endlessSize  = 2 << 20 // at which a client that sends without end gives up
)

// crowds are the kinds of clients that the daemons must outlive.
var crowds = []crowd{
	{name: "heads that never end", clients: 1000, send: longHead},
	{name: "heads that never end at the heartbeat listener", clients: 1000, target: func(v *vm) string { return v.announceAddress }, send: longHead},
	{name: "heads that never end at the ready listener", clients: 1000, target: func(v *vm) string { return v.readyAddress }, send: longHead},
	{name: "heads of short fields that never end", clients: 200, send: func(w io.Writer, newID func() string) error {
		return repeat(w, headStart("GET", "/read/x", newID()), headSize, func(i int) string { return fmt.Sprintf("%x:\r\n", 0x1000+i) })
	}},
	{name: "heads without end", clients: 200, send: func(w io.Writer, newID func() string) error {
		return repeat(w, headStart("GET", "/read/x", newID()), endlessSize, func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", 1000)) })
	}},
	{name: "empty lines without end", clients: 200, send: func(w io.Writer, _ func() string) error {
		return repeat(w, "", endlessSize, func(int) string { return strings.Repeat("\r\n", 500) })
	}},
	{name: "uploads one byte short", clients: 400, send: func(w io.Writer, newID func() string) error {
		_, err := io.WriteString(w, headStart("POST", "/upload/x", newID())+fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize)+strings.Repeat("x", uploadSize-1))
		return err
	}},
	{name: "uploads piece by piece, one byte short", clients: 400, send: func(w io.Writer, newID func() string) error {
		head := headStart("POST", "/upload/x", newID()) + fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize) + "x"
		return repeat(w, head, len(head)+uploadSize-pieceSize, func(int) string { return strings.Repeat("x", pieceSize) })
	}},
	{name: "changes one byte short", clients: 1500, send: func(w io.Writer, newID func() string) error {
		_, err := io.WriteString(w, headStart("POST", "/change/x", newID())+fmt.Sprintf("Content-Length: %d\r\n\r\n", changeSize)+strings.Repeat("x", changeSize-1))
		return err
	}},
	{name: "chunked uploads without an end", clients: 400, send: func(w io.Writer, newID func() string) error {
		return repeat(w, headStart("POST", "/upload/x", newID())+"Transfer-Encoding: chunked\r\n\r\n", uploadSize, func(int) string { return chunk(chunkSize) })
	}},
	{name: "chunks of one byte without an end", clients: 200, send: func(w io.Writer, newID func() string) error {
		return repeat(w, headStart("POST", "/change/x", newID())+"Transfer-Encoding: chunked\r\n\r\n", tinyBodySize*len(chunk(1)), func(int) string {
			return strings.Repeat(chunk(1), 1000)
		})
	}},
	{name: "pipelined reads of which nothing is read", clients: 300, reads: true, send: func(w io.Writer, newID func() string) error {
		for range 50 {
			if _, err := io.WriteString(w, headStart("GET", largeReadPath, newID())+"\r\n"); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "connections without a request", clients: 600, files: 400, send: func(io.Writer, func() string) error { return nil }},
	{name: "requests one byte short on all descriptors", clients: 600, files: 400, send: func(w io.Writer, newID func() string) error {
		_, err := io.WriteString(w, headStart("POST", "/change/x", newID())+"Content-Length: 10\r\n\r\n123456789")
		return err
	}},
}

// longHead sends a head without its end.
func longHead(w io.Writer, newID func() string) error {
	return repeat(w, headStart("GET", "/read/x", newID()), headSize, func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("x", 1000)) })
}

// headStart returns the start of a request's head.
func headStart(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: " + id + "\r\nX-Timeout-Ms: 60000\r\n"
}

// chunk returns one chunk of a body.
func chunk(size int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
}

// repeat sends a start and then parts of a text, up to a size in bytes or to an error.
func repeat(w io.Writer, start string, size int, part func(i int) string) error {
	next := start
	for i, sent := 0, 0; sent+len(next) <= size; i++ {
		n, err := io.WriteString(w, next)
		if err != nil {
			return err
		}
		sent += n
		next = part(i)
	}
	return nil
}

// samplesOfCrowd is the number of times that the processes are looked at while a crowd is there.
const samplesOfCrowd = 40

// crowdSendTime is the time after which a crowd that still sends counts as there: a client whose bytes nobody reads
// waits for as long as its connection stays open.
const crowdSendTime = 15 * time.Second

// arrive opens the connections of a crowd and sends what its clients send. The function that it returns closes them.
func (c crowd) arrive(v *vm) (leave func()) {
	var conns []net.Conn
	var sending sync.WaitGroup
	var requests atomic.Int64
	newID := func() string {
		id := fmt.Sprintf("crowd-%d", requests.Add(1))
		v.backend.checker.recordSent(id, !c.reads)
		return id
	}
	address := v.ingressAddress
	if c.target != nil {
		address = c.target(v)
	}
	for range c.clients {
		conn, err := net.DialTimeout("tcp", address, crowdSendTime)
		if err != nil {
			continue // the daemon may refuse connections of a crowd
		}
		conns = append(conns, conn)
		sending.Go(func() { _ = c.send(conn, newID) }) // the daemon may close the connection
	}
	sent := make(chan struct{})
	go func() {
		sending.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(crowdSendTime):
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
		<-sent
	}
}

// answersOrdinaryRequest reports whether a daemon answers one request of an ordinary client, which sends it again after a
// refusal or an error.
func answersOrdinaryRequest(v *vm, id string) bool {
	client := &http.Client{Transport: httpcheck.Checked(&http.Transport{DisableKeepAlives: true}), Timeout: callerTimeout}
	for i, end := 0, time.Now().Add(recoveryLimit); time.Now().Before(end); i++ {
		req, err := http.NewRequest(http.MethodGet, "http://"+v.ingressAddress+"/read/ordinary", http.NoBody)
		if err != nil {
			return false
		}
		attempt := fmt.Sprintf("%s-%d", id, i)
		v.backend.checker.recordSent(attempt, false)
		req.Host = "soak.example"
		req.Header.Set("X-Request-Id", attempt)
		req.Header.Set("X-Timeout-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Guards against clients that end a daemon, or keep it from serving others, by what they make it hold: memory, with the
// bytes that wait in its sockets, and descriptors. The crowd stays connected while an ordinary client sends its request.
func TestCrowds(t *testing.T) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			limits := processLimits{memoryMB: crowdMemoryMB, files: c.files}
			d := newDeployment(t, t.TempDir(), limits)
			var heartbeats sync.WaitGroup
			stopHeartbeats := make(chan struct{})
			defer heartbeats.Wait()
			defer close(stopHeartbeats)
			for _, v := range d.vms {
				v.start()
				heartbeats.Go(func() { v.sendHeartbeats(stopHeartbeats) })
			}
			d.awaitRecovery()
			meter := newUsageMeter(d.vms)
			leave := c.arrive(d.vms[0])
			meter.awaitRounds(samplesOfCrowd)
			if !answersOrdinaryRequest(d.vms[0], "beside-a-crowd") {
				t.Error("an ordinary request was not answered beside the crowd")
			}
			leave()
			if !answersOrdinaryRequest(d.vms[0], "after-a-crowd") {
				t.Error("an ordinary request was not answered after the crowd")
			}
			meter.check(t, limits)
			for _, violation := range d.checker.allViolations() {
				t.Error(violation)
			}
		})
	}
}

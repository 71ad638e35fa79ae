package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Call is one request of a client.
type Call struct {
	Machine *Machine // on which the client runs
	Method  string
	Host    string
	Target  string
	Header  string // additional lines, each ended by CRLF
	Body    []byte
	Chunked bool
	Timeout time.Duration
	ID      string
}

// Answer is what a client received. Status is 0 without a complete response.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Err       error
	Cut       bool // a response began and didn't end
	Connected bool
	Took      time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request on a new connection and reads the response. limit bounds the body that is kept; the rest is read
// and dropped.
func (c *Call) Send(limit int64) Answer {
	started := time.Now()
	a := c.send(limit)
	a.Took = time.Since(started)
	return a
}

func (c *Call) send(limit int64) Answer {
	conn, err := net.DialTimeout("tcp", c.Machine.Outbound(), time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.Timeout))
	if _, err := conn.Write(c.Encode()); err != nil {
		return Answer{Err: err, Connected: true}
	}
	return ReadAnswer(bufio.NewReader(conn), c.Method, limit)
}

// Encode returns the bytes of the request.
func (c *Call) Encode() []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n%s", c.Method, c.Target, c.Host, c.ID, c.Timeout.Milliseconds(), c.Header)
	switch {
	case c.Chunked:
		b = fmt.Appendf(b, "Transfer-Encoding: chunked\r\n\r\n")
		for rest := c.Body; len(rest) > 0; {
			n := min(len(rest), 1+rand.IntN(20000))
			b = fmt.Appendf(b, "%x\r\n", n)
			b = append(append(b, rest[:n]...), "\r\n"...)
			rest = rest[n:]
		}
		return append(b, "0\r\n\r\n"...)
	case len(c.Body) > 0 || c.Method == http.MethodPost:
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(c.Body))
		return append(b, c.Body...)
	default:
		return append(b, "\r\n"...)
	}
}

// ReadAnswer reads one response.
func ReadAnswer(r *bufio.Reader, method string, limit int64) Answer {
	req, _ := http.NewRequest(method, "http://x/", nil)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return Answer{Err: err, Connected: true}
	}
	var body bytes.Buffer
	_, err = io.Copy(&body, io.LimitReader(resp.Body, limit))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a := Answer{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes(), Connected: true}
	if err != nil {
		a.Err, a.Cut = err, true
	}
	return a
}

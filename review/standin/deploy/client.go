package deploy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Outcome is what a client saw of one request.
type Outcome struct {
	Status int // 0 if the connection ended without a complete response
	Header http.Header
	Body   string
	Err    error
}

// Promise reports whether the status promises that the request has not run and never will.
func (o Outcome) Promise() bool {
	switch o.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// Client sends requests on one kept connection, one after the other.
type Client struct {
	Address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Send sends one request and waits for its response.
func (c *Client) Send(method, host, path, id, body string, timeout time.Duration) Outcome {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Outcome{Err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, timeout.Milliseconds(), len(body), body)
	if method == http.MethodGet {
		text = strings.Replace(text, "Content-Length: 0\r\n", "", 1)
	}
	if _, err := io.WriteString(c.conn, text); err != nil {
		return c.fail(err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return c.fail(err)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.fail(err)
	}
	if resp.Close {
		c.Close()
	}
	return Outcome{Status: resp.StatusCode, Header: resp.Header, Body: string(content)}
}

func (c *Client) fail(err error) Outcome {
	c.Close()
	return Outcome{Err: err}
}

// Close closes the connection; the next request opens another.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Idle reports whether no connection is open.
func (c *Client) Idle() bool { return c.conn == nil }

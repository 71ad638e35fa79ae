package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a backend server ran or rejected.
type Run struct {
	Server, Instance, Service, ID, Method, Target, Host, Caller, BodyHash string
	BodyLength                                                            int
	At                                                                    time.Time
	Rejected                                                              bool
	Status                                                                int
}

// Exchange is a request at a backend server, to be answered by a Server's Handle function.
type Exchange struct {
	Server  *Server
	Request *http.Request
	Body    []byte
	Conn    net.Conn
	Run     *Run
	// Close is set by Handle to end the connection after the response.
	Close bool
}

// Server is a stand-in of a backend server. It parses requests and records them; Handle writes the responses.
type Server struct {
	machine  *Machine
	record   *Record
	listener net.Listener
	client   *http.Client
	// Handle answers a request. It writes the response to e.Conn.
	Handle func(e *Exchange)
	// Heartbeat is the time between heartbeats.
	Heartbeat time.Duration
	Slots     int

	mu       sync.Mutex
	instance string
	born     int64
	seq      int
	state    string
	silent   bool
	runs     []Run
	conns    map[net.Conn]struct{}
	closed   chan struct{}
}

// StartServer starts the backend server of a machine and its heartbeats.
func StartServer(m *Machine, record *Record, slots int, heartbeat time.Duration, handle func(e *Exchange)) (*Server, error) {
	l, err := net.Listen("tcp", m.App())
	if err != nil {
		return nil, err
	}
	s := &Server{machine: m, record: record, listener: l, Handle: handle, Heartbeat: heartbeat, Slots: slots,
		client: &http.Client{Timeout: time.Second}, instance: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), state: "ready",
		conns: map[net.Conn]struct{}{}, closed: make(chan struct{})}
	m.Server = s
	go s.accept(l)
	go s.beat()
	return s, nil
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
}

// Instance returns the ID of the server's current start.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

func (s *Server) beat() {
	for {
		s.Announce()
		select {
		case <-s.closed:
			return
		case <-time.After(s.Heartbeat):
		}
	}
}

// Announce sends one heartbeat and returns the status of its answer.
func (s *Server) Announce() int {
	s.mu.Lock()
	s.seq++
	id, silent := s.instance, s.silent
	body := map[string]any{"service": s.machine.Service, "address": s.machine.App(), "zone": s.machine.Zone, "version": "v1",
		"slots": s.Slots, "state": s.state, "coldRemaining": "0ms", "seq": s.seq, "born": s.born}
	s.mu.Unlock()
	if silent {
		return 0
	}
	return put(s.client, http.MethodPut, "http://"+s.machine.address(s.machine.Ports.admin)+"/instances/"+id, body)
}

// Runs returns what the server ran so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := &Exchange{Server: s, Request: req, Conn: c}
		id := s.Instance()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		e.Body = body
		if req.URL.Path == "/health" && req.Header.Get("X-Request-Id") == "" {
			s.health(e, id)
			continue
		}
		if want := req.Header.Get("X-Expected-Instance"); want != "" && want != id {
			e.Respond(421, map[string]string{"X-Instance-Id": id}, nil)
			continue
		}
		hash := sha256.Sum256(body)
		e.Run = &Run{Server: s.machine.Name, Instance: id, Service: s.machine.Service, ID: req.Header.Get("X-Request-Id"), Method: req.Method,
			Target: req.RequestURI, Host: req.Host, Caller: req.Header.Get("X-Caller-Service"), BodyHash: hex.EncodeToString(hash[:8]), BodyLength: len(body), At: time.Now()}
		s.record.Printf("server %s on %s (%s) runs %s %s id %s, X-Caller-Service %q", id, s.machine.Name, s.machine.Service, req.Method, req.RequestURI, e.Run.ID, e.Run.Caller)
		s.Handle(e)
		s.mu.Lock()
		s.runs = append(s.runs, *e.Run)
		s.mu.Unlock()
		if e.Close {
			return
		}
	}
}

func (s *Server) health(e *Exchange, id string) {
	s.mu.Lock()
	ready := s.state == "ready"
	s.mu.Unlock()
	status := 200
	if !ready {
		status = 503
	}
	e.Respond(status, map[string]string{"X-Instance-Id": id}, nil)
}

// Respond writes a complete response with a length. The request's ID is echoed.
func (e *Exchange) Respond(status int, header map[string]string, body []byte) {
	_, _ = e.Conn.Write(e.Encode(status, header, body))
}

// Encode returns a complete response with a length.
func (e *Exchange) Encode(status int, header map[string]string, body []byte) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := e.Request.Header.Get("X-Request-Id"); id != "" {
		out = fmt.Appendf(out, "X-Request-Id: %s\r\n", id)
	}
	for k, v := range header {
		out = fmt.Appendf(out, "%s: %s\r\n", k, v)
	}
	out = fmt.Appendf(out, "Content-Length: %s\r\n\r\n", strconv.Itoa(len(body)))
	return append(out, body...)
}

// signature is the header by which a response proves to be the server's own.
func (e *Exchange) signature() map[string]string {
	return map[string]string{"X-Response-Signature": "3e1b." + e.Run.Instance + "." + e.Run.ID}
}

// crash ends the server as a process that dies: it accepts no connections and all connections are gone. It starts again,
// as another instance, after a time.
func (s *Server) crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.silent = true
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", s.machine.App())
		if err != nil {
			return
		}
		s.mu.Lock()
		s.listener, s.instance, s.born, s.seq, s.silent = l, fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, false
		s.mu.Unlock()
		go s.accept(l)
		s.Announce()
	})
}

// Package intake accepts the connections of clients and keeps what they make the daemon hold within a budget, see
// holdings. It ends connections when the budget runs short: one that hasn't sent a whole request is closed, and a request
// whose body still arrives is interrupted, so that its handler can refuse it.
package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/holdings"
	"guavapoint.example/guavapoint/internal/sockets"
)

// bodyTimeout bounds the arrival of a body, unless its handler sets another read deadline. It also bounds the time for which
// net/http waits for a body that the handler doesn't read.
const bodyTimeout = 10 * time.Second

// receiveBuffer is the size of the kernel's buffer for what a client sends, in bytes. What waits in it counts as memory of
// the process. The kernel may hold twice that.
const receiveBuffer = 32 << 10

// Intake keeps the budget of the connections of its listeners. It is safe for concurrent use; a nil Intake has no bound.
type Intake struct {
	now func() time.Time
	// ended is called for each connection that is ended for lack of room, with its stage.
	ended func(holdings.Stage)

	mu     sync.Mutex
	budget *holdings.Budget
	conns  map[*holdings.Connection]*conn
}

// New returns an Intake without connections. ended, which may be nil, is called for each connection that is ended for lack
// of room, with what it was doing.
func New(limits holdings.Limits, now func() time.Time, ended func(holdings.Stage)) *Intake {
	if ended == nil {
		ended = func(holdings.Stage) {}
	}
	return &Intake{now: now, ended: ended, budget: holdings.New(limits), conns: make(map[*holdings.Connection]*conn)}
}

// Usage is what the connections and requests hold.
type Usage struct {
	Bytes       int64
	Connections int
}

// Usage returns what is held at present.
func (i *Intake) Usage() Usage {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Usage{Bytes: i.budget.Used(), Connections: i.budget.Connections()}
}

// Listen opens a TCP listener whose connections draw on the budget.
func (i *Intake) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: sockets.WithReceiveBuffer(receiveBuffer)}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, intake: i}, nil
}

// listener accepts connections for which there is room.
type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. It closes a connection for which there is no room: its client knows then that nothing of
// it was read.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.intake.open(raw); c != nil {
			return c, nil
		}
		raw.Close()
	}
}

// open adds a connection, or returns nil if there is no room for it.
func (i *Intake) open(raw net.Conn) *conn {
	c := &conn{Conn: raw, intake: i}
	i.mu.Lock()
	account, end := i.budget.Open(i.now())
	if account != nil {
		c.account = account
		i.conns[account] = c
	}
	victims := i.connsOf(end)
	i.mu.Unlock()
	i.end(victims)
	if account == nil {
		return nil
	}
	return c
}

// victim is a connection to end, and what it was doing when that was decided.
type victim struct {
	conn  *conn
	stage holdings.Stage
}

// connsOf returns the connections with their stages. The caller holds mu.
func (i *Intake) connsOf(accounts []*holdings.Connection) []victim {
	var victims []victim
	for _, a := range accounts {
		if c := i.conns[a]; c != nil {
			victims = append(victims, victim{c, a.Stage()})
		}
	}
	return victims
}

// end ends connections. The caller must not hold mu.
func (i *Intake) end(victims []victim) {
	for _, v := range victims {
		i.ended(v.stage)
		if v.stage == holdings.StageBody || (v.stage.IsWaiting() && !v.conn.abortIfWaiting()) {
			v.conn.interrupt()
			continue
		}
		v.conn.abort()
	}
}

// grow adds bytes to what a connection holds, or to what is held for none if c is nil.
func (i *Intake) grow(c *conn, bytes int64) bool {
	i.mu.Lock()
	ok, end := i.budget.Grow(c.accountOrNil(), bytes, i.now())
	victims := i.connsOf(end)
	i.mu.Unlock()
	i.end(victims)
	return ok
}

func (i *Intake) shrink(c *conn, bytes int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Shrink(c.accountOrNil(), bytes)
}

func (i *Intake) enter(c *conn, s holdings.Stage) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Enter(c.account, s, i.now())
}

// remove forgets a connection that has been closed.
func (i *Intake) remove(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Close(c.account)
	delete(i.conns, c.account)
}

// beginWrite moves a connection to the stage in which it writes, and charges an answer if there is room: one that has been
// made is written in any case. It returns a function that undoes both.
func (i *Intake) beginWrite(c *conn) (end func()) {
	i.mu.Lock()
	stage := c.account.Stage()
	if stage == holdings.StagePassed {
		i.budget.Enter(c.account, holdings.StageWriting, i.now())
	}
	charged, more := i.budget.Grow(c.account, holdings.AnswerCost, i.now())
	victims := i.connsOf(more)
	i.mu.Unlock()
	i.end(victims)
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		if charged {
			i.budget.Shrink(c.account, holdings.AnswerCost)
		}
		if stage == holdings.StagePassed {
			i.budget.Enter(c.account, stage, i.now())
		}
	}
}

// spare records that a connection that was to be ended goes on.
func (i *Intake) spare(c *conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Spare(c.account)
}

// Configure makes a server serve the connections of an Intake's listeners. refuse serves the requests for which there is no
// room.
func Configure(s *http.Server, refuse http.HandlerFunc) {
	serve, next := s.Handler, s.ConnContext
	s.ConnState = recordState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		ctx = context.WithValue(ctx, connKey{}, c)
		if next != nil {
			ctx = next(ctx, c)
		}
		return ctx
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c != nil && !c.beginHandler(r.ContentLength != 0) {
			w.Header().Set("Connection", "close")
			refuse(w, r)
			return
		}
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
		}
		if c != nil && !r.ProtoAtLeast(1, 1) {
			defer c.resetIfAborted()
		}
		serve.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func recordState(c net.Conn, s http.ConnState) {
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		own.beginRequest()
	case http.StateIdle:
		own.endRequest()
	}
}

// ErrNoRoom reports that the budget doesn't allow a request.
var ErrNoRoom = errors.New("clients hold too much")

// Interrupted reports whether the request with this context was interrupted for lack of room. It must then be refused.
func Interrupted(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.isInterrupted()
}

// PassOn records that the request with this context is passed on, so that it isn't interrupted any more. It returns
// ErrNoRoom if it was interrupted before; it must then be refused.
func PassOn(ctx context.Context) error {
	if c := connOf(ctx); c != nil {
		return c.passOn()
	}
	return nil
}

// Package holdings decides what clients may make a daemon hold: connections, heads and bodies that arrive, requests and
// answers under way. All of it draws on one budget. When the budget runs short, the package names the connections to end,
// in an order that spares clients whose requests are complete. It performs no I/O; its owner ends the connections.
package holdings

import "time"

// What a connection holds beside the bytes that are read from it.
const (
	// ConnectionCost is what an open connection takes, in bytes: buffers, goroutines and the kernel's state.
	ConnectionCost = 16 << 10
	// RequestCost is what a request takes in addition: bytes that wait in its socket, and buffers to copy bodies.
	RequestCost = 64 << 10
	// AnswerCost is what an answer takes while it is written, for bytes of it that wait in sockets.
	AnswerCost = 128 << 10
)

// Stage is what a connection is doing.
type Stage uint8

const (
	// StageOpen is a connection on which no whole head has arrived yet.
	StageOpen Stage = iota
	// StageBody is a request whose head has arrived and that isn't passed on yet.
	StageBody
	// StagePassed is a request that is passed on.
	StagePassed
	// StageWriting is a request whose answer is being written.
	StageWriting
	// StageIdle is a connection between two requests.
	StageIdle
	// StageNext is a connection on which the head of a later request arrives.
	StageNext
	// StageClosing is a connection that was refused and that is closed once the client has had time to read why.
	StageClosing
)

// String returns the stage as log lines show it.
func (s Stage) String() string {
	switch s {
	case StageOpen:
		return "open"
	case StageBody:
		return "body"
	case StagePassed:
		return "passed"
	case StageWriting:
		return "writing"
	case StageIdle:
		return "idle"
	case StageNext:
		return "next"
	default:
		return "closing"
	}
}

// IsWaiting reports whether no request has begun, or the last one has ended.
func (s Stage) IsWaiting() bool {
	return s == StageOpen || s == StageIdle || s == StageNext
}

// Connection is what the budget knows about a connection.
type Connection struct {
	stage   Stage
	since   time.Time // begin of the stage
	request time.Time // begin of the request, in StageBody and later
	bytes   int64     // of the budget
	ended   bool      // was named as one to end
}

// Stage returns what the connection is doing.
func (c *Connection) Stage() Stage { return c.stage }

// Budget is what clients may hold, and what they hold at present. It is not safe for concurrent use.
type Budget struct {
	limits      Limits
	connections map[*Connection]struct{}
	used        int64 // by connections and by others
	leaving     int64 // of used, by connections that were named as ones to end
	leavingOpen int   // number of these connections
}

// New returns a budget of which nothing is used.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, connections: make(map[*Connection]struct{})}
}

// Used returns the bytes that are used.
func (b *Budget) Used() int64 { return b.used }

// Connections returns the number of open connections.
func (b *Budget) Connections() int { return len(b.connections) }

// Open adds a connection. It returns nil if there is no room for it. end are connections to end.
func (b *Budget) Open(now time.Time) (c *Connection, end []*Connection) {
	c = &Connection{stage: StageOpen, since: now}
	for len(b.connections)-b.leavingOpen >= b.limits.Connections {
		v := b.next(now, nil)
		if v == nil {
			return nil, end
		}
		end = append(end, b.end(v))
	}
	ok, more := b.grow(c, ConnectionCost, now)
	end = append(end, more...)
	if !ok {
		return nil, end
	}
	b.connections[c] = struct{}{}
	return c, end
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(c *Connection) {
	if _, open := b.connections[c]; !open {
		return
	}
	delete(b.connections, c)
	b.used -= c.bytes
	if c.ended {
		b.leaving -= c.bytes
		b.leavingOpen--
	}
	c.bytes = 0
}

// Enter moves a connection to a stage. One that was named as one to end, and was refused for that reason, may be named again
// while it closes.
func (b *Budget) Enter(c *Connection, s Stage, now time.Time) {
	if s == StageBody {
		c.request = now
	}
	if s == StageClosing {
		b.Spare(c)
	}
	c.stage, c.since = s, now
}

// Grow adds bytes to what a connection holds, or to what is held for no connection if c is nil. It returns false, and adds
// none, if the budget doesn't allow it. end are connections to end.
func (b *Budget) Grow(c *Connection, bytes int64, now time.Time) (ok bool, end []*Connection) {
	if c != nil {
		if _, open := b.connections[c]; !open {
			return false, nil
		}
	}
	return b.grow(c, bytes, now)
}

func (b *Budget) grow(c *Connection, bytes int64, now time.Time) (ok bool, end []*Connection) {
	limit := b.clientLimit()
	if c == nil || c.isPassed() {
		limit = b.limits.Bytes
	}
	for b.used-b.leaving+bytes > limit {
		v := b.next(now, c)
		if v == nil {
			break
		}
		end = append(end, b.end(v))
	}
	if b.used-b.leaving+bytes > limit || b.used+bytes > b.limits.Bytes {
		return false, end
	}
	b.add(c, bytes)
	return true, end
}

// Shrink returns bytes that a connection, or no connection if c is nil, has held. Those of a closed connection have
// been returned already.
func (b *Budget) Shrink(c *Connection, bytes int64) {
	if c == nil {
		b.used -= bytes
		return
	}
	if _, open := b.connections[c]; open {
		b.add(c, -min(bytes, c.bytes))
	}
}

func (b *Budget) add(c *Connection, bytes int64) {
	b.used += bytes
	if c == nil {
		return
	}
	c.bytes += bytes
	if c.ended {
		b.leaving += bytes
	}
}

// clientLimit returns the bytes up to which connections and requests that aren't passed on can grow.
func (b *Budget) clientLimit() int64 {
	return int64(clientShare * float64(b.limits.Bytes))
}

func (b *Budget) end(c *Connection) *Connection {
	c.ended = true
	b.leaving += c.bytes
	b.leavingOpen++
	return c
}

// Spare records that a connection that was named as one to end goes on: its request was passed on at the same time.
func (b *Budget) Spare(c *Connection) {
	if _, open := b.connections[c]; open && c.ended {
		c.ended = false
		b.leaving -= c.bytes
		b.leavingOpen--
	}
}

func (c *Connection) isPassed() bool {
	return c.stage == StagePassed || c.stage == StageWriting
}

// Ages from which a connection is ended earlier than others. A client on a sound network takes less.
const (
	slowBodyAge   = time.Second // of a request whose body arrives
	slowAnswerAge = time.Second // of an answer of which the client reads nothing
)

// Order in which connections are ended: the lowest first, and among equal ones that which has been so for longest.
const (
	orderClosing    = iota
	orderOpen       // has never sent a whole request
	orderSlowBody   // holds much and sends nothing of use
	orderSlowAnswer // the same for a client that doesn't read
	orderIdle       // loses a connection, but no request
	orderNext
	orderBody
	orderNever // a request that is passed on may have run
)

func (c *Connection) order(now time.Time) int {
	switch c.stage {
	case StageClosing:
		return orderClosing
	case StageOpen:
		return orderOpen
	case StageIdle:
		return orderIdle
	case StageNext:
		return orderNext
	case StageBody:
		if now.Sub(c.request) >= slowBodyAge {
			return orderSlowBody
		}
		return orderBody
	case StageWriting:
		if now.Sub(c.since) >= slowAnswerAge {
			return orderSlowAnswer
		}
	}
	return orderNever
}

// next returns the connection to end next, or nil if none may be ended. except may not be.
func (b *Budget) next(now time.Time, except *Connection) *Connection {
	var found *Connection
	lowest := orderNever
	for c := range b.connections {
		if c.ended || c == except {
			continue
		}
		order := c.order(now)
		if order < lowest || (found != nil && order == lowest && c.since.Before(found.since)) {
			found, lowest = c, order
		}
	}
	return found
}

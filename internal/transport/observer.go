package transport

import "fmt"

// EventKind is the type of a connection event.
type EventKind uint8

// The kinds of events.
const (
	// EventOpened is a connection that is ready for use.
	EventOpened EventKind = iota + 1
	// EventClosed is the end of a connection that was ready for use.
	EventClosed
	// EventFailed is a connection that could not be opened, or an incoming one whose handshake failed.
	EventFailed
	// EventSilent is a connection that was closed because nothing arrived on it within Config.KeepAliveTimeout.
	EventSilent
	// EventRejected is an incoming message that was refused.
	EventRejected
)

var eventNames = map[EventKind]string{
	EventOpened: "opened", EventClosed: "closed", EventFailed: "failed", EventSilent: "silent",
	EventRejected: "rejected",
}

// String returns the name of the kind.
func (k EventKind) String() string {
	if name, ok := eventNames[k]; ok {
		return name
	}
	return fmt.Sprintf("event(%d)", uint8(k))
}

// Event is reported to an Observer.
type Event struct {
	Kind EventKind
	// Address is the peer's address; for an incoming connection its source address.
	Address string
	// Incoming is set for connections that the peer opened.
	Incoming bool
	// Err is the reason. It is nil for EventOpened, and for EventClosed where no error ended the connection.
	Err error
}

// Observer receives connection events. Observe is called concurrently and must not block.
type Observer interface {
	Observe(Event)
}

func (t *Transport) observe(e Event) {
	if t.cfg.Observer != nil {
		t.cfg.Observer.Observe(e)
	}
}

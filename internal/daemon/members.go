package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/wire"
)

const (
	// memberTick is the interval of the membership state machine. It is a tenth of the heartbeat interval, so that
	// waiting for the next tick adds little to the delay of gossip.
	memberTick = 100 * time.Millisecond
	// controlTimeout bounds the sending of a control message. It is several times the time for a new connection and a
	// round trip between regions (60 ms).
	controlTimeout = 2 * time.Second
	// maxConcurrentSends bounds the membership messages that are being sent at once. Further ones are dropped, as if
	// the network had lost them; the gossip protocol repeats the information in later messages.
	maxConcurrentSends = 64
)

// sender sends control messages to other daemons.
type sender interface {
	Send(ctx context.Context, address string, m *wire.Control) error
}

// members runs the membership state machine: it passes it the time and received messages, sends its messages and
// reports its changes. It is safe for concurrent use.
type members struct {
	sender          sender
	setSenderFields func(*wire.Control)
	onChange        func([]membership.Record)
	now             func() time.Time
	sendSlots       chan struct{} // holds one element for each message that is being sent

	node *control.LockedNode
	// changeOrder is held from a step of the node until its changes have been handed to onChange. So onChange gets them
	// in the order in which the node made them, and an older record can't replace a newer one.
	changeOrder sync.Mutex

	mu           sync.Mutex
	servingStart map[call.Incarnation]time.Time // when an incarnation was first known to serve
}

func newMembers(cfg membership.Config, self membership.Record, peers []string, rng *rand.Rand, s sender,
	setSenderFields func(*wire.Control), onChange func([]membership.Record), now func() time.Time) *members {
	return &members{
		sender:          s,
		setSenderFields: setSenderFields,
		onChange:        onChange,
		now:             now,
		sendSlots:       make(chan struct{}, maxConcurrentSends),
		node:            control.NewLockedNode(membership.New(cfg, self, peers, rng)),
		servingStart:    make(map[call.Incarnation]time.Time),
	}
}

// run calls the node's Tick periodically until the context ends.
func (m *members) run(ctx context.Context) {
	every(ctx, memberTick, func() { m.update(m.node.Tick) })
}

// handleMessage handles an encoded message from another member. It returns the error of membership.Decode, and one that
// names a record that it left out.
func (m *members) handleMessage(payload []byte) error {
	msg, err := membership.Decode(payload)
	if err != nil {
		return err
	}
	err = control.DropUnreachable(&msg)
	m.update(func(now time.Time) { m.node.Step(now, msg) })
	return err
}

// setState sets and announces the state of this daemon.
func (m *members) setState(s membership.State) {
	m.update(func(now time.Time) { m.node.SetState(now, s) })
}

// setSlots sets and announces the slots of the backend server.
func (m *members) setSlots(slots int) {
	m.update(func(now time.Time) { m.node.SetSlots(now, slots) })
}

// update runs one step of the node and sends the messages that result.
func (m *members) update(f func(now time.Time)) {
	for _, msg := range m.updateInOrder(f) {
		m.send(msg)
	}
}

// updateInOrder runs one step of the node, reports its changes to onChange and returns the messages to send.
func (m *members) updateInOrder(f func(now time.Time)) []membership.Message {
	m.changeOrder.Lock()
	defer m.changeOrder.Unlock()
	f(m.now())
	out := m.node.Ready()
	m.recordServingStart(out.Changes)
	if len(out.Changes) > 0 {
		m.onChange(out.Changes)
	}
	return out.Messages
}

// recordServingStart records when each incarnation began to serve. A suspect keeps its time, since it may turn out to
// be alive; any other state removes it.
func (m *members) recordServingStart(changes []membership.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range changes {
		switch r.State {
		case membership.StateServing:
			if _, ok := m.servingStart[r.Incarnation]; !ok {
				m.servingStart[r.Incarnation] = m.now()
			}
		case membership.StateSuspect: // keeps its time
		default:
			delete(m.servingStart, r.Incarnation)
		}
	}
}

// send sends a message in the background. It drops the message if maxConcurrentSends are being sent.
func (m *members) send(msg membership.Message) {
	payload, err := membership.Encode(msg)
	if err != nil {
		return // the records exceed the maximum size of a message; gossip messages still carry the changes
	}
	select {
	case m.sendSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-m.sendSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		c := &wire.Control{Membership: &wire.Membership{Payload: payload}}
		m.setSenderFields(c)
		_ = m.sender.Send(ctx, msg.To, c) // the state machine detects members that don't respond
	}()
}

// records returns the records of all known members, including this daemon.
func (m *members) records() []membership.Record {
	return m.node.Members()
}

// servingSince returns when the incarnation in r was first known to serve, or the zero time.
func (m *members) servingSince(r membership.Record) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servingStart[r.Incarnation]
}

// liveAddresses returns the peer addresses of the live daemons of a service without the address except.
func (m *members) liveAddresses(service, except string) []string {
	var addresses []string
	for _, r := range m.records() {
		if r.Service == service && r.Address != except && r.Alive() {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

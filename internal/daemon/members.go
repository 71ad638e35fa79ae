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
	// gossip moves on without adding noticeable delay.
	memberTick = 100 * time.Millisecond
	// controlTimeout bounds the sending of a control message. It covers a new connection and a round trip between
	// regions (60 ms) several times over.
	controlTimeout = 2 * time.Second
	// maxConcurrentSends bounds the control messages that are being sent at once. Further ones are dropped, as if the
	// network had lost them; the protocol repeats what matters.
	maxConcurrentSends = 64
)

// sender sends control messages.
type sender interface {
	Send(ctx context.Context, address string, m *wire.Control) error
}

// members drives the membership state machine. It is safe for concurrent use.
type members struct {
	sender          sender
	setSenderFields func(*wire.Control)
	onChange        func([]membership.Record)
	now             func() time.Time
	sendSlots       chan struct{} // bounds the messages that are being sent

	node *control.LockedNode
	// changeOrder keeps changes in the order in which the node made them, so that an older record can't replace a newer one.
	changeOrder sync.Mutex

	mu           sync.Mutex
	servingStart map[call.Incarnation]time.Time // when an incarnation was first seen serving
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

// run ticks until the context ends.
func (m *members) run(ctx context.Context) {
	every(ctx, memberTick, func() { m.update(m.node.Tick) })
}

// handleMessage takes a message of another member.
func (m *members) handleMessage(payload []byte) error {
	msg, err := membership.Decode(payload)
	if err != nil {
		return err
	}
	m.update(func(now time.Time) { m.node.Step(now, msg) })
	return nil
}

// setState announces a new state of this daemon.
func (m *members) setState(s membership.State) {
	m.update(func(now time.Time) { m.node.SetState(now, s) })
}

// setSlots announces the slots of the backend server.
func (m *members) setSlots(slots int) {
	m.update(func(now time.Time) { m.node.SetSlots(now, slots) })
}

// update steps the state machine and carries out what it returns.
func (m *members) update(f func(now time.Time)) {
	for _, msg := range m.updateInOrder(f) {
		m.send(msg)
	}
}

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

// recordServingStart remembers when each incarnation began to serve.
func (m *members) recordServingStart(changes []membership.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range changes {
		switch r.State {
		case membership.StateServing:
			if _, ok := m.servingStart[r.Incarnation]; !ok {
				m.servingStart[r.Incarnation] = m.now()
			}
		case membership.StateSuspect:
		default:
			delete(m.servingStart, r.Incarnation)
		}
	}
}

// send sends a message without waiting for it.
func (m *members) send(msg membership.Message) {
	payload, err := membership.Encode(msg)
	if err != nil {
		return // a table that exceeds the message limits; gossip still carries the changes
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
		_ = m.sender.Send(ctx, msg.To, c) // the state machine notices silence by itself
	}()
}

// records returns all known members.
func (m *members) records() []membership.Record {
	return m.node.Members()
}

// servingSince returns when a member began to serve.
func (m *members) servingSince(r membership.Record) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servingStart[r.Incarnation]
}

// liveAddresses returns the addresses of the other live daemons of a service.
func (m *members) liveAddresses(service, except string) []string {
	var addresses []string
	for _, r := range m.records() {
		if r.Service == service && r.Address != except && r.Alive() {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

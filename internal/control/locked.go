package control

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/membership"
)

// LockedNode is a membership.Node that is safe for concurrent use. Every method holds the lock for the whole call.
type LockedNode struct {
	mu   sync.Mutex
	node *membership.Node
}

var _ Members = (*LockedNode)(nil)

// NewLockedNode wraps a node. The caller must no longer use the node directly.
func NewLockedNode(node *membership.Node) *LockedNode {
	return &LockedNode{node: node}
}

// Self returns the daemon's own record.
func (l *LockedNode) Self() membership.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Self()
}

// Members returns the records of all members.
func (l *LockedNode) Members() []membership.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Members()
}

// GossipTargets returns the addresses of the members to notify of a new configuration.
func (l *LockedNode) GossipTargets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.GossipTargets()
}

// ZoneHash returns a hash over the alive records of a zone.
func (l *LockedNode) ZoneHash(zone string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.ZoneHash(zone)
}

// Summary returns the records of the daemon's zone.
func (l *LockedNode) Summary(now time.Time) membership.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Summary(now)
}

// Step handles a message from a peer.
func (l *LockedNode) Step(now time.Time, m membership.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Step(now, m)
}

// SyncWith starts an anti-entropy exchange with the member at an address.
func (l *LockedNode) SyncWith(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SyncWith(now, address)
}

// OtherZones returns the address of one alive member of each other zone.
func (l *LockedNode) OtherZones() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.OtherZones()
}

// RemoteMember returns the address of a member of another zone, and false if none is known.
func (l *LockedNode) RemoteMember() (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.RemoteMember()
}

// Tick does the work that is due at now.
func (l *LockedNode) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Tick(now)
}

// SetState changes the daemon's own state.
func (l *LockedNode) SetState(now time.Time, s membership.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetState(now, s)
}

// SetSlots changes the slots in the daemon's own record.
func (l *LockedNode) SetSlots(now time.Time, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetSlots(now, slots)
}

// AddPeers adds bootstrap peers.
func (l *LockedNode) AddPeers(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.AddPeers(addresses)
}

// Ready returns the messages and changes of records produced since the last call.
func (l *LockedNode) Ready() membership.Output {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Ready()
}

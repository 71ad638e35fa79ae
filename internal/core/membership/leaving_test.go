package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a member that left as announced and is then marked as suspect. Suspects still receive calls, so
// callers would wait for a daemon that has exited.
func TestLeavingMemberIsNeverSuspected(t *testing.T) {
	self := Record{Address: "10.0.0.1:1", Zone: "z", Incarnation: 1, State: StateServing}
	n := New(Config{}, self, nil, rand.New(rand.NewPCG(1, 2)))
	now := time.UnixMilli(1_000_000)
	n.Tick(now)
	leaving := Record{Address: "10.0.0.2:1", Zone: "z", Incarnation: 1, Seq: 1, State: StateLeaving}
	n.Step(now, Message{Kind: KindGossip, From: leaving.Address, To: self.Address, Zone: "z", Records: []Record{leaving}})
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(250 * time.Millisecond) {
		n.Tick(now)
		for _, r := range n.Ready().Changes {
			if r.Address == leaving.Address && r.State == StateSuspect {
				t.Fatalf("the member that left is %v", r.State)
			}
		}
	}
	if r, _ := n.Member(leaving.Address); r.State != StateDown {
		t.Errorf("10 s after it left the member is %v, want %v", r.State, StateDown)
	}
}

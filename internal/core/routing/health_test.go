package routing

import (
	"testing"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Guards against calls that repeatedly wait for the dial timeout while membership still lists a killed daemon as
// serving.
func TestUnreachableUpstreamIsEjectedAtOnce(t *testing.T) {
	p := NewPicker(Config{Zone: "a", Region: "west"}, newRand(1))
	p.Update(epoch, []Candidate{candidate(0, "a", "west"), candidate(1, "a", "west")})
	p.Done(epoch, "upstream-0", DoneInfo{Outcome: call.OutcomeNotRun, Reason: call.ReasonUnreachable})
	for i := range 100 {
		c, err := p.Pick(epoch, PickInfo{})
		if err != nil || c.Address == "upstream-0" {
			t.Fatalf("call %d: %v, %v", i, c, err)
		}
	}
}

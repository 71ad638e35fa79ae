package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// spillPicker returns a picker with one upstream in the own zone, one in the own region and one in another region, with
// 10 slots each.
func spillPicker() *Picker {
	p := NewPicker(Config{Zone: "z1", Region: "r1"}, rand.New(rand.NewPCG(1, 1)))
	p.Update(start, []Candidate{
		{Address: "near", Zone: "z1", Region: "r1", Slots: 10},
		{Address: "region", Zone: "z2", Region: "r1", Slots: 10},
		{Address: "remote", Zone: "z3", Region: "r2", Slots: 10},
	})
	return p
}

var start = time.Unix(1_800_000_000, 0)

// pickCounts picks n times, ends each call with the given load and latency of its upstream, and returns the number of
// calls by address.
func pickCounts(t *testing.T, p *Picker, n int, load map[string]float64, latency map[string]time.Duration) map[string]int {
	t.Helper()
	got := make(map[string]int)
	now := start
	for range n {
		now = now.Add(10 * time.Millisecond)
		c, err := p.Pick(now, PickInfo{Rank: call.LowestRank(call.ClassHigh)})
		if err != nil {
			t.Fatal(err)
		}
		got[c.Address]++
		p.Done(now, c.Address, DoneInfo{Outcome: call.OutcomeAnswered, Latency: latency[c.Address], Load: load[c.Address]})
	}
	return got
}

// Guards against calls that wait for a full upstream in the own zone while others have free slots, and against traffic
// to another region while the own one has room.
func TestFullZoneSpillsToItsRegionFirst(t *testing.T) {
	even := map[string]time.Duration{"near": 40 * time.Millisecond, "region": 40 * time.Millisecond, "remote": 100 * time.Millisecond}
	got := pickCounts(t, spillPicker(), 200, map[string]float64{"near": 0.5, "region": 0.5}, even)
	if got["near"] != 200 {
		t.Errorf("with room in the zone: %v", got)
	}
	got = pickCounts(t, spillPicker(), 200, map[string]float64{"near": 1.5, "region": 0.5}, even)
	if got["region"] < 150 || got["remote"] > 0 {
		t.Errorf("with a full zone: %v", got)
	}
	got = pickCounts(t, spillPicker(), 200, map[string]float64{"near": 1.5, "region": 1.5, "remote": 0.2}, even)
	if got["remote"] < 100 {
		t.Errorf("with a full region: %v", got)
	}
}

// Guards against requests that wait for an upstream that has become many times slower than the others.
func TestSlowUpstreamCountsAsFull(t *testing.T) {
	slow := map[string]time.Duration{"near": 500 * time.Millisecond, "region": 40 * time.Millisecond}
	p := spillPicker()
	p.Done(start, "region", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: 0.3})
	got := pickCounts(t, p, 200, map[string]float64{"near": 0.3, "region": 0.3}, slow)
	if got["near"] > 60 {
		t.Errorf("slow upstream: %v", got)
	}
}

// Guards against many concurrent requests to a slow upstream each time it is probed, and against an upstream that is
// still left out after it has become fast again.
func TestSlowUpstreamIsProbedOneAtATime(t *testing.T) {
	p := spillPicker()
	for range 20 {
		p.Done(start, "near", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 500 * time.Millisecond, Load: 0.3})
		p.Done(start, "region", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: 0.3})
	}
	p.Done(start, "near", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 500 * time.Millisecond, Load: 0.3})
	now := start
	sent := 0
	for range 400 { // 4 s in which the slow upstream doesn't answer
		now = now.Add(10 * time.Millisecond)
		c, err := p.Pick(now, PickInfo{Rank: call.LowestRank(call.ClassHigh)})
		if err != nil {
			t.Fatal(err)
		}
		if c.Address == "near" {
			sent++
			continue
		}
		p.Done(now, c.Address, DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: 0.3})
	}
	if sent != 1 {
		t.Errorf("%d requests wait at the slow upstream, want 1", sent)
	}
	p.Done(now, "near", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: 0.1})
	if c, err := p.Pick(now, PickInfo{Rank: call.LowestRank(call.ClassHigh)}); err != nil || c.Address != "near" {
		t.Errorf("after a fast answer: %v, %v", c.Address, err)
	}
}

// Guards against uploads that leave their zone, where traffic is billed by volume, while a slot in the zone is free
// after a short wait.
func TestUploadsStayInTheirZone(t *testing.T) {
	p := NewPicker(Config{Zone: "a", Region: "r"}, rand.New(rand.NewPCG(1, 1)))
	start := epoch.Add(time.Minute)
	p.Update(start, []Candidate{
		{Address: "near", Zone: "a", Region: "r", Slots: 100, ServingSince: epoch},
		{Address: "far", Zone: "b", Region: "r", Slots: 100, ServingSince: epoch},
	})
	pick := func(load float64, upload bool) string {
		p.Done(start, "near", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: load})
		p.Done(start, "far", DoneInfo{Outcome: call.OutcomeAnswered, Latency: 40 * time.Millisecond, Load: 0.1})
		c, err := p.Pick(start, PickInfo{Rank: call.NewRank(call.ClassHigh, "r"), Upload: upload})
		if err != nil {
			t.Fatal(err)
		}
		return c.Address
	}
	if got := pick(1, false); got != "far" {
		t.Errorf("with a full zone a small request was sent to %q, want \"far\"", got)
	}
	if got := pick(1, true); got != "near" {
		t.Errorf("with a short wait in its zone an upload was sent to %q, want \"near\"", got)
	}
	if got := pick(1.3, true); got != "far" {
		t.Errorf("with a long wait in its zone an upload was sent to %q, want \"far\"", got)
	}
}

package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func equalRecords(a, b []Record) bool {
	return slices.EqualFunc(a, b, Record.equal)
}

// drawRecord draws from few values, so that records collide in every field.
func drawRecord(t *rapid.T) Record {
	at := func(name string) time.Time {
		return start.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, name)) * time.Hour)
	}
	r := Record{
		Fingerprint:  Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "fingerprint"))},
		Lifts:        uint32(rapid.IntRange(0, 1).Draw(t, "lifts")),
		Round:        uint32(rapid.IntRange(0, 2).Draw(t, "round")),
		Cleared:      rapid.Bool().Draw(t, "cleared"),
		SuspectUntil: at("suspect"),
		KeepUntil:    at("keep"),
	}
	if rapid.Bool().Draw(t, "confirmed") {
		r.ConfirmedUntil = at("until")
	}
	return r
}

// Guards against daemons that disagree because records reached them in another order, grouping or number.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		b.Fingerprint, c.Fingerprint = a.Fingerprint, a.Fingerprint
		if !Join(a, b).equal(Join(b, a)) {
			t.Fatalf("not commutative: %+v and %+v", a, b)
		}
		if !Join(a, Join(b, c)).equal(Join(Join(a, b), c)) {
			t.Fatalf("not associative: %+v, %+v and %+v", a, b, c)
		}
		if !Join(a, a).equal(a) {
			t.Fatalf("not idempotent: %+v", a)
		}
	})
}

// Guards against a merge that depends on order or repetition, and against records that circulate for ever.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
		one, other := New(Config{}), New(Config{})
		one.Merge(start, rs)
		for _, r := range rapid.Permutation(append(slices.Clone(rs), rs...)).Draw(t, "order") {
			other.Merge(start, []Record{r})
		}
		if !equalRecords(one.Records(), other.Records()) {
			t.Fatalf("lists differ: %+v and %+v", one.Records(), other.Records())
		}
		if changed := one.Merge(start, rs); len(changed) > 0 {
			t.Fatalf("known records reported as changed: %+v", changed)
		}
	})
}

// Guards against a suspect that shares the daemon, requests that overtake one another, and one that never starts.
func TestGateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGate()
		alone := rapid.SliceOfN(rapid.Bool(), 1, 30).Draw(t, "alone")
		var running []uint64
		next, started := 0, 0
		note := func(ids []uint64) {
			for _, id := range ids {
				if int(id) != started {
					t.Fatalf("request %d started before %d", id, started)
				}
				started++
				running = append(running, id)
			}
		}
		for started < len(alone) || len(running) > 0 {
			if next < len(alone) && (len(running) == 0 || rapid.Bool().Draw(t, "offer")) {
				note(g.Offer(uint64(next), alone[next]))
				next++
			} else if len(running) > 0 {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "done")
				id := running[i]
				running = slices.Delete(running, i, i+1)
				note(g.Done(id))
			} else {
				t.Fatalf("%d of %d requests never start", len(alone)-started, len(alone))
			}
			for _, id := range running {
				if alone[id] && len(running) > 1 {
					t.Fatalf("suspect %d runs with %d others", id, len(running)-1)
				}
			}
			if len(running) == 0 && next > started {
				t.Fatal("requests wait although nothing is in flight")
			}
		}
	})
}

// Guards against a quarantine that never ends, and a lift that a late record of the crash undoes.
func TestExpiryAndLift(t *testing.T) {
	fp := NewFingerprint("transfer", "POST", "/transfers", []byte("x"))
	l := New(Config{})
	suspicion := l.Crashed(start, []Fingerprint{fp})
	confirmation := l.Crashed(start, []Fingerprint{fp})
	if v := l.Check(start.Add(DefaultConfirmedTTL-1), fp); v != Refuse {
		t.Fatalf("before expiry: %v", v)
	}
	if v := l.Check(start.Add(DefaultConfirmedTTL), fp); v != Allow {
		t.Fatalf("after expiry: %v", v)
	}
	lifted := l.Lift(start, fp)
	peer := New(Config{})
	peer.Merge(start, lifted)
	peer.Merge(start, append(confirmation, suspicion...))
	if v := peer.Check(start, fp); v != Allow {
		t.Fatalf("after lift: %v", v)
	}
}

// Guards against a full list that grows, or that drops a confirmation to hold suspects that expire later.
func TestFullListKeepsConfirmations(t *testing.T) {
	cfg := Config{MaxRecords: 2, ConfirmedTTL: time.Minute}
	fps := []Fingerprint{{1}, {2}, {3}}
	now := start.Add(time.Second)
	l, other := New(cfg), New(Config{})
	l.Crashed(start, fps[:1])
	l.Crashed(start, fps[:1])
	l.Crashed(now, fps[1:])
	other.Crashed(now, fps[2:])
	l.Merge(now, other.Crashed(now, fps[2:]))
	if len(l.Records()) != 2 || l.Check(now, fps[0]) != Refuse || l.Check(now, fps[2]) != Refuse {
		t.Fatalf("records: %+v", l.Records())
	}
}

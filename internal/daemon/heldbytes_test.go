package daemon

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/holdings"
	"guavapoint.example/guavapoint/internal/core/outcome"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/internal/wire"
)

func newTestIntake(limit int64) *intake.Intake {
	return intake.New(holdings.Limits{Bytes: limit, Connections: 1}, time.Now, nil)
}

// allFree reports whether nothing is held.
func allFree(i *intake.Intake) bool { return i.Usage().Bytes == 0 }

// Guards against requests and answers that hold more memory together than the bound allows, whatever each of them sends or
// states, and against memory that stays counted after they ended.
func TestHeldBytesKeepTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(0, 400_000).Draw(t, "limit")
		h := newTestIntake(limit)
		var held int64
		var all []*intake.Holding
		for range rapid.IntRange(1, 20).Draw(t, "readers") {
			size, most := rapid.IntRange(0, 300_000).Draw(t, "size"), rapid.IntRange(0, 300_000).Draw(t, "most")
			holding := h.Holding(t.Context())
			got, err := readHeld(iotest.HalfReader(strings.NewReader(strings.Repeat("x", size))), most, holding)
			if len(got) > most || int64(cap(got)) > holding.Bytes()+minHeldBuffer {
				t.Fatalf("read %d bytes of at most %d, and holds %d", len(got), most, holding.Bytes())
			}
			if whole := len(got) == min(size, most); whole != (err == nil || err == io.EOF) {
				t.Fatalf("%d of %d bytes: %v", len(got), min(size, most), err)
			}
			if held += holding.Bytes(); held > limit {
				t.Fatalf("%d bytes are held, the bound is %d", held, limit)
			}
			all = append(all, holding)
		}
		for _, holding := range all {
			holding.Release()
		}
		if !allFree(h) {
			t.Fatal("memory stays counted")
		}
	})
}

// Guards against a body that is refused although it can be streamed, and against one that runs under a fingerprint of a part
// of what the fingerprint covers.
func TestBodyWithoutMemory(t *testing.T) {
	const size = replayLimit - 1
	for _, c := range []struct {
		limit      int64
		err        error
		replayable bool // also after it was sent
	}{
		{2 * size, nil, true},
		{2 * quarantine.FingerprintBodySize, nil, false},
		{quarantine.FingerprintBodySize / 2, errNoMemory, false},
	} {
		h := newTestIntake(c.limit)
		text := strings.Repeat("x", size)
		b, err := newRequestBody(strings.NewReader(text), size, h.Holding(t.Context()))
		if err != c.err {
			t.Fatalf("limit %d: %v, want %v", c.limit, err, c.err)
		}
		if err == nil {
			r, _ := b.reader()
			if got, err := io.ReadAll(r); err != nil || string(got) != text {
				t.Errorf("limit %d: %d bytes, %v", c.limit, len(got), err)
			}
			if b.replayable() != c.replayable {
				t.Errorf("limit %d: can be sent again: %v, want %v", c.limit, b.replayable(), c.replayable)
			}
		}
		if b.release(); !allFree(h) {
			t.Errorf("limit %d: memory stays counted", c.limit)
		}
	}
}

// Guards against answers that fail because no memory is left to hold their first bytes: they are passed on as they arrive.
func TestAnswersPassWithoutMemory(t *testing.T) {
	d := newFarDispatcher(t)
	d.held = newTestIntake(0)
	d.expectServed(t)
	u, tok := newTokenUpstream(t)
	u.held = newTestIntake(0)
	text := strings.Repeat("x", 2*minHeldBuffer)
	res := u.recordAnswer(&upstreamCall{}, tok, &result{outcome: call.OutcomeAnswered, status: 200, length: int64(len(text)),
		body: io.NopCloser(strings.NewReader(text))})
	if rest, err := io.ReadAll(res.body); err != nil || string(res.bodyPrefix)+string(rest) != text {
		t.Errorf("%d bytes and %d bytes, %v, want %d", len(res.bodyPrefix), len(rest), err, len(text))
	}
	res.close(true)
	decision, answer, err := u.tokens.resolve(tok)
	if got, reason := outcome.CallOutcome(decision, answer, err); got != call.OutcomeUnknown || reason != call.ReasonAnswerNotKept {
		t.Errorf("%v (%v) for resends, want unknown (%v)", got, reason, call.ReasonAnswerNotKept)
	}
}

// Guards against memory that stays counted after calls have ended, and against a refusal for it that isn't "not run".
func TestCallsReleaseTheirMemory(t *testing.T) {
	const limit = 4 * maxAnswerPrefix
	d := newFarDispatcher(t)
	d.held = newTestIntake(limit)
	for _, op := range []config.Operation{{Idempotent: true}, {}} {
		for range 20 {
			d.peer.broken = true
			d.send(t, op, strings.NewReader(""), 0)
			d.send(t, op, strings.NewReader("body"), 4)
		}
	}
	if !allFree(d.held) {
		t.Error("memory stays counted")
	}
	h := &wire.CallHeader{Token: "t", Minted: true}
	if res := bodyReadFailed(h, errNoMemory); res.outcome != call.OutcomeNotRun || res.reason != call.ReasonMemory {
		t.Errorf("%v (%v), want not-run (memory)", res.outcome, res.reason)
	}
	h.Minted = false
	if res := bodyReadFailed(h, errNoMemory); res.outcome != call.OutcomeUnknown {
		t.Errorf("%v for a token of the caller, want unknown", res.outcome)
	}
}

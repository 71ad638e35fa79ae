package outcome

import (
	"encoding/binary"
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

var testConfig = Config{TTL: 20 * time.Second, Retention: time.Minute, MaxTokens: 4, MaxBytes: MaxAnswerSize + 500}

// modelToken is a token in the model: an unbounded list from which nothing is ever removed.
type modelToken struct {
	token          call.Token
	state          tokenState
	fingerprint    Fingerprint
	answer         Answer
	endedAt        time.Time
	runs           int  // times that Begin returned Run
	dispatched     bool // the request was sent to a backend server
	reportedNotRun bool // the token was reported as not run
}

// kept reports whether the table must still hold the token's outcome.
func (k *modelToken) kept(now time.Time) bool {
	return k.state == stateFinished && now.Before(latest(k.endedAt.Add(testConfig.Retention), k.token.Expiry))
}

// live reports whether the table must still hold the token.
func (k *modelToken) live(now time.Time) bool {
	return k.state == stateRunning || now.Before(k.token.Expiry) || k.kept(now)
}

// modelTest applies the same random schedule of actions to a table and to the model.
type modelTest struct {
	table  *Table
	self   call.Incarnation
	now    time.Time
	tokens []*modelToken
}

// onToken returns an action that picks one of the eight newest tokens.
func (m *modelTest) onToken(action func(*rapid.T, *modelToken)) func(*rapid.T) {
	return func(t *rapid.T) {
		if len(m.tokens) == 0 {
			t.Skip("no token yet")
		}
		action(t, rapid.SampledFrom(m.tokens[max(0, len(m.tokens)-8):]).Draw(t, "token"))
	}
}

func (m *modelTest) issue(t *rapid.T) {
	var nonce [call.NonceSize]byte
	binary.BigEndian.PutUint32(nonce[:], uint32(len(m.tokens)))
	tok := m.table.NewToken(m.now, "transfer", "10.0.0.1:1", nonce)
	live := 0
	for _, k := range m.tokens {
		if k.token.Incarnation == m.self && k.live(m.now) {
			live++
		}
	}
	full := live >= testConfig.MaxTokens
	err := m.table.Issue(m.now, tok)
	if full != errors.Is(err, ErrTableFull) || (!full && err != nil) {
		t.Fatalf("issue: %v; full with live tokens: %v", err, full)
	}
	if err == nil {
		m.tokens = append(m.tokens, &modelToken{token: tok})
	}
}

// reissue guards against a token that can run again after it was issued twice, even if the clock steps back.
func (m *modelTest) reissue(t *rapid.T, k *modelToken) {
	back := rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "back")
	if err := m.table.Issue(m.now.Add(-back), k.token); err == nil {
		t.Fatal("a token was issued twice")
	}
}

func (m *modelTest) begin(t *rapid.T, k *modelToken) {
	fp := Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "request"))}
	d, a, err := m.table.Begin(m.now, k.token, fp)
	fresh := k.state == stateIssued && k.token.Incarnation == m.self && m.now.Before(k.token.Expiry)
	if fresh != (d == Run) {
		t.Fatalf("begin: %v, %v; the token can start: %v", d, err, fresh)
	}
	if fresh {
		k.state, k.fingerprint = stateRunning, fp
		k.runs++
		return
	}
	bound := k.state == stateRunning || k.state == stateFinished
	if bound && k.fingerprint != fp && !m.notInTable(t, k, err) {
		if !errors.Is(err, ErrRequestMismatch) {
			t.Fatalf("begin for another request: %v, %v", d, err)
		}
		return
	}
	m.checkDecision(t, k, d, a, err)
}

func (m *modelTest) resolve(t *rapid.T, k *modelToken) {
	d, a, err := m.table.Resolve(m.now, k.token)
	if k.state == stateIssued && err == nil {
		k.state = stateRefused
	}
	m.checkDecision(t, k, d, a, err)
}

// notInTable reports whether err means that the table doesn't hold the token, and fails if the table must hold it.
func (m *modelTest) notInTable(t *rapid.T, k *modelToken, err error) bool {
	if (k.token.Incarnation != m.self) != errors.Is(err, ErrWrongIncarnation) {
		t.Fatalf("token of incarnation %d at %d: %v", k.token.Incarnation, m.self, err)
	}
	if errors.Is(err, ErrTokenNotFound) && k.live(m.now) {
		t.Fatalf("live token in state %d is not in the table", k.state)
	}
	return errors.Is(err, ErrTokenNotFound) || errors.Is(err, ErrWrongIncarnation)
}

// checkDecision compares the decision on a token that can't start any more, and the outcome that is reported for it,
// with the model. It records "not run" for invariants.
func (m *modelTest) checkDecision(t *rapid.T, k *modelToken, d Decision, a *Answer, err error) {
	reported, reason := CallOutcome(d, a, err)
	k.reportedNotRun = k.reportedNotRun || reported == call.OutcomeNotRun
	if m.notInTable(t, k, err) {
		if reported != call.OutcomeUnknown {
			t.Fatalf("token that is not in the table reported as %v", reported)
		}
		return
	}
	want := Refused
	switch k.state {
	case stateRunning:
		want = Running
	case stateFinished:
		want = Replay
	}
	if d != want || err != nil && d != Refused || d == Replay && !reflect.DeepEqual(*a, k.answer) {
		t.Fatalf("%v, %v, %+v; want %v, %+v", d, err, a, want, k.answer)
	}
	whole := d == Replay && a.LostReason == "" && !a.TooLarge
	if whole != (reported == call.OutcomeAnswered) || d == Replay && a.LostReason != "" && reason != a.LostReason {
		t.Fatalf("%v reported as %v %q, whole answer: %v", d, reported, reason, whole)
	}
}

func (m *modelTest) dispatch(_ *rapid.T, k *modelToken) {
	k.dispatched = k.dispatched || k.state == stateRunning
}

// complete begins, dispatches and finishes a token in one action, so that schedules often reach finished tokens.
func (m *modelTest) complete(t *rapid.T, k *modelToken) {
	m.begin(t, k)
	m.dispatch(t, k)
	m.finish(t, k)
}

func (m *modelTest) finish(t *rapid.T, k *modelToken) {
	size := rapid.SampledFrom([]int{800, MaxAnswerSize, MaxAnswerSize + 1}).Draw(t, "size")
	a := Answer{Status: 200 + len(m.tokens), Body: make([]byte, size)}
	if rapid.IntRange(0, 3).Draw(t, "crashed") == 0 {
		a = LostAnswer(call.ReasonBackendCrashed)
	}
	if k.state == stateRunning && (!k.dispatched || k.token.Incarnation != m.self) {
		return
	}
	m.table.Finish(m.now, k.token, a) // a late or repeated Finish must change nothing
	if k.state != stateRunning {
		return
	}
	used := len(a.Body)
	for _, o := range m.tokens {
		if o.token.Incarnation == m.self && o.kept(m.now) {
			used += len(o.answer.Body)
		}
	}
	if len(a.Body) > MaxAnswerSize || used > testConfig.MaxBytes && len(a.Body) > 0 {
		a = Answer{Status: a.Status, TooLarge: true}
	}
	k.state, k.answer, k.endedAt = stateFinished, a, m.now
}

// refuse calls Refuse only before dispatch, where it is allowed, or after the end, where it must change nothing.
func (m *modelTest) refuse(_ *rapid.T, k *modelToken) {
	if k.dispatched && k.state == stateRunning {
		return
	}
	m.table.Refuse(m.now, k.token)
	if k.token.Incarnation == m.self && (k.state == stateIssued || k.state == stateRunning) {
		k.state = stateRefused
	}
}

func (m *modelTest) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 10, 21, 59}).Draw(t, "seconds")) * time.Second)
	m.table.Tick(m.now)
}

func (m *modelTest) restart(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
		t.Skip("restarts are rare, so that schedules reach the later states")
	}
	m.self++
	m.table = NewTable(testConfig, m.self)
}

func (m *modelTest) invariants(t *rapid.T) {
	for _, k := range m.tokens {
		if k.runs > 1 || k.reportedNotRun && k.dispatched {
			t.Fatalf("a token ran %d times; reported as not run: %v", k.runs, k.reportedNotRun)
		}
	}
	if m.table.Len() > testConfig.MaxTokens || m.table.Bytes() > testConfig.MaxBytes {
		t.Fatalf("%d tokens and %d bytes exceed the bounds", m.table.Len(), m.table.Bytes())
	}
}

// Guards against a second run of a token, "not run" reported for a request that was dispatched, a live token that is
// removed, a full table that issues tokens, a resend that isn't answered "unknown" after the backend server died in its
// run, and any other deviation from an unbounded model, under random schedules with clock steps and restarts.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &modelTest{table: NewTable(testConfig, 1), self: 1, now: time.Unix(1_000_000, 0)}
		actions := map[string]func(*rapid.T){
			"issue": m.issue, "reissue": m.onToken(m.reissue), "begin": m.onToken(m.begin), "dispatch": m.onToken(m.dispatch),
			"finish": m.onToken(m.finish), "refuse": m.onToken(m.refuse), "resolve": m.onToken(m.resolve), "clock": m.advanceClock,
			"complete": m.onToken(m.complete), "restart": m.restart, "": m.invariants,
		}
		for range 4 { // rapid takes about 30 steps in one Repeat
			t.Repeat(actions)
		}
	})
}

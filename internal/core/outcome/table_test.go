package outcome

import (
	"encoding/binary"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
)

var testConfig = Config{TTL: 20 * time.Second, Retention: time.Minute, MaxTokens: 4, MaxBytes: MaxAnswer + 500}

// modelToken is a token in the naive model: a map without bounds, from which nothing is ever removed.
type modelToken struct {
	token      call.Token
	state      state
	request    Fingerprint
	answer     Answer
	endedAt    time.Time
	runs       int  // times that Begin returned Run
	dispatched bool // the driver sent the request to a backend server
	toldNotRun bool // some caller was told that the request didn't run
}

func (m *modelToken) retained(now time.Time) bool {
	return now.Before(later(m.endedAt.Add(testConfig.Retention), m.token.Expiry))
}

// live reports whether the table must still hold the token.
func (m *modelToken) live(now time.Time) bool {
	switch {
	case m.state == stateRunning || now.Before(m.token.Expiry):
		return true
	default:
		return m.state == stateFinished && m.retained(now)
	}
}

// machine drives a table and the model through the same random schedule.
type machine struct {
	table  *Table
	self   call.Incarnation
	now    time.Time
	tokens []*modelToken
}

func newMachine() *machine {
	return &machine{table: NewTable(testConfig, 1), self: 1, now: time.Unix(1_000_000, 0)}
}

func (m *machine) draw(t *rapid.T) *modelToken {
	if len(m.tokens) == 0 {
		t.Skip("no token yet")
	}
	recent := m.tokens[max(0, len(m.tokens)-8):]
	return rapid.SampledFrom(recent).Draw(t, "token")
}

// count returns how many tokens of the current incarnation satisfy f.
func (m *machine) count(f func(*modelToken) bool) int {
	n := 0
	for _, k := range m.tokens {
		if k.token.Incarnation == m.self && f(k) {
			n++
		}
	}
	return n
}

func (m *machine) issue(t *rapid.T) {
	var nonce [call.NonceSize]byte
	binary.BigEndian.PutUint32(nonce[:], uint32(len(m.tokens)))
	tok := m.table.NewToken(m.now, "transfer", "10.0.0.1:1", nonce)
	full := m.count(func(k *modelToken) bool { return k.live(m.now) }) >= testConfig.MaxTokens
	err := m.table.Issue(m.now, tok)
	if full != errors.Is(err, ErrTableFull) || (!full && err != nil) {
		t.Fatalf("issue: %v; full with live tokens: %v", err, full)
	}
	if err == nil {
		m.tokens = append(m.tokens, &modelToken{token: tok})
	}
}

// reissue guards against a token that becomes spendable again by being issued twice, even if the clock steps back.
func (m *machine) reissue(t *rapid.T) {
	back := rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "back")
	if err := m.table.Issue(m.now.Add(-back), m.draw(t).token); err == nil {
		t.Fatal("a token was issued twice")
	}
}

func (m *machine) begin(t *rapid.T) {
	m.beginToken(t, m.draw(t))
}

func (m *machine) beginToken(t *rapid.T, k *modelToken) {
	fp := Fingerprint{byte(rapid.IntRange(0, 1).Draw(t, "request"))}
	s, a, err := m.table.Begin(m.now, k.token, fp)
	fresh := k.state == stateIssued && k.token.Incarnation == m.self && m.now.Before(k.token.Expiry)
	if fresh != (s == Run) {
		t.Fatalf("begin: %v, %v; the token can start: %v", s, err, fresh)
	}
	if fresh {
		k.state, k.request = stateRunning, fp
		k.runs++
		return
	}
	bound := k.state == stateRunning || k.state == stateFinished
	if bound && k.request != fp && !m.forgotten(t, k, err) {
		if !errors.Is(err, ErrMismatch) {
			t.Fatalf("begin for another request: %v, %v", s, err)
		}
		return
	}
	m.check(t, k, s, a, err)
}

func (m *machine) resolve(t *rapid.T) {
	k := m.draw(t)
	s, a, err := m.table.Resolve(m.now, k.token)
	if k.state == stateIssued && err == nil {
		k.state = stateRefused
	}
	m.check(t, k, s, a, err)
}

// forgotten reports whether the table no longer knows the token, and fails if it must.
func (m *machine) forgotten(t *rapid.T, k *modelToken, err error) bool {
	if k.token.Incarnation != m.self {
		if !errors.Is(err, ErrWrongIncarnation) {
			t.Fatalf("token of another incarnation: %v", err)
		}
		return true
	}
	if !errors.Is(err, ErrForgotten) {
		return false
	}
	if k.live(m.now) {
		t.Fatalf("live token in state %d was forgotten", k.state)
	}
	return true
}

// check compares a result for a token that can't start any more with the model, and the proof behind "not run".
func (m *machine) check(t *rapid.T, k *modelToken, s Status, a *Answer, err error) {
	told, _ := Classify(s, a, err)
	if told == call.OutcomeNotRun {
		k.toldNotRun = true
	}
	if m.forgotten(t, k, err) {
		if told != call.OutcomeUnknown {
			t.Fatalf("forgotten token reported as %v", told)
		}
		return
	}
	switch k.state {
	case stateIssued, stateRefused, stateExpired:
		if s != Refused {
			t.Fatalf("token that never ran: %v, %v", s, err)
		}
	case stateRunning:
		if s != Running || err != nil {
			t.Fatalf("running token: %v, %v", s, err)
		}
	case stateFinished:
		if s != Replay || err != nil || a.Status != k.answer.Status || a.TooLarge != k.answer.TooLarge ||
			a.Lost != k.answer.Lost || len(a.Body) != len(k.answer.Body) {
			t.Fatalf("finished token: %v, %v, %+v; want %+v", s, err, a, k.answer)
		}
	}
}

func (m *machine) dispatch(t *rapid.T) {
	if k := m.draw(t); k.state == stateRunning {
		k.dispatched = true
	}
}

func (m *machine) finish(t *rapid.T) {
	m.finishToken(t, m.draw(t))
}

// complete runs a token through all steps at once, so that schedules reach finished tokens often.
func (m *machine) complete(t *rapid.T) {
	k := m.draw(t)
	m.beginToken(t, k)
	k.dispatched = k.dispatched || k.state == stateRunning
	m.finishToken(t, k)
}

func (m *machine) finishToken(t *rapid.T, k *modelToken) {
	size := rapid.SampledFrom([]int{800, MaxAnswer, MaxAnswer + 1}).Draw(t, "size")
	a := Answer{Status: 200 + len(m.tokens), Body: make([]byte, size)}
	if rapid.IntRange(0, 3).Draw(t, "crashed") == 0 {
		a = LostAnswer(call.ReasonBackendCrashed)
	}
	if !k.dispatched || k.state != stateRunning || k.token.Incarnation != m.self {
		if k.state != stateRunning { // a late or repeated report must change nothing
			m.table.Finish(m.now, k.token, a)
		}
		return
	}
	kept := 0
	for _, o := range m.tokens {
		if o.token.Incarnation == m.self && o.state == stateFinished && o.retained(m.now) {
			kept += len(o.answer.Body)
		}
	}
	m.table.Finish(m.now, k.token, a)
	if len(a.Body) > MaxAnswer || kept+len(a.Body) > testConfig.MaxBytes {
		a = Answer{Status: a.Status, TooLarge: true}
	}
	k.state, k.answer, k.endedAt = stateFinished, a, m.now
}

// refuse is allowed before dispatch; after the end it must change nothing.
func (m *machine) refuse(t *rapid.T) {
	k := m.draw(t)
	if k.dispatched && k.state == stateRunning {
		return
	}
	m.table.Refuse(m.now, k.token)
	if k.token.Incarnation == m.self && (k.state == stateIssued || k.state == stateRunning) {
		k.state, k.endedAt = stateRefused, m.now
	}
}

func (m *machine) clock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 10, 21, 59}).Draw(t, "seconds")) * time.Second)
	m.table.Tick(m.now)
}

func (m *machine) restart(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "restart") > 0 {
		t.Skip("restarts are rare, so that schedules reach the later states")
	}
	m.self++
	m.table = NewTable(testConfig, m.self)
}

func (m *machine) invariants(t *rapid.T) {
	for _, k := range m.tokens {
		if k.runs > 1 {
			t.Fatal("a token ran twice")
		}
		if k.toldNotRun && k.dispatched {
			t.Fatal("a caller was told \"not run\" about a request that was dispatched")
		}
	}
	if m.table.Len() > testConfig.MaxTokens || m.table.Bytes() > testConfig.MaxBytes {
		t.Fatalf("%d tokens and %d bytes exceed the bounds", m.table.Len(), m.table.Bytes())
	}
}

// Guards against a second run of a token, a false "not run", a forgotten live token, a full table that issues tokens,
// and any other deviation from a map without bounds, under random schedules with clock steps and restarts.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		actions := map[string]func(*rapid.T){
			"issue": m.issue, "reissue": m.reissue, "begin": m.begin, "dispatch": m.dispatch, "finish": m.finish,
			"refuse": m.refuse, "resolve": m.resolve, "clock": m.clock, "complete": m.complete,
			"restart": m.restart, "": m.invariants,
		}
		for range 4 { // rapid takes about 30 steps in one Repeat
			t.Repeat(actions)
		}
	})
}

// Guards against a resend that is answered with anything but "unknown" after the backend server died in its run.
func TestCrashedRunStaysUnknown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewTable(Config{}, 1)
	tok := table.NewToken(now, "transfer", "10.0.0.1:1", [call.NonceSize]byte{1})
	if err := table.Issue(now, tok); err != nil {
		t.Fatal(err)
	}
	if s, _, err := table.Begin(now, tok, Fingerprint{}); s != Run || err != nil {
		t.Fatal(s, err)
	}
	table.Finish(now, tok, LostAnswer(call.ReasonBackendCrashed))
	for range 3 {
		outcome, reason := Classify(table.Begin(now, tok, Fingerprint{}))
		if outcome != call.OutcomeUnknown || reason != call.ReasonBackendCrashed {
			t.Fatalf("resend: %v, %v", outcome, reason)
		}
	}
}

package daemon

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/outcome"
	"guavapoint.example/guavapoint/internal/wire"
)

// noBody is the body of a result whose answer is held in memory.
var noBody = io.NopCloser(strings.NewReader(""))

// tokens is an outcome.Table that is safe for concurrent use and lets resends wait for the running request. The
// lock is held only while the table is asked, never while a request runs.
type tokens struct {
	now func() time.Time

	mu      sync.Mutex
	table   *outcome.Table
	running map[[call.NonceSize]byte]chan struct{} // closed when the request finishes
}

func newTokens(cfg outcome.Config, self call.Incarnation, now func() time.Time) *tokens {
	return &tokens{table: outcome.NewTable(cfg, self), running: make(map[[call.NonceSize]byte]chan struct{}), now: now}
}

// issue creates a token.
func (t *tokens) issue(service, address string) (call.Token, error) {
	var nonce [call.NonceSize]byte
	_, _ = rand.Read(nonce[:]) // never fails, see crypto/rand
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	tok := t.table.NewToken(now, service, address, nonce)
	return tok, t.table.Issue(now, tok)
}

// adopt takes a token that the caller's daemon has minted, unless it is known. Errors are those of outcome.Table.Issue.
func (t *tokens) adopt(tok call.Token) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.table.Issue(t.now(), tok)
	if errors.Is(err, outcome.ErrDuplicate) {
		return nil
	}
	return err
}

// begin spends a token. With outcome.Running it also returns a channel that is closed when the running request
// finishes.
func (t *tokens) begin(tok call.Token, fp outcome.Fingerprint) (outcome.Decision, *outcome.Answer, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	status, answer, err := t.table.Begin(t.now(), tok, fp)
	if err != nil {
		return status, answer, nil, err
	}
	if status == outcome.Run {
		t.running[tok.Nonce] = make(chan struct{})
	}
	return status, answer, t.running[tok.Nonce], nil
}

func (t *tokens) finish(tok call.Token, a outcome.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Finish(t.now(), tok, a)
	t.wake(tok)
}

// refuse ends a token whose request was not dispatched.
func (t *tokens) refuse(tok call.Token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Refuse(t.now(), tok)
	t.wake(tok)
}

// wake lets the resends of a token look again. The caller holds the lock.
func (t *tokens) wake(tok call.Token) {
	if done := t.running[tok.Nonce]; done != nil {
		close(done)
		delete(t.running, tok.Nonce)
	}
}

func (t *tokens) resolve(tok call.Token) (outcome.Decision, *outcome.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Resolve(t.now(), tok)
}

func (t *tokens) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Tick(t.now())
}

// serveBound runs a request under its token, or tells what became of it.
func (u *upstream) serveBound(ctx context.Context, v *serving) *result {
	tok, err := call.ParseToken(v.header.Token)
	if err != nil || tok.Upstream != u.self || tok.Service != u.service {
		return unknown(call.ReasonIncarnationGone)
	}
	if v.header.Minted {
		if err := u.tokens.adopt(tok); err != nil {
			return notRun(mintedReason(err)) // its only sender has just handed it over
		}
	}
	for {
		status, answer, finished, err := u.tokens.begin(tok, outcome.Fingerprint(v.print))
		switch {
		case err == nil && status == outcome.Run:
			return u.runBound(ctx, v, tok)
		case err != nil || status != outcome.Running:
			return settled(status, answer, err)
		case !waitFor(ctx, finished):
			return unknown(call.ReasonStillRunning)
		}
	}
}

// mintedReason says why a minted token was not taken.
func mintedReason(err error) call.Reason {
	switch {
	case errors.Is(err, outcome.ErrTableFull):
		return call.ReasonTableFull
	case errors.Is(err, outcome.ErrExpired):
		return call.ReasonTokenExpired
	default:
		return call.ReasonWrongUpstream
	}
}

// waitFor returns false when the context ends first.
func waitFor(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// settled translates the table's decision about a token whose request isn't running.
func settled(status outcome.Decision, a *outcome.Answer, err error) *result {
	decided, reason := outcome.CallOutcome(status, a, err)
	if decided != call.OutcomeAnswered {
		return &result{outcome: decided, reason: reason}
	}
	res := &result{outcome: call.OutcomeAnswered, status: a.Status, length: int64(len(a.Body)), bodyPrefix: a.Body, body: noBody}
	for _, f := range a.Header {
		res.header = append(res.header, wire.Header{Name: f.Name, Values: f.Values})
	}
	return res
}

// runBound dispatches a request whose token has just been spent. The work goes on when the caller goes away, since a
// non-idempotent request that has been dispatched is never cancelled.
func (u *upstream) runBound(ctx context.Context, v *serving, tok call.Token) *result {
	if !u.accepts() || !u.drain.enter() {
		u.tokens.refuse(tok)
		return notRun(call.ReasonLeaving)
	}
	v.runCtx = context.WithoutCancel(ctx)
	results := make(chan *result, 1)
	go func() {
		res := u.recordBound(v, tok, u.admitAndRun(ctx, v))
		u.drain.leave()
		results <- res
	}()
	select {
	case res := <-results:
		return res
	case <-ctx.Done():
		return unknown(call.ReasonTimeout)
	}
}

// recordBound reads the whole answer and records it under the token.
func (u *upstream) recordBound(v *serving, tok call.Token, res *result) *result {
	if res.outcome == call.OutcomeNotRun {
		res.close(true)
		u.tokens.refuse(tok)
		return res
	}
	if res.outcome != call.OutcomeAnswered {
		res.close(false)
		u.tokens.finish(tok, outcome.LostAnswer(res.reason))
		return res
	}
	body, err := io.ReadAll(io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body))
	res.close(err == nil)
	if err != nil {
		u.tokens.finish(tok, outcome.LostAnswer(call.ReasonTruncated))
		return unknown(call.ReasonTruncated)
	}
	u.tokens.finish(tok, answerOf(res, body))
	return &result{outcome: call.OutcomeAnswered, status: res.status, header: res.header, length: int64(len(body)), bodyPrefix: body,
		body: noBody}
}

// answerOf returns what the table keeps of an answer.
func answerOf(res *result, body []byte) outcome.Answer {
	a := outcome.Answer{Status: res.status, Body: body}
	for _, f := range res.header {
		a.Header = append(a.Header, outcome.Field{Name: f.Name, Values: f.Values})
	}
	return a
}

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

// noBody is the body of a result whose whole answer is in result.bodyPrefix.
var noBody = io.NopCloser(strings.NewReader(""))

// tokenTable is an outcome.Table that is safe for concurrent use and lets resends wait for the running request. The
// lock is held only during a call of the table, never while a request runs.
type tokenTable struct {
	now func() time.Time

	mu      sync.Mutex
	table   *outcome.Table
	running map[[call.NonceSize]byte]chan struct{} // closed when the request finishes
}

func newTokenTable(cfg outcome.Config, self call.Incarnation, now func() time.Time) *tokenTable {
	return &tokenTable{table: outcome.NewTable(cfg, self), running: make(map[[call.NonceSize]byte]chan struct{}), now: now}
}

// issue creates a token and adds it to the table. Errors are those of outcome.Table.Issue.
func (t *tokenTable) issue(service, address string) (call.Token, error) {
	var nonce [call.NonceSize]byte
	_, _ = rand.Read(nonce[:]) // never fails, see crypto/rand
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	tok := t.table.NewToken(now, service, address, nonce)
	return tok, t.table.Issue(now, tok)
}

// addMinted adds a token that the caller's daemon has minted. It has no effect on a token that is already in the table.
// Errors are those of outcome.Table.Issue, except ErrDuplicate.
func (t *tokenTable) addMinted(tok call.Token) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.table.Issue(t.now(), tok)
	if errors.Is(err, outcome.ErrDuplicate) {
		return nil
	}
	return err
}

// begin uses a token for a request and returns the decision of outcome.Table.Begin. The channel is closed when the
// request that runs under the token finishes; with outcome.Running callers can wait for it.
func (t *tokenTable) begin(tok call.Token, fp outcome.Fingerprint) (
	outcome.Decision, *outcome.Answer, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision, answer, err := t.table.Begin(t.now(), tok, fp)
	if err != nil {
		return decision, answer, nil, err
	}
	if decision == outcome.Run {
		t.running[tok.Nonce] = make(chan struct{})
	}
	return decision, answer, t.running[tok.Nonce], nil
}

// finish records the answer of the request that ran under a token, and wakes its resends.
func (t *tokenTable) finish(tok call.Token, a outcome.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Finish(t.now(), tok, a)
	t.wakeResends(tok)
}

// refuse records that the request of a token was not dispatched and will not run, and wakes its resends.
func (t *tokenTable) refuse(tok call.Token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Refuse(t.now(), tok)
	t.wakeResends(tok)
}

// wakeResends wakes the resends that wait for the request of a token; they call begin again. The caller holds t.mu.
func (t *tokenTable) wakeResends(tok call.Token) {
	if done := t.running[tok.Nonce]; done != nil {
		close(done)
		delete(t.running, tok.Nonce)
	}
}

// resolve returns the outcome of a token, and refuses one that was not used. Errors are those of outcome.Table.Resolve.
func (t *tokenTable) resolve(tok call.Token) (outcome.Decision, *outcome.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Resolve(t.now(), tok)
}

// tick removes expired outcomes.
func (t *tokenTable) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Tick(t.now())
}

// serveWithToken runs a request under its token, or returns the outcome of the run that already used the token. A
// resend waits for a run in progress until its own deadline.
func (u *upstream) serveWithToken(ctx context.Context, c *upstreamCall) *result {
	tok, err := call.ParseToken(c.header.Token)
	if err != nil || tok.Upstream != u.self || tok.Service != u.service {
		return unknown(call.ReasonIncarnationGone)
	}
	if c.header.Minted {
		if err := u.tokens.addMinted(tok); err != nil {
			// The request certainly did not run: only the caller's daemon sends a minted token, and it has just sent it.
			return notRun(mintedTokenReason(err))
		}
	}
	for {
		decision, answer, finished, err := u.tokens.begin(tok, outcome.Fingerprint(c.fingerprint))
		switch {
		case err == nil && decision == outcome.Run:
			return u.runWithToken(ctx, c, tok)
		case err != nil || decision != outcome.Running:
			return tableResult(decision, answer, err)
		case !waitClosed(ctx, finished):
			return unknown(call.ReasonStillRunning)
		}
	}
}

// mintedTokenReason returns the reason for refusing a minted token that addMinted failed to add.
func mintedTokenReason(err error) call.Reason {
	switch {
	case errors.Is(err, outcome.ErrTableFull):
		return call.ReasonTableFull
	case errors.Is(err, outcome.ErrExpired):
		return call.ReasonTokenExpired
	default:
		return call.ReasonWrongUpstream
	}
}

// waitClosed waits until c is closed. It returns false if the context ends first.
func waitClosed(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}

// tableResult translates the table's decision on a token whose request isn't running into a result.
func tableResult(decision outcome.Decision, a *outcome.Answer, err error) *result {
	decided, reason := outcome.CallOutcome(decision, a, err)
	if decided != call.OutcomeAnswered {
		return &result{outcome: decided, reason: reason}
	}
	res := &result{outcome: call.OutcomeAnswered, status: a.Status, length: int64(len(a.Body)), bodyPrefix: a.Body,
		body: noBody}
	for _, f := range a.Header {
		res.header = append(res.header, wire.Header{Name: f.Name, Values: f.Values})
	}
	return res
}

// runWithToken runs a request whose token has just been used. The run continues after the caller disconnects or its
// deadline passes, since a non-idempotent request is never canceled once it has been dispatched; the result is then
// unknown.
func (u *upstream) runWithToken(ctx context.Context, c *upstreamCall, tok call.Token) *result {
	if !u.acceptsWork() || !u.drain.startRequest() {
		u.tokens.refuse(tok)
		return notRun(call.ReasonLeaving)
	}
	c.backendCtx = context.WithoutCancel(ctx)
	results := make(chan *result, 1)
	go func() {
		res := u.recordAnswer(c, tok, u.admitAndRun(ctx, c))
		results <- addOnClose(res, u.drain.endRequest)
	}()
	select {
	case res := <-results:
		return res
	case <-ctx.Done():
		go func() { (<-results).close(false) }() // nobody reads the answer any more
		return unknown(call.ReasonTimeout)
	}
}

// recordAnswer reads the answer as far as the token table and the budget allow to keep it, records the outcome
// under the token and returns a result that holds the answer in memory. The rest of a larger answer is read while it is sent,
// see recordWhenSent. If the request did not run, its token is refused as well.
func (u *upstream) recordAnswer(c *upstreamCall, tok call.Token, res *result) *result {
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
	held := u.held.Holding(context.Background())
	body, err := readHeld(io.MultiReader(bytes.NewReader(res.bodyPrefix), res.body), outcome.MaxAnswerSize+1, held)
	if err == nil || err == errNoMemory {
		res.bodyPrefix = body
		return addOnClose(u.recordWhenSent(tok, res), held.Release)
	}
	res.close(err == io.EOF)
	if err != io.EOF {
		held.Release()
		u.tokens.finish(tok, outcome.LostAnswer(call.ReasonTruncated))
		return unknown(call.ReasonTruncated)
	}
	u.tokens.finish(tok, storedAnswer(res, body))
	kept := &result{outcome: call.OutcomeAnswered, status: res.status, header: res.header, length: int64(len(body)),
		bodyPrefix: body, body: noBody}
	return addOnClose(kept, held.Release)
}

// recordWhenSent records the outcome of an answer that is too large to keep when its result is closed: that it was too
// large, or that the backend server broke it off. Resends wait until then.
func (u *upstream) recordWhenSent(tok call.Token, res *result) *result {
	rest := &errorRecorder{r: res.body}
	res.body = errorRecordingBody{rest, res.body}
	earlier := res.onClose
	res.onClose = func(bool) {
		// The request has not failed at the backend server because its caller left before the end of the answer.
		whole := rest.err == nil
		if earlier != nil {
			earlier(whole)
		}
		if whole {
			u.tokens.finish(tok, outcome.Answer{Status: res.status, TooLarge: true})
		} else {
			u.tokens.finish(tok, outcome.LostAnswer(call.ReasonTruncated))
		}
	}
	return res
}

// errorRecordingBody is a body that is read through an errorRecorder.
type errorRecordingBody struct {
	*errorRecorder
	io.Closer
}

// storedAnswer returns an answer in the form that the token table stores.
func storedAnswer(res *result, body []byte) outcome.Answer {
	a := outcome.Answer{Status: res.status, Body: body}
	for _, f := range res.header {
		a.Header = append(a.Header, outcome.Field{Name: f.Name, Values: f.Values})
	}
	return a
}

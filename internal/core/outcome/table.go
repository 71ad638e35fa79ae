package outcome

import (
	"container/heap"
	"container/list"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Defaults and limits of a table.
const (
	// DefaultTTL is how long a token can be spent. It covers a caller's first resends, and bounds how long an unspent
	// token takes a place.
	DefaultTTL = 2 * time.Minute
	// DefaultRetention is how long an outcome is kept after the request ended. It equals the longest timeout that a
	// caller can ask for.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxTokens bounds the number of tokens. At the target size an upstream runs about 160 calls/s; it can
	// keep all outcomes for 10 minutes if each of them is non-idempotent.
	DefaultMaxTokens = 100_000
	// DefaultMaxBytes bounds the contents of all kept answers. It is a quarter of a daemon's 256 MB.
	DefaultMaxBytes = 64 << 20
	// MaxAnswerSize is the largest kept answer, header values and body together, in bytes.
	MaxAnswerSize = 64 << 10
)

// Fingerprint identifies the request that a token is spent for.
type Fingerprint [32]byte

// Config bounds a table. Zero fields take the defaults.
type Config struct {
	// TTL is the time from issue to expiry of a token.
	TTL time.Duration
	// Retention is how long an outcome is kept after the request ended.
	Retention time.Duration
	// MaxTokens bounds the number of tokens in the table.
	MaxTokens int
	// MaxBytes bounds the contents of all kept answers. An answer beyond it is recorded as TooLarge.
	MaxBytes int
}

func (c Config) withDefaults() Config {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = DefaultMaxTokens
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	return c
}

// Table is the token table of one incarnation. It is not safe for concurrent use.
type Table struct {
	cfg         Config
	incarnation call.Incarnation
	now         time.Time // highest time seen; a clock that steps back extends lifetimes and revives nothing
	entries     map[[call.NonceSize]byte]*entry
	due         dueHeap    // entries with a time at which they change
	evictable   *list.List // refused and expired entries, oldest first
	bytes       int
}

// NewTable returns an empty table for the daemon's current incarnation.
func NewTable(cfg Config, incarnation call.Incarnation) *Table {
	return &Table{
		cfg:         cfg.withDefaults(),
		incarnation: incarnation,
		entries:     make(map[[call.NonceSize]byte]*entry),
		evictable:   list.New(),
	}
}

// NewToken returns a token for Issue that expires after Config.TTL. The nonce must come from a cryptographic random
// source, since whoever holds the token can read the stored answer.
func (t *Table) NewToken(now time.Time, service, upstream string, nonce [call.NonceSize]byte) call.Token {
	return call.Token{
		Service:     service,
		Upstream:    upstream,
		Incarnation: t.incarnation,
		Nonce:       nonce,
		Expiry:      now.Add(t.cfg.TTL),
	}
}

// Issue adds a token. It returns ErrTableFull if every place is taken by a live token, ErrWrongIncarnation,
// ErrExpired or ErrDuplicate; the token must then not be handed out.
func (t *Table) Issue(now time.Time, tok call.Token) error {
	t.advanceClock(now)
	if tok.Incarnation != t.incarnation {
		return ErrWrongIncarnation
	}
	if !t.now.Before(tok.Expiry) {
		return ErrExpired
	}
	if _, ok := t.entries[tok.Nonce]; ok {
		return ErrDuplicate
	}
	if !t.makeRoom() {
		return ErrTableFull
	}
	e := &entry{token: tok, state: stateIssued, index: notQueued}
	t.entries[tok.Nonce] = e
	t.schedule(e, tok.Expiry)
	return nil
}

// Begin spends a token for the request with the given fingerprint. At most one call for a token ever returns Run.
//
// Errors: ErrExpired (with Refused: it never ran), ErrForgotten and ErrWrongIncarnation (with Undecided: it may have
// run), ErrMismatch if the token is bound to another request.
func (t *Table) Begin(now time.Time, tok call.Token, fp Fingerprint) (Decision, *Answer, error) {
	e, err := t.lookup(now, tok)
	if err != nil {
		return Undecided, nil, err
	}
	switch e.state {
	case stateIssued:
		t.unschedule(e)
		e.state = stateRunning
		e.fingerprint = fp
		return Run, nil, nil
	case stateExpired:
		return Refused, nil, ErrExpired
	case stateRefused:
		return Refused, nil, nil
	}
	if e.fingerprint != fp {
		return Undecided, nil, ErrRequestMismatch
	}
	return e.decision()
}

// Finish records how a running request ended and keeps the answer for Config.Retention. The table takes over the
// answer's slices. An answer above MaxAnswer, or above what Config.MaxBytes leaves, is recorded as TooLarge.
// A token that isn't running is left as it is.
func (t *Table) Finish(now time.Time, tok call.Token, a Answer) {
	e, err := t.lookup(now, tok)
	if err != nil || e.state != stateRunning {
		return
	}
	if a.TooLarge || a.LostReason != call.ReasonNone {
		a.Header, a.Body = nil, nil
	}
	if n := a.size(); n > MaxAnswerSize || t.bytes+n > t.cfg.MaxBytes {
		a = a.withoutContents()
	}
	e.state = stateFinished
	e.answer = a
	t.bytes += a.size()
	t.schedule(e, latest(t.now.Add(t.cfg.Retention), e.token.Expiry))
}

// Refuse records that the request will not run. It is allowed only if the request was not dispatched: for an issued
// token, or after Begin returned Run and before dispatch. A token that finished is left as it is.
func (t *Table) Refuse(now time.Time, tok call.Token) {
	e, err := t.lookup(now, tok)
	if err != nil {
		return
	}
	if e.state == stateIssued || e.state == stateRunning {
		t.refuse(e)
	}
}

// Resolve returns the outcome of a token. It marks an issued token refused, so that "not run" stays true.
//
// Errors: ErrForgotten and ErrWrongIncarnation (with Undecided: it may have run).
func (t *Table) Resolve(now time.Time, tok call.Token) (Decision, *Answer, error) {
	e, err := t.lookup(now, tok)
	if err != nil {
		return Undecided, nil, err
	}
	if e.state == stateIssued {
		t.refuse(e)
	}
	return e.decision()
}

// Tick forgets outcomes whose retention has passed. The other methods do the same; Tick frees memory in quiet times.
func (t *Table) Tick(now time.Time) {
	t.advanceClock(now)
}

// Len returns the number of tokens in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Bytes returns the size of all kept answers.
func (t *Table) Bytes() int {
	return t.bytes
}

// find returns the entry of a token after bringing the table up to now.
func (t *Table) lookup(now time.Time, tok call.Token) (*entry, error) {
	t.advanceClock(now)
	if tok.Incarnation != t.incarnation {
		return nil, ErrWrongIncarnation
	}
	e, ok := t.entries[tok.Nonce]
	if !ok {
		return nil, ErrTokenNotFound
	}
	if !e.token.Equal(tok) {
		return nil, ErrTokenNotFound // not issued in this form
	}
	return e, nil
}

func (t *Table) refuse(e *entry) {
	e.state = stateRefused
	t.schedule(e, latest(t.now, e.token.Expiry))
}

// advance moves the table's clock and handles every entry that has become due.
func (t *Table) advanceClock(now time.Time) {
	t.now = latest(t.now, now)
	for len(t.due) > 0 && !t.now.Before(t.due[0].dueAt) {
		t.handleDue(t.due[0])
	}
	t.dropEvictable()
}

// expire handles one due entry: an unspent or refused token can't be spent any more, a kept outcome is forgotten.
func (t *Table) handleDue(e *entry) {
	t.unschedule(e)
	switch e.state {
	case stateIssued:
		e.state = stateExpired
		t.evictable.PushBack(e)
	case stateRefused:
		t.evictable.PushBack(e)
	case stateFinished:
		t.remove(e)
	}
}

// dropEvictable forgets dead entries whose retention has passed. They are in the order in which they became due.
func (t *Table) dropEvictable() {
	for front := t.evictable.Front(); front != nil; front = t.evictable.Front() {
		e := front.Value.(*entry)
		if t.now.Before(e.dueAt.Add(t.cfg.Retention)) {
			return
		}
		t.evictable.Remove(front)
		t.remove(e)
	}
}

// makeRoom reports whether a new entry fits, after forgetting the oldest dead entry if the table is full.
func (t *Table) makeRoom() bool {
	if len(t.entries) < t.cfg.MaxTokens {
		return true
	}
	front := t.evictable.Front()
	if front == nil {
		return false
	}
	t.evictable.Remove(front)
	t.remove(front.Value.(*entry))
	return true
}

func (t *Table) remove(e *entry) {
	t.bytes -= e.answer.size()
	delete(t.entries, e.token.Nonce)
}

func (t *Table) schedule(e *entry, at time.Time) {
	t.unschedule(e)
	e.dueAt = at
	heap.Push(&t.due, e)
}

func (t *Table) unschedule(e *entry) {
	if e.index != notQueued {
		heap.Remove(&t.due, e.index)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

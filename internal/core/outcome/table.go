package outcome

import (
	"container/heap"
	"container/list"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Defaults and limits of a table.
const (
	// DefaultTTL is how long a token can be used after it was issued. It covers a caller's first resends, and bounds how
	// long an unused token occupies a place in the table.
	DefaultTTL = 2 * time.Minute
	// DefaultRetention is how long an outcome is kept after the request ended. It equals the longest timeout that a
	// caller can request.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxTokens is the maximum number of tokens. At the target size an upstream runs about 160 calls/s. Even if
	// all of them are non-idempotent, it can keep their outcomes for 10 minutes.
	DefaultMaxTokens = 100_000
	// DefaultMaxBytes is the maximum size of the contents of all kept answers, in bytes. It is a quarter of a daemon's
	// 256 MB.
	DefaultMaxBytes = 64 << 20
	// MaxAnswerSize is the maximum size of a kept answer, header names, header values and body together, in bytes.
	MaxAnswerSize = 64 << 10
)

// Fingerprint identifies the request that a token is used for.
type Fingerprint [32]byte

// Config bounds a table. Zero fields take the defaults.
type Config struct {
	// TTL is the time from issue to expiry of a token.
	TTL time.Duration
	// Retention is how long an outcome is kept after the request ended.
	Retention time.Duration
	// MaxTokens is the maximum number of tokens in the table.
	MaxTokens int
	// MaxBytes is the maximum size of the contents of all kept answers, in bytes. An answer that would exceed it is
	// recorded as TooLarge.
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
	now         time.Time // latest time seen: a clock that steps back extends lifetimes but makes no token usable again
	entries     map[[call.NonceSize]byte]*entry
	due         dueHeap    // issued, refused and finished entries until dueAt
	evictable   *list.List // refused and expired entries past dueAt, oldest first; removed early if the table is full
	bytes       int        // size of the contents of all kept answers
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

// NewToken returns a token for Issue that expires Config.TTL after now. It doesn't add the token to the table. The
// nonce must come from a cryptographic random source, since whoever holds the token can read the stored answer.
func (t *Table) NewToken(now time.Time, service, upstream string, nonce [call.NonceSize]byte) call.Token {
	return call.Token{
		Service:     service,
		Upstream:    upstream,
		Incarnation: t.incarnation,
		Nonce:       nonce,
		Expiry:      now.Add(t.cfg.TTL),
	}
}

// Issue adds a token to the table. If it returns an error, the token must not be handed out. Errors:
// ErrWrongIncarnation, ErrExpired, ErrDuplicate, and ErrTableFull if every place is taken by a live token.
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

// Begin uses a token for the request with the given fingerprint. At most one call for a token ever returns Run.
//
// Errors: ErrExpired (with Refused: the token never ran), ErrTokenNotFound and ErrWrongIncarnation (with Undecided: the
// token may have run), ErrRequestMismatch (with Undecided) if the token was used for another request.
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

// Finish records the answer of a running request and keeps it for Config.Retention, or until the token expires if that
// is later. The table takes ownership of the answer's slices. An answer that is larger than MaxAnswerSize, or would
// exceed Config.MaxBytes, is recorded as TooLarge. Finish doesn't change a token that isn't running.
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
// token, or after Begin returned Run and before dispatch. Refuse doesn't change a token that has finished.
func (t *Table) Refuse(now time.Time, tok call.Token) {
	e, err := t.lookup(now, tok)
	if err != nil {
		return
	}
	if e.state == stateIssued || e.state == stateRunning {
		t.refuse(e)
	}
}

// Resolve returns the outcome of a token. It marks an issued token refused, so that its request can't run after
// "not run" was reported.
//
// Errors: ErrTokenNotFound and ErrWrongIncarnation (with Undecided: the token may have run).
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

// Tick removes outcomes whose retention has passed. All methods that take the time, except NewToken, do the same; Tick
// frees memory while none of them is called.
func (t *Table) Tick(now time.Time) {
	t.advanceClock(now)
}

// Len returns the number of tokens in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// Bytes returns the size of the contents of all kept answers, in bytes.
func (t *Table) Bytes() int {
	return t.bytes
}

// lookup advances the table's clock to now and returns the entry of a token. Errors: ErrWrongIncarnation and
// ErrTokenNotFound.
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
		return nil, ErrTokenNotFound // same nonce, but another field differs from the issued token
	}
	return e, nil
}

// refuse marks a token refused. The entry can be removed from the later of now and the token's expiry on.
func (t *Table) refuse(e *entry) {
	e.state = stateRefused
	t.schedule(e, latest(t.now, e.token.Expiry))
}

// advanceClock sets the table's clock to now unless that is earlier, handles every entry that has become due, and
// removes evictable entries whose retention has passed.
func (t *Table) advanceClock(now time.Time) {
	t.now = latest(t.now, now)
	for len(t.due) > 0 && !t.now.Before(t.due[0].dueAt) {
		t.handleDue(t.due[0])
	}
	t.dropEvictable()
}

// handleDue handles one due entry: an issued token expires and becomes evictable, a refused token becomes evictable,
// and a finished token is removed with its answer.
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

// dropEvictable removes evictable entries whose retention has passed. It stops at the first entry that stays, since the
// list is in the order in which the entries became due.
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

// makeRoom reports whether a new entry fits. If the table is full, it removes the oldest evictable entry.
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

// schedule sets the time at which an entry becomes due.
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

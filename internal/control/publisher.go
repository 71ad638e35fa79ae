package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/store"
)

const (
	// defaultMaxAttempts bounds the compare-and-swap calls for one change, each of which has the store's timeout.
	defaultMaxAttempts = 5
	// historyTimeout bounds the time to read past revisions of the key after a lost response.
	historyTimeout = 2 * time.Second
)

// Fleet reads the configuration in effect on daemons.
type Fleet interface {
	// InEffect returns the highest version that the queried daemons have in effect, and its document. If they have no
	// configuration, the version is zero and the document nil. It returns an error if no daemon responds. The more
	// daemons are queried, the more likely is a restore of the platform from an older copy detected.
	InEffect(ctx context.Context) (config.Version, *config.Document, error)
}

// ResultKind is the outcome of a change.
type ResultKind uint8

const (
	// Unknown means that the change may have taken effect or may still take effect. The operator has to read the
	// configuration again.
	Unknown ResultKind = iota
	// Accepted means that the compare-and-swap took effect.
	Accepted
	// LostRace means that another change was written first. This one did not take effect and never will.
	LostRace
)

// String returns the text shown to operators.
func (k ResultKind) String() string {
	return [...]string{"unknown", "accepted", "lost the race"}[k]
}

// Result describes the outcome of a change.
type Result struct {
	Kind     ResultKind
	ChangeID string
	// Version is the version of the change, for Accepted.
	Version config.Version
	// Confirmed reports, for Accepted, that no queried daemon has a higher version from before a restore of the
	// platform. It is false if the comparison failed, for example because no daemon could be queried.
	Confirmed bool
	// Winner, WinnerBy and Difference are the version, the author and the content of the change that was written
	// instead, for LostRace. Difference leads from the refused document to the winner's.
	Winner     config.Version
	WinnerBy   string
	Difference []config.Change
	// Err is the reason why the outcome couldn't be determined, for Unknown.
	Err error
}

// Errors in Result.Err.
var (
	// ErrRestored reports that the platform was restored from an older copy while the change was written.
	ErrRestored = errors.New("the platform was restored from an older copy")
	// ErrHistoryUnavailable reports that the revisions needed to determine the outcome could not be read, for example
	// because the store no longer keeps them.
	ErrHistoryUnavailable = errors.New("the revision after the base configuration could not be read")
)

// Base is the configuration that an operator edits.
type Base struct {
	// Version and Document are those of the highest version known from the store and the daemons. Document is nil if
	// there is no valid configuration.
	Version  config.Version
	Document *config.Document
	// Restored reports that daemons have a higher version than the store, so the platform was restored from an older
	// copy.
	Restored        bool
	revision        int64            // of the key in the store, 0 if it doesn't exist
	stored          *config.Document // nil if it doesn't exist or is invalid
	daemonsAnswered bool             // Fleet.InEffect succeeded
}

// Publisher writes configurations by compare-and-swap. It is safe for concurrent use.
type Publisher struct {
	Store store.Store
	// Fleet may be nil; a restore of the platform from an older copy is then not detected.
	Fleet Fleet
	// NewID returns a random change id.
	NewID func() string
	// MaxAttempts bounds the compare-and-swap calls for one change; zero stands for 5.
	MaxAttempts int
	// Pause waits before attempt i > 0 and returns an error if the context ends; nil stands for no wait.
	Pause func(ctx context.Context, i int) error
}

// Current returns the configuration to edit: the one in the store, or the one on the daemons if their version is higher
// because the platform was restored from an older copy. It returns an error only if the store can't be read.
func (p *Publisher) Current(ctx context.Context) (Base, error) {
	kv, doc, err := p.read(ctx)
	if err != nil {
		return Base{}, err
	}
	base := Base{Version: versionOf(kv, doc), Document: doc, revision: kv.Revision, stored: doc}
	if p.Fleet == nil {
		return base, nil
	}
	v, d, err := p.Fleet.InEffect(ctx)
	base.daemonsAnswered = err == nil
	if base.daemonsAnswered && d != nil && base.Version.Less(v) {
		base.Version, base.Document, base.Restored = v, d, true
	}
	return base, nil
}

// read returns the stored key and its document. If the key doesn't exist, both are zero; if the document is invalid,
// it is nil.
func (p *Publisher) read(ctx context.Context) (store.KV, *config.Document, error) {
	kv, err := p.Store.Get(ctx, ConfigKey)
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{}, nil, nil
	}
	if err != nil {
		return store.KV{}, nil, fmt.Errorf("read the configuration: %w", err)
	}
	doc, err := config.Parse(kv.Value)
	if err != nil {
		return kv, nil, nil // no error, because an operator must be able to replace an invalid document
	}
	return kv, doc, nil
}

// versionOf returns the version of a stored document. For an invalid document, which is nil, the epoch is 0, below that
// of every valid one.
func versionOf(kv store.KV, doc *config.Document) config.Version {
	v := config.Version{Revision: uint64(kv.Revision)}
	if doc != nil {
		v.Epoch = doc.Epoch
	}
	return v
}

// Publish replaces base with next in the store. It sets the change id and the epoch in a copy and leaves next
// unchanged. After a restore of the platform the epoch is one above that of base. An error means that nothing was
// written, because the document is invalid or the store could not be read.
func (p *Publisher) Publish(ctx context.Context, base Base, next *config.Document) (Result, error) {
	c := &change{p: p, base: base, doc: next.Clone(), revision: base.revision}
	c.doc.ChangeID = p.NewID()
	c.doc.Epoch = max(base.Version.Epoch, 1)
	if base.Restored {
		c.doc.Epoch++
	}
	if err := c.encode(); err != nil {
		return Result{}, err
	}
	fresh, err := p.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	if !base.matches(fresh) {
		return c.lostRace(fresh.Version, fresh.Document), nil
	}
	c.era = p.Store.Era()
	return c.run(ctx), nil
}

// matches reports whether the configuration read just before the write is the one that the operator edited. The version
// on the daemons must match as well: if the platform was restored since the base was read, the key may have the base's
// revision while daemons have a higher version, and a write in the old epoch could use a revision for the second time.
func (b Base) matches(fresh Base) bool {
	if b.revision != fresh.revision || (b.stored == nil) != (fresh.stored == nil) {
		return false
	}
	if b.stored != nil && b.stored.ChangeID != fresh.stored.ChangeID {
		return false
	}
	return !fresh.daemonsAnswered || b.Version == fresh.Version
}

// change is the state of one call of Publish.
type change struct {
	p              *Publisher
	base           Base
	doc            *config.Document
	data           []byte         // doc, encoded
	revision       int64          // expected by the compare-and-swap
	era            uint64         // of the store when that revision was read
	writtenVersion config.Version // of this change in the store or on daemons; zero until it is known to be written
	outcomeUnknown bool           // an attempt had an unknown outcome
	lastErr        error          // of the last attempt that failed
}

// encode sets the encoded document after validating it.
func (c *change) encode() error {
	data, err := c.doc.Encode()
	if err != nil {
		return err
	}
	if _, err := config.Parse(data); err != nil {
		return err
	}
	c.data = data
	return nil
}

// run makes attempts until the outcome is known, at most MaxAttempts.
func (c *change) run(ctx context.Context) Result {
	attempts := c.p.MaxAttempts
	if attempts <= 0 {
		attempts = defaultMaxAttempts
	}
	for i := range attempts {
		if i > 0 && c.p.Pause != nil {
			if err := c.p.Pause(ctx, i); err != nil {
				c.lastErr = err
				break
			}
		}
		if r, done := c.attempt(ctx); done {
			return r
		}
	}
	if !c.writtenVersion.IsZero() {
		return c.accepted(false)
	}
	return c.unknown(c.lastErr)
}

// attempt writes once and reports whether the outcome is known. Every attempt carries the same change id and expects
// the same revision, so at most one of them takes effect. Only confirm changes the expected revision, for a rewrite.
func (c *change) attempt(ctx context.Context) (Result, bool) {
	rev, err := c.p.Store.CompareAndSwap(ctx, ConfigKey, c.revision, c.data, 0)
	switch {
	case err == nil && c.p.Store.Era() != c.era:
		// The expected revision may have been given out again, for another operator's change that is replaced now.
		return c.unknown(ErrRestored), true
	case err == nil:
		c.writtenVersion = config.Version{Epoch: c.doc.Epoch, Revision: uint64(rev)}
		return c.confirm(ctx)
	case errors.Is(err, store.ErrConflict):
		return c.readBack(ctx)
	case errors.Is(err, store.ErrUnavailable):
		c.lastErr = err
		return Result{}, false
	default:
		c.outcomeUnknown = true
		c.lastErr = err
		return c.readBack(ctx)
	}
}

// readBack reads the key after a conflict or a lost response, to determine whether this change was written. It reports
// whether the outcome is known.
func (c *change) readBack(ctx context.Context) (Result, bool) {
	kv, doc, err := c.p.read(ctx)
	switch {
	case err != nil:
		c.lastErr = err
		return Result{}, false
	case doc != nil && doc.ChangeID == c.doc.ChangeID && doc.Epoch == c.doc.Epoch:
		c.writtenVersion = versionOf(kv, doc)
		return c.confirm(ctx)
	case kv.Revision == c.revision:
		return Result{}, false // not written yet; another attempt can't write it twice
	case !c.writtenVersion.IsZero():
		return c.accepted(false), true // written by an earlier attempt, and replaced since
	case kv.Revision < c.revision:
		return c.resolveRestored(ctx), true
	case !c.outcomeUnknown:
		return c.lostRace(versionOf(kv, doc), doc), true
	}
	return c.resolveFromHistory(ctx, kv, doc), true
}

// errStopWatch ends a watch that has delivered the revisions that were needed.
var errStopWatch = errors.New("found")

// resolveFromHistory determines the outcome if the response was lost and the key now holds another change. That change
// may have replaced this one, so the first revision after the base is decisive.
func (c *change) resolveFromHistory(ctx context.Context, kv store.KV, doc *config.Document) Result {
	revisions, err := c.firstRevisions(ctx)
	if err != nil {
		return c.unknown(fmt.Errorf("%w: %v", ErrHistoryUnavailable, err))
	}
	if c.revision > 0 && revisions[0].Revision != c.revision {
		// A restore has removed the base's revision, so the history doesn't show whether the write took effect.
		return c.unknown(ErrRestored)
	}
	first := revisions[len(revisions)-1]
	if d, err := config.Parse(first.Value); err == nil && d.ChangeID == c.doc.ChangeID {
		c.writtenVersion = versionOf(first, d)
		return c.accepted(false)
	}
	switch kept, err := c.inEffectOnDaemons(ctx); {
	case err != nil:
		// The write may have taken effect before a restore, in which case the store's history doesn't show it.
		return c.unknown(err)
	case kept:
		return c.accepted(false) // written before a restore, and still in effect on daemons
	case doc != nil && doc.Epoch > c.doc.Epoch:
		// The platform was restored after the base was read: the write may have taken effect before that and have been
		// replaced since.
		return c.unknown(ErrRestored)
	}
	return c.lostRace(versionOf(kv, doc), doc)
}

// firstRevisions returns the base's revision of the key, if the key existed, and the revision after it. It returns an
// error if the store doesn't deliver them within historyTimeout.
func (c *change) firstRevisions(ctx context.Context) ([]store.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	want := 1
	if c.revision > 0 {
		want = 2
	}
	var found []store.KV
	err := c.p.Store.Watch(ctx, ConfigKey, max(c.revision, 1), func(kvs []store.KV) error {
		for _, kv := range kvs {
			if kv.Key == ConfigKey && len(found) < want {
				found = append(found, kv)
			}
		}
		if len(found) == want {
			return errStopWatch
		}
		return nil
	})
	if errors.Is(err, errStopWatch) {
		return found, nil
	}
	return nil, err
}

// inEffectOnDaemons reports whether daemons have this change in effect, and then sets writtenVersion. It returns an
// error if the daemons could not be queried.
func (c *change) inEffectOnDaemons(ctx context.Context) (bool, error) {
	if c.p.Fleet == nil {
		return false, nil
	}
	v, d, err := c.p.Fleet.InEffect(ctx)
	if err != nil {
		return false, fmt.Errorf("ask the daemons for the configuration in effect: %w", err)
	}
	if d == nil || d.ChangeID != c.doc.ChangeID {
		return false, nil
	}
	c.writtenVersion = v
	return true, nil
}

// confirm compares a written change with the configuration on the daemons and reports whether the outcome is known. If
// daemons have another change at the same or a higher version, while the written one is the newest in the store, the
// platform was restored from an older copy and the daemons would ignore the change. It is then written again, with an
// epoch above that of the daemons.
func (c *change) confirm(ctx context.Context) (Result, bool) {
	if c.p.Fleet == nil {
		return c.accepted(false), true
	}
	v, d, err := c.p.Fleet.InEffect(ctx)
	if err != nil {
		return c.accepted(false), true
	}
	if d == nil || d.ChangeID == c.doc.ChangeID || v.Less(c.writtenVersion) {
		return c.accepted(true), true
	}
	kv, _, err := c.p.read(ctx)
	if err != nil || kv.Revision != int64(c.writtenVersion.Revision) {
		return c.accepted(false), true // replaced by a later change
	}
	c.doc.Epoch = v.Epoch + 1
	c.revision = kv.Revision
	if err := c.encode(); err != nil {
		return c.accepted(false), true
	}
	return Result{}, false
}

func (c *change) accepted(confirmed bool) Result {
	return Result{Kind: Accepted, ChangeID: c.doc.ChangeID, Version: c.writtenVersion, Confirmed: confirmed}
}

func (c *change) unknown(err error) Result {
	return Result{Kind: Unknown, ChangeID: c.doc.ChangeID, Err: err}
}

// resolveRestored determines the outcome if the revision of the key is below that of the base, so that the platform was
// restored from an older copy. The change is accepted if daemons have it in effect; otherwise the outcome is unknown.
func (c *change) resolveRestored(ctx context.Context) Result {
	if !c.outcomeUnknown {
		return c.unknown(ErrRestored)
	}
	if kept, err := c.inEffectOnDaemons(ctx); err == nil && kept {
		return c.accepted(false)
	}
	return c.unknown(ErrRestored)
}

// lostRace returns the result for a change that was not written because the winner was. The winner is nil if its
// document is invalid or the key was deleted.
func (c *change) lostRace(v config.Version, winner *config.Document) Result {
	r := Result{Kind: LostRace, ChangeID: c.doc.ChangeID, Winner: v}
	if winner != nil {
		r.WinnerBy = winner.ChangedBy
	}
	r.Difference = config.Diff(c.doc, winner)
	return r
}

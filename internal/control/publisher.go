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
	// defaultMaxAttempts bounds the calls for one change, each of which has the store's timeout.
	defaultMaxAttempts = 5
	// historyTimeout bounds the reading of past revisions after a lost response.
	historyTimeout = 2 * time.Second
)

// Fleet tells the configuration in effect among daemons.
type Fleet interface {
	// InEffect returns the highest version that the daemons asked have, and its document. The version is zero if
	// they have none. Asking several daemons makes it likelier to learn of a restored platform.
	InEffect(ctx context.Context) (config.Version, *config.Document, error)
}

// ResultKind is what became of a change.
type ResultKind uint8

const (
	// Unknown means that the change may be in effect, now or later. The operator reads the configuration again.
	Unknown ResultKind = iota
	// Accepted means that the compare-and-swap took effect.
	Accepted
	// LostRace means that another change won and this one did not and will not take effect.
	LostRace
)

// String returns the words shown to operators.
func (k ResultKind) String() string {
	return [...]string{"unknown", "accepted", "lost the race"}[k]
}

// Result is the outcome of a change.
type Result struct {
	Kind     ResultKind
	ChangeID string
	// Version is the version of the change, for Accepted.
	Version config.Version
	// Confirmed reports that no daemon asked has a higher version of an older line, for Accepted. It is false when
	// no daemon could be asked.
	Confirmed bool
	// Winner, WinnerBy and Difference describe the change that won, for LostRace. Difference leads from the refused
	// document to the winner's.
	Winner     config.Version
	WinnerBy   string
	Difference []config.Change
	// Err is the reason for Unknown.
	Err error
}

// Errors in Result.Err and of Publish.
var (
	// ErrRestored reports that the platform was restored from an older copy while the change was written.
	ErrRestored = errors.New("the platform was restored from an older copy")
	// ErrHistoryUnavailable reports that the revisions that would decide are no longer kept.
	ErrHistoryUnavailable = errors.New("the revision after the base could not be read")
)

// Base is the configuration that an operator edits.
type Base struct {
	// Version and Document are the highest known; the document is nil if there is none.
	Version  config.Version
	Document *config.Document
	// Restored reports that daemons have a higher version than the platform, which was restored from an older copy.
	Restored        bool
	revision        int64            // of the key in the store, 0 if it doesn't exist
	stored          *config.Document // nil if it doesn't exist or is invalid
	daemonsAnswered bool
}

// Publisher writes configurations by compare-and-swap. It is safe for concurrent use.
type Publisher struct {
	Store store.Store
	// Fleet may be nil; a restored platform is then not noticed.
	Fleet Fleet
	// NewID returns a random change id.
	NewID func() string
	// MaxAttempts bounds the calls for one change; zero stands for 5.
	MaxAttempts int
	// Pause waits before attempt i > 0; nil stands for no wait.
	Pause func(ctx context.Context, i int) error
}

// Current returns the configuration to edit. After a restore it is the daemons', not the platform's.
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

// read returns the stored key and document; both are zero if the key doesn't exist, the document if it is invalid.
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
		return kv, nil, nil // an operator must be able to replace an invalid document
	}
	return kv, doc, nil
}

// versionOf returns epoch 0 for an invalid document, which is below every valid one.
func versionOf(kv store.KV, doc *config.Document) config.Version {
	v := config.Version{Revision: uint64(kv.Revision)}
	if doc != nil {
		v.Epoch = doc.Epoch
	}
	return v
}

// Publish writes next in place of base. It sets the change id and the epoch of the document that it writes, and
// leaves next unchanged. An error means that nothing was written: the document is invalid or the platform could not
// be read.
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
	return c.run(ctx), nil
}

// matches reports whether what is read before the write is what the operator edited. The daemons' version belongs to
// it: after a restore since then, the key may have the base's revision while daemons have a higher version, and a
// write in the old epoch could use a revision for the second time.
func (b Base) matches(fresh Base) bool {
	if b.revision != fresh.revision || (b.stored == nil) != (fresh.stored == nil) {
		return false
	}
	if b.stored != nil && b.stored.ChangeID != fresh.stored.ChangeID {
		return false
	}
	return !fresh.daemonsAnswered || b.Version == fresh.Version
}

// change is one change on its way into the store.
type change struct {
	p              *Publisher
	base           Base
	doc            *config.Document
	data           []byte
	revision       int64 // that the key must have
	writtenVersion config.Version
	outcomeUnknown bool // a write with unknown outcome is among the attempts
	lastErr        error
}

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

// attempt writes once. Every attempt carries the same change id and expects the same revision, so at most one of them
// takes effect.
func (c *change) attempt(ctx context.Context) (Result, bool) {
	rev, err := c.p.Store.CompareAndSwap(ctx, ConfigKey, c.revision, c.data, 0)
	switch {
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

// readBack reads the document back after a conflict or a lost response.
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
		return Result{}, false // not written yet; the next attempt is safe
	case !c.writtenVersion.IsZero():
		return c.accepted(false), true // in effect before, and replaced since
	case kv.Revision < c.revision:
		return c.resolveRestored(ctx), true
	case !c.outcomeUnknown:
		return c.lostRace(versionOf(kv, doc), doc), true
	}
	return c.resolveFromHistory(ctx, kv, doc), true
}

var errStopWatch = errors.New("found")

// resolveFromHistory handles a lost response after which another change is found. That change may have replaced this one,
// so the first change after the base decides.
func (c *change) resolveFromHistory(ctx context.Context, kv store.KV, doc *config.Document) Result {
	revisions, err := c.firstRevisions(ctx)
	if err != nil {
		return c.unknown(fmt.Errorf("%w: %v", ErrHistoryUnavailable, err))
	}
	if c.revision > 0 && revisions[0].Revision != c.revision {
		return c.unknown(ErrRestored) // another line of revisions, which says nothing about the write
	}
	first := revisions[len(revisions)-1]
	if d, err := config.Parse(first.Value); err == nil && d.ChangeID == c.doc.ChangeID {
		c.writtenVersion = versionOf(first, d)
		return c.accepted(false)
	}
	switch kept, err := c.inEffectOnDaemons(ctx); {
	case err != nil:
		// The write may have taken effect before a restore, which the platform's history doesn't show.
		return c.unknown(err)
	case kept:
		return c.accepted(false) // written before a restore, and kept by the daemons
	case doc != nil && doc.Epoch > c.doc.Epoch:
		// A restore lies between: the write may have taken effect before it and have been replaced since.
		return c.unknown(ErrRestored)
	}
	return c.lostRace(versionOf(kv, doc), doc)
}

// firstRevisions returns the change of the base, if there was one, and the next one.
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

// inEffectOnDaemons reports whether daemons have this change in effect. The error says that they could not be asked.
func (c *change) inEffectOnDaemons(ctx context.Context) (bool, error) {
	if c.p.Fleet == nil {
		return false, nil
	}
	v, d, err := c.p.Fleet.InEffect(ctx)
	if err != nil {
		return false, fmt.Errorf("ask the daemons: %w", err)
	}
	if d == nil || d.ChangeID != c.doc.ChangeID {
		return false, nil
	}
	c.writtenVersion = v
	return true, nil
}

// confirm checks a written change against the daemons. If they have a version at or above it while it is the newest in
// the store, the platform was restored and the daemons would ignore the change, so it is written again with a higher
// epoch.
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

// resolveRestored handles a key whose revision is below the base's.
func (c *change) resolveRestored(ctx context.Context) Result {
	if !c.outcomeUnknown {
		return c.unknown(ErrRestored)
	}
	if kept, err := c.inEffectOnDaemons(ctx); err == nil && kept {
		return c.accepted(false)
	}
	return c.unknown(ErrRestored)
}

func (c *change) lostRace(v config.Version, winner *config.Document) Result {
	r := Result{Kind: LostRace, ChangeID: c.doc.ChangeID, Winner: v}
	if winner != nil {
		r.WinnerBy = winner.ChangedBy
	}
	r.Difference = config.Diff(c.doc, winner)
	return r
}

package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// Defaults of a list.
const (
	// DefaultConfirmedTTL is how long a confirmed fingerprint is refused.
	DefaultConfirmedTTL = time.Hour
	// DefaultSuspectTTL is how long a fingerprint that is neither cleared nor confirmed stays a suspect after a crash.
	// A caller that resends does so within minutes; the longest timeout is 10 minutes.
	DefaultSuspectTTL = 10 * time.Minute
	// DefaultMaxRecords is the maximum number of records in a list. With 100 requests in flight at each crash, it is
	// enough for the suspects of 100 crashes within SuspectTTL, about 2 MB.
	DefaultMaxRecords = 10_000
)

// Config sets the lifetimes and the maximum size of a list. Zero fields take the defaults.
type Config struct {
	// ConfirmedTTL is how long a confirmed fingerprint is refused.
	ConfirmedTTL time.Duration
	// SuspectTTL is how long a fingerprint stays a suspect after a crash, unless it is cleared or confirmed.
	SuspectTTL time.Duration
	// MaxRecords is the maximum number of records. A full list drops new suspects, and replaces unconfirmed records by
	// new confirmed ones.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	if c.ConfirmedTTL <= 0 {
		c.ConfirmedTTL = DefaultConfirmedTTL
	}
	if c.SuspectTTL <= 0 {
		c.SuspectTTL = DefaultSuspectTTL
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	return c
}

// Decision says whether a request may run.
type Decision uint8

// The decisions of List.Check.
const (
	// Allow lets the request run as usual.
	Allow Decision = iota
	// RunAlone lets the request run only while nothing else is in flight; see IsolationQueue.
	RunAlone
	// Refuse means that the request must not run. Its outcome is call.OutcomeNotRun with call.ReasonQuarantined.
	Refuse
)

// String returns the name used in logs.
func (d Decision) String() string {
	switch d {
	case Allow:
		return "allow"
	case RunAlone:
		return "run-alone"
	case Refuse:
		return "refuse"
	default:
		return "invalid"
	}
}

// List holds the records of one daemon. It is not safe for concurrent use.
type List struct {
	cfg     Config
	records map[Fingerprint]Record
}

// NewList returns an empty list.
func NewList(cfg Config) *List {
	return &List{cfg: cfg.withDefaults(), records: make(map[Fingerprint]Record)}
}

// Check returns whether a request may run. It must be called when the request is about to be dispatched, even if it was
// called before the request was queued, since a record may arrive in between.
func (l *List) Check(now time.Time, fp Fingerprint) Decision {
	switch l.records[fp].StateAt(now) {
	case Confirmed:
		return Refuse
	case Suspect:
		return RunAlone
	default:
		return Allow
	}
}

// ReportCrash records that the backend server died with these requests in flight. It returns the records to
// disseminate. If all requests in flight had one fingerprint and that was a suspect, it is confirmed. Otherwise all
// fingerprints that are not confirmed become or stay suspects. ReportCrash must be called before IsolationQueue.Done
// for these requests, otherwise a waiting request with the same fingerprint could start before the suspect is
// confirmed.
func (l *List) ReportCrash(now time.Time, inFlight []Fingerprint) []Record {
	l.removeExpired(now)
	distinct := slices.Clone(inFlight)
	slices.SortFunc(distinct, compareFingerprints)
	distinct = slices.Compact(distinct)
	var changed []Record
	for _, fp := range distinct {
		r := l.recordAfterCrash(now, fp, len(distinct) == 1)
		if l.put(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// recordAfterCrash returns the updated record of a fingerprint that was in flight at a crash. alone says that no other
// fingerprint was in flight. A confirmed record doesn't change. A fingerprint that was no suspect starts a new round.
func (l *List) recordAfterCrash(now time.Time, fp Fingerprint, alone bool) Record {
	r := l.records[fp]
	r.Fingerprint = fp
	switch r.StateAt(now) {
	case Confirmed:
		return r
	case Suspect:
		if alone {
			r.ConfirmedUntil = now.Add(l.cfg.ConfirmedTTL)
		}
	default:
		r.Round++
		r.Cleared = false
		r.SuspectUntil = time.Time{}
	}
	r.SuspectUntil = latest(r.SuspectUntil, now.Add(l.cfg.SuspectTTL))
	r.KeepUntil = latest(r.KeepUntil, latest(r.SuspectUntil, r.ConfirmedUntil))
	return r
}

// ReportCompletion records that a run ended without a crash, whatever its answer was. It clears a suspect and returns
// the record to disseminate, or nil if the fingerprint was no suspect. A confirmed fingerprint stays confirmed.
func (l *List) ReportCompletion(now time.Time, fp Fingerprint) []Record {
	r, ok := l.records[fp]
	if !ok || r.StateAt(now) != Suspect {
		return nil
	}
	r.Cleared = true
	l.records[fp] = r
	return []Record{r}
}

// Merge merges records of other daemons into the list and returns the records that changed. Expired records are
// ignored. The caller disseminates the returned records again, to reach daemons that the sender doesn't reach. This
// ends, because a known record changes nothing.
func (l *List) Merge(now time.Time, rs []Record) []Record {
	l.removeExpired(now)
	var changed []Record
	for _, r := range rs {
		if !now.Before(r.KeepUntil) {
			continue
		}
		known, ok := l.records[r.Fingerprint]
		joined := r
		if ok {
			joined = Join(known, r)
		}
		if ok && joined.equal(known) {
			continue
		}
		if l.put(joined) {
			changed = append(changed, joined)
		}
	}
	return changed
}

// Lift ends the quarantine or the suspicion of a fingerprint on the operator's command. It returns the record to
// disseminate, or nil if the list has no record of the fingerprint.
func (l *List) Lift(now time.Time, fp Fingerprint) []Record {
	l.removeExpired(now)
	r, ok := l.records[fp]
	if !ok {
		return nil
	}
	lifted := Record{
		Fingerprint: fp,
		Lifts:       r.Lifts + 1,
		KeepUntil:   latest(r.KeepUntil, now.Add(max(l.cfg.ConfirmedTTL, l.cfg.SuspectTTL))),
	}
	l.records[fp] = lifted
	return []Record{lifted}
}

// Records returns all records in the order of their fingerprints. It is used to send them to a daemon that has just
// started, and for the operator's commands. It includes cleared and lifted records, since a new daemon needs them too.
func (l *List) Records() []Record {
	rs := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b Record) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return rs
}

// Tick removes records whose KeepUntil has passed.
func (l *List) Tick(now time.Time) {
	l.removeExpired(now)
}

func (l *List) removeExpired(now time.Time) {
	for fp, r := range l.records {
		if !now.Before(r.KeepUntil) {
			delete(l.records, fp)
		}
	}
}

// put stores a record and reports whether it was stored. A full list drops new records, except that a confirmed record
// replaces an unconfirmed one.
func (l *List) put(r Record) bool {
	_, known := l.records[r.Fingerprint]
	if !known && len(l.records) >= l.cfg.MaxRecords && !l.evictFor(r) {
		return false
	}
	l.records[r.Fingerprint] = r
	return true
}

// evictFor makes room for a confirmed record by removing the unconfirmed record with the earliest KeepUntil. It reports
// whether it removed one; it removes none if r is unconfirmed.
func (l *List) evictFor(r Record) bool {
	if r.ConfirmedUntil.IsZero() {
		return false
	}
	var victim *Record
	for _, o := range l.records {
		if !o.ConfirmedUntil.IsZero() {
			continue
		}
		if victim == nil || o.KeepUntil.Before(victim.KeepUntil) {
			victim = &o
		}
	}
	if victim == nil {
		return false
	}
	delete(l.records, victim.Fingerprint)
	return true
}

func compareFingerprints(a, b Fingerprint) int {
	return bytes.Compare(a[:], b[:])
}

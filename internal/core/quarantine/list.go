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
	// DefaultSuspectTTL is how long a fingerprint that is neither cleared nor confirmed stays a suspect. A caller
	// that resends does so within minutes, the longest timeout is 10 minutes.
	DefaultSuspectTTL = 10 * time.Minute
	// DefaultMaxRecords bounds the list. At 100 requests in flight per crash it holds the suspects of 100 crashes
	// within SuspectTTL, about 2 MB.
	DefaultMaxRecords = 10_000
)

// Config sets the times and the bound of a list. Zero fields take the defaults.
type Config struct {
	ConfirmedTTL time.Duration
	SuspectTTL   time.Duration
	// MaxRecords bounds the list. When it is full, new suspects are dropped, and confirmations replace suspects.
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

// The verdicts of Check.
const (
	// Allow lets the request run as usual.
	Allow Decision = iota
	// RunAlone lets the request run only while nothing else is in flight; see Gate.
	RunAlone
	// Refuse means not-run with call.ReasonQuarantined.
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

// Check returns whether a request may run. It must be asked when the request is about to be dispatched, not when it is
// queued, since a record may arrive in between.
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

// ReportCrash records that the backend server died with these requests in flight. It returns the records to disseminate.
// A suspect that was the only request in flight is confirmed; the others become suspects. It must be called before
// Gate.Done for these requests, otherwise a suspect that waits could start before it is confirmed.
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

// afterCrash returns the record of a fingerprint that was in flight, and whether alone, at a crash.
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

// ReportCompletion records that a run ended without a crash, whatever it answered. It clears a suspect and returns the record
// to disseminate. A confirmed fingerprint stays confirmed.
func (l *List) ReportCompletion(now time.Time, fp Fingerprint) []Record {
	r, ok := l.records[fp]
	if !ok || r.StateAt(now) != Suspect {
		return nil
	}
	r.Cleared = true
	l.records[fp] = r
	return []Record{r}
}

// Merge takes in records of other daemons and returns those that changed the list. Disseminating these again reaches
// daemons that the sender doesn't, and ends because a known record changes nothing.
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

// Lift ends the quarantine of a fingerprint, or its suspicion, on the operator's command. It returns the record to
// disseminate, or nil if nothing is known about the fingerprint.
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

// Records returns all records in the order of their fingerprints, for a daemon that has just started and for the
// operator's commands. It includes cleared and lifted ones, which a new daemon needs as well.
func (l *List) Records() []Record {
	rs := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b Record) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return rs
}

// Tick forgets expired records.
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

// put stores a record and reports whether it did. A full list drops new records, except that a confirmation replaces
// an unconfirmed record.
func (l *List) put(r Record) bool {
	_, known := l.records[r.Fingerprint]
	if !known && len(l.records) >= l.cfg.MaxRecords && !l.evictFor(r) {
		return false
	}
	l.records[r.Fingerprint] = r
	return true
}

// displace removes the unconfirmed record that is forgotten soonest to make room for a confirmed one.
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

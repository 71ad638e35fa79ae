package routing

import (
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// DefaultUploadShare is the usual LinkConfig.UploadShare: the largest share of the budget that uploads may use.
const DefaultUploadShare = 0.5

// linkBurst bounds the balance: at most the budget of this time can be saved up. At the preset's 400,000 bytes/s the
// burst holds some answers of 10 KB for the class with the largest reserve, and the queue on the link stays shorter
// than an eighth of the default timeout.
const linkBurst = 250 * time.Millisecond

// classReserve is the share of the burst that a class leaves to the more important ones. A class may use the budget
// only while the balance is above its reserve.
var classReserve = [call.NumClasses]float64{
	call.ClassLow:      0.6,
	call.ClassNormal:   0.4,
	call.ClassHigh:     0.2,
	call.ClassCritical: 0,
}

// LinkConfig holds the parameters of a Link.
type LinkConfig struct {
	// BytesPerSecond is the daemon's budget for requests and answers together. Zero lets no call pass.
	BytesPerSecond int64
	// UploadShare is the largest share of the budget that uploads may use, from 0 to 1.
	UploadShare float64
}

// Link is a daemon's byte budget on the region link, kept as a token bucket. It is safe for concurrent use, so that the
// pickers of a daemon can share it.
//
// Bytes are charged as they cross the link, whatever length a caller or a backend server has stated. When a call is
// sent, it is charged in advance for the part of its request that the daemon holds and for an answer of average size;
// what has not crossed when the call ends is returned. The balance can become negative; no call is sent then until it has
// recovered.
//
// The request bytes of an upload are recorded as a debt instead. The debt is repaid from the upload share alone, and
// only from what more important calls leave. No further upload is sent until the debt is repaid, and small calls keep
// the rest of the budget even while a large upload is in flight.
type Link struct {
	mu          sync.Mutex // guards all other fields, and those of the charges
	rate        float64    // bytes per second
	uploadShare float64    // largest share of rate that repays uploadDebt
	balance     float64    // bytes
	uploadDebt  float64    // bytes of uploads that are not repaid
	uploadClass call.Class // class of the last upload
	refilledAt  time.Time

	inFlight      int     // calls that have not ended
	averageAnswer float64 // moving average in bytes
	// Times since which calls and uploads are refused; zero while the last one was allowed.
	refusingSince, refusingUploadsSince time.Time
}

// NewLink returns a Link whose balance is its full burst.
func NewLink(cfg LinkConfig) *Link {
	l := &Link{}
	l.configure(cfg)
	l.balance = l.burst()
	return l
}

// SetConfig changes the budget. The balance is kept, but bounded by the new burst.
func (l *Link) SetConfig(now time.Time, cfg LinkConfig) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.configure(cfg)
	l.balance = min(l.balance, l.burst())
}

func (l *Link) configure(cfg LinkConfig) {
	l.rate = float64(max(cfg.BytesPerSecond, 0))
	l.uploadShare = min(max(cfg.UploadShare, 0), 1)
}

// begin charges the budget in advance for a call. The error is a *LinkBudgetError if the budget doesn't allow the call;
// nothing is charged then.
func (l *Link) begin(now time.Time, info PickInfo) (*Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	since := &l.refusingSince
	if info.Upload {
		since = &l.refusingUploadsSince
	}
	if !l.hasBudget(info) {
		if since.IsZero() {
			*since = now
		}
		return nil, &LinkBudgetError{Upload: info.Upload, Since: *since, State: l.state()}
	}
	*since = time.Time{}
	if info.Upload {
		l.uploadClass = info.Rank.Class()
	}
	c := &Charge{link: l, upload: info.Upload, request: float64(info.Bytes), answer: l.averageAnswer}
	l.addRequestBytes(info.Upload, c.request)
	l.balance -= c.answer
	l.inFlight++
	return c, nil
}

// hasBudget reports whether the budget allows the call. A call larger than what the burst leaves to its class is sent
// when the balance is full, because it could never be sent otherwise; the balance becomes negative and recovers later.
// The caller holds the mutex.
func (l *Link) hasBudget(info PickInfo) bool {
	if l.rate == 0 || (info.Upload && (l.uploadDebt > 0 || l.uploadShare == 0)) {
		return false
	}
	need := l.reserveBytes(info.Rank.Class()) + l.averageAnswer
	if !info.Upload {
		need += float64(info.Bytes)
	}
	return l.balance >= min(need, l.burst())
}

// addRequestBytes charges bytes of a request. The caller holds the mutex.
func (l *Link) addRequestBytes(upload bool, bytes float64) {
	if upload {
		l.uploadDebt += bytes
	} else {
		l.balance -= bytes
	}
}

// returnRequestBytes returns bytes of a request that were charged and have not crossed. What an upload's debt no longer
// holds has been repaid from the balance. The caller holds the mutex.
func (l *Link) returnRequestBytes(upload bool, bytes float64) {
	if upload {
		owed := min(bytes, l.uploadDebt)
		l.uploadDebt -= owed
		bytes -= owed
	}
	l.balance = min(l.balance+bytes, l.burst())
}

// LinkState is a snapshot of a Link for logs and metrics. Sizes are in bytes.
type LinkState struct {
	// Balance is what may be sent at once. It is negative while it recovers from calls that were larger than expected.
	Balance int64
	// UploadDebt is the size of earlier uploads that has to be repaid before the next upload.
	UploadDebt int64
	// AverageAnswer is what each call is charged in advance for its answer.
	AverageAnswer int64
	// InFlight is the number of calls that have not ended.
	InFlight int
}

// State returns a snapshot.
func (l *Link) State(now time.Time) LinkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	return l.state()
}

// state returns a snapshot as of the last refill. The caller holds the mutex.
func (l *Link) state() LinkState {
	return LinkState{Balance: int64(l.balance), UploadDebt: int64(l.uploadDebt), AverageAnswer: int64(l.averageAnswer),
		InFlight: l.inFlight}
}

// refill adds the budget of the elapsed time to the balance. The part of the balance above the reserve of the last
// upload's class repays its debt, up to the upload share of the added budget. The caller holds the mutex.
func (l *Link) refill(now time.Time) {
	if l.refilledAt.IsZero() || now.Before(l.refilledAt) {
		l.refilledAt = now
	}
	budget := l.rate * now.Sub(l.refilledAt).Seconds()
	l.refilledAt = now
	excess := max(l.balance+budget-l.reserveBytes(l.uploadClass), 0)
	repaid := min(l.uploadDebt, budget*l.uploadShare, excess)
	l.uploadDebt -= repaid
	l.balance = min(l.balance+budget-repaid, l.burst())
}

// reserveBytes returns the bytes of the burst that a class leaves to the more important ones.
func (l *Link) reserveBytes(c call.Class) float64 {
	return classReserve[min(c, call.ClassCritical)] * l.burst()
}

// burst returns the largest balance in bytes.
func (l *Link) burst() float64 {
	return l.rate * linkBurst.Seconds()
}

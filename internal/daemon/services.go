package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
)

// service is the calling side of one operation of a service: the choice of upstreams and the ratio of retries. Operations are
// kept apart because their cutoffs and latencies depend on the deeper services that they call. It is safe for concurrent
// use.
type outboundOperation struct {
	mu           sync.Mutex
	picker       *routing.Picker
	retryLimiter *retry.RatioLimiter
}

func (s *outboundOperation) recordFirst(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryLimiter.RecordFirst(now)
}

func (s *outboundOperation) allowRetry(now time.Time, c call.Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryLimiter.AllowClass(now, c)
}

func (s *outboundOperation) pick(now time.Time, q routing.PickInfo) (routing.Candidate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Pick(now, q)
}

func (s *outboundOperation) done(now time.Time, address string, r routing.DoneInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, address, r)
}

func (s *outboundOperation) isOutlier(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Outlier(now, address)
}

func (s *outboundOperation) update(now time.Time, cs []routing.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Update(now, cs)
}

func (s *outboundOperation) setRetryRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryLimiter.SetRatio(ratio)
}

// serviceTable holds a service for each name that was called, and the members that serve it. It is safe for
// concurrent use.
type serviceTable struct {
	newPicker       func(rng *rand.Rand) *routing.Picker
	newRetryLimiter func() *retry.RatioLimiter
	now             func() time.Time

	mu            sync.Mutex
	seed          uint64
	operations    map[operationKey]*outboundOperation
	candidates    map[string][]routing.Candidate // serving, by service
	latestRecords map[string]membership.Record   // latest record of each address that was ever seen
}

func newServiceTable(seed uint64, newPicker func(*rand.Rand) *routing.Picker, newRatio func() *retry.RatioLimiter,
	now func() time.Time) *serviceTable {
	return &serviceTable{
		newPicker:       newPicker,
		newRetryLimiter: newRatio,
		now:             now,
		seed:            seed,
		operations:      make(map[operationKey]*outboundOperation),
		candidates:      make(map[string][]routing.Candidate),
		latestRecords:   make(map[string]membership.Record),
	}
}

// operation names an operation of a service.
type operationKey struct {
	service, name string
}

// get returns the calling side of an operation. The configuration bounds the names, so the table stays small.
func (t *serviceTable) operation(name, op string) *outboundOperation {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := operationKey{name, op}
	s := t.operations[key]
	if s == nil {
		t.seed++
		s = &outboundOperation{picker: t.newPicker(rand.New(rand.NewPCG(t.seed, t.seed))), retryLimiter: t.newRetryLimiter()}
		s.update(t.now(), t.candidates[name])
		t.operations[key] = s
	}
	return s
}

// setRatio changes the share of retries of all services.
func (t *serviceTable) setRetryRatio(ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.operations {
		s.setRetryRatio(ratio)
	}
}

// record returns the latest record of an address.
func (t *serviceTable) latestRecord(address string) (membership.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.latestRecords[address]
	return r, ok
}

// announced reports whether an address has been announced as an upstream of the service. Tokens come from callers, so an address
// in a token is dialed only when it is known.
func (t *serviceTable) isKnownUpstream(service, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestRecords[address].Service == service
}

// apply takes records that changed. Only the services that they concern are touched, since at the target size a zone
// that returns brings about 570 changes within seconds into a table of 6,300 members. since tells when an incarnation
// began to serve, for the cold-start ramp.
func (t *serviceTable) apply(changes []membership.Record, since func(membership.Record) time.Time) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	touched := make(map[string]bool)
	for _, r := range changes {
		if earlier, ok := t.latestRecords[r.Address]; ok {
			t.removeCandidate(earlier.Service, r.Address)
			touched[earlier.Service] = true
		}
		t.latestRecords[r.Address] = r
		touched[r.Service] = true
		if r.State == membership.StateServing || r.State == membership.StateSuspect {
			t.candidates[r.Service] = append(t.candidates[r.Service], candidate(r, since(r)))
		}
	}
	for key, s := range t.operations {
		if touched[key.service] {
			s.update(now, t.candidates[key.service])
		}
	}
}

// remove takes an address off a service. The caller holds the lock.
func (t *serviceTable) removeCandidate(service, address string) {
	t.candidates[service] = slices.DeleteFunc(t.candidates[service], func(c routing.Candidate) bool {
		return c.Address == address
	})
}

func candidate(r membership.Record, since time.Time) routing.Candidate {
	return routing.Candidate{
		Address:      r.Address,
		Incarnation:  r.Incarnation,
		Zone:         r.Zone,
		Region:       r.Region,
		Slots:        r.Slots,
		ServingSince: since,
	}
}

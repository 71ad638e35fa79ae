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
type service struct {
	mu     sync.Mutex
	picker *routing.Picker
	ratio  *retry.RatioLimiter
}

func (s *service) first(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio.RecordFirst(now)
}

func (s *service) allowRetry(now time.Time, c call.Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratio.AllowClass(now, c)
}

func (s *service) pick(now time.Time, q routing.PickInfo) (routing.Candidate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Pick(now, q)
}

func (s *service) done(now time.Time, address string, r routing.DoneInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Done(now, address, r)
}

func (s *service) outlier(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Outlier(now, address)
}

func (s *service) update(now time.Time, cs []routing.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Update(now, cs)
}

func (s *service) setRatio(ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio.SetRatio(ratio)
}

// serviceTable holds a service for each name that was called, and the members that serve it. It is safe for
// concurrent use.
type serviceTable struct {
	newPicker func(rng *rand.Rand) *routing.Picker
	newRatio  func() *retry.RatioLimiter
	now       func() time.Time

	mu       sync.Mutex
	seed     uint64
	services map[operation]*service
	members  map[string][]routing.Candidate // serving, by service
	known    map[string]membership.Record   // latest record of each address that was ever seen
}

func newServiceTable(seed uint64, newPicker func(*rand.Rand) *routing.Picker, newRatio func() *retry.RatioLimiter,
	now func() time.Time) *serviceTable {
	return &serviceTable{
		newPicker: newPicker,
		newRatio:  newRatio,
		now:       now,
		seed:      seed,
		services:  make(map[operation]*service),
		members:   make(map[string][]routing.Candidate),
		known:     make(map[string]membership.Record),
	}
}

// operation names an operation of a service.
type operation struct {
	service, name string
}

// get returns the calling side of an operation. The configuration bounds the names, so the table stays small.
func (t *serviceTable) get(name, op string) *service {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := operation{name, op}
	s := t.services[key]
	if s == nil {
		t.seed++
		s = &service{picker: t.newPicker(rand.New(rand.NewPCG(t.seed, t.seed))), ratio: t.newRatio()}
		s.update(t.now(), t.members[name])
		t.services[key] = s
	}
	return s
}

// setRatio changes the share of retries of all services.
func (t *serviceTable) setRatio(ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.setRatio(ratio)
	}
}

// record returns the latest record of an address.
func (t *serviceTable) record(address string) (membership.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.known[address]
	return r, ok
}

// announced reports whether an address has been announced as an upstream of the service. Tokens come from callers, so an address
// in a token is dialed only when it is known.
func (t *serviceTable) announced(service, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[address].Service == service
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
		if earlier, ok := t.known[r.Address]; ok {
			t.remove(earlier.Service, r.Address)
			touched[earlier.Service] = true
		}
		t.known[r.Address] = r
		touched[r.Service] = true
		if r.State == membership.StateServing || r.State == membership.StateSuspect {
			t.members[r.Service] = append(t.members[r.Service], candidate(r, since(r)))
		}
	}
	for key, s := range t.services {
		if touched[key.service] {
			s.update(now, t.members[key.service])
		}
	}
}

// remove takes an address off a service. The caller holds the lock.
func (t *serviceTable) remove(service, address string) {
	t.members[service] = slices.DeleteFunc(t.members[service], func(c routing.Candidate) bool {
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

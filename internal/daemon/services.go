package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/core/routing"
)

// outboundOperation holds what the entry needs to call one operation of a service: the picker of its upstreams and the
// retries of the service. Each operation has its own picker, because cutoffs and latencies depend on the services further
// down the call graph that the operation calls. It is safe for concurrent use.
type outboundOperation struct {
	retries *serviceRetries // shared by all operations of the service

	mu     sync.Mutex
	picker *routing.Picker
}

func (o *outboundOperation) pick(now time.Time, info routing.PickInfo) (routing.Picked, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.picker.Pick(now, info)
}

func (o *outboundOperation) done(now time.Time, address string, r routing.DoneInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.picker.Done(now, address, r)
}

func (o *outboundOperation) isOutlier(now time.Time, address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.picker.Outlier(now, address)
}

// latencyBound returns a time within which most calls are answered, 0 while it is unknown.
func (o *outboundOperation) latencyBound() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.picker.LatencyBound()
}

func (o *outboundOperation) update(now time.Time, cs []routing.Candidate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.picker.Update(now, cs)
}

// serviceTable holds an outboundOperation for each operation that was called, and the upstreams of each service. It is
// safe for concurrent use.
type serviceTable struct {
	newPicker       func(rng *rand.Rand) *routing.Picker
	newRetryLimiter func() retryLimiter
	now             func() time.Time

	mu            sync.Mutex
	seed          uint64
	operations    map[operationKey]*outboundOperation
	retries       map[string]*serviceRetries     // by service
	candidates    map[string][]routing.Candidate // members in the states serving and suspect, by service
	latestRecords map[string]membership.Record   // latest record of every member ever seen, by address
}

func newServiceTable(seed uint64, newPicker func(*rand.Rand) *routing.Picker,
	newRetryLimiter func() retryLimiter, now func() time.Time) *serviceTable {
	return &serviceTable{
		newPicker:       newPicker,
		newRetryLimiter: newRetryLimiter,
		now:             now,
		seed:            seed,
		operations:      make(map[operationKey]*outboundOperation),
		retries:         make(map[string]*serviceRetries),
		candidates:      make(map[string][]routing.Candidate),
		latestRecords:   make(map[string]membership.Record),
	}
}

// operationKey identifies an operation of a service.
type operationKey struct {
	service, name string
}

// operation returns the outboundOperation of an operation, and creates it on the first call. The names come from the
// configuration, so the table stays small.
func (t *serviceTable) operation(service, name string) *outboundOperation {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := operationKey{service, name}
	o := t.operations[key]
	if o == nil {
		t.seed++
		o = &outboundOperation{picker: t.newPicker(rand.New(rand.NewPCG(t.seed, t.seed))), retries: t.retriesOf(service)}
		o.update(t.now(), t.candidates[service])
		t.operations[key] = o
	}
	return o
}

// retriesOf returns the retries of a service, and creates them on the first call. The caller holds the lock.
func (t *serviceTable) retriesOf(service string) *serviceRetries {
	r := t.retries[service]
	if r == nil {
		r = &serviceRetries{limiter: t.newRetryLimiter()}
		t.retries[service] = r
	}
	return r
}

// setRetryLimits changes the limits on the retries to all services.
func (t *serviceTable) setRetryLimits(l retryLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.retries {
		r.setLimits(l)
	}
}

// latestRecord returns the latest membership record of an address. The second result is false if there is none.
func (t *serviceTable) latestRecord(address string) (membership.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.latestRecords[address]
	return r, ok
}

// isKnownUpstream reports whether the latest record of the address is of the service. Tokens come from callers, so this
// daemon connects to an address in a token only if the address is known.
func (t *serviceTable) isKnownUpstream(service, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestRecords[address].Service == service
}

// apply applies changed membership records. It updates only the services of these records, because at the target size a
// zone that comes back changes about 570 records within seconds, in a table of 6,300 members. servingSince returns the
// time at which an incarnation began to serve, for the cold-start ramp.
func (t *serviceTable) apply(changes []membership.Record, servingSince func(membership.Record) time.Time) {
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
			t.candidates[r.Service] = append(t.candidates[r.Service], candidate(r, servingSince(r)))
		}
	}
	for key, o := range t.operations {
		if touched[key.service] {
			o.update(now, t.candidates[key.service])
		}
	}
}

// removeCandidate removes an address from the candidates of a service. The caller holds the lock.
func (t *serviceTable) removeCandidate(service, address string) {
	t.candidates[service] = slices.DeleteFunc(t.candidates[service], func(c routing.Candidate) bool {
		return c.Address == address
	})
}

// candidate returns the upstream that a membership record describes.
func candidate(r membership.Record, servingSince time.Time) routing.Candidate {
	return routing.Candidate{
		Address:      r.Address,
		Incarnation:  r.Incarnation,
		Zone:         r.Zone,
		Region:       r.Region,
		Slots:        r.Slots,
		ServingSince: servingSince,
	}
}

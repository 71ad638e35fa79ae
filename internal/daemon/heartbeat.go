package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/platform"
)

const (
	// healthCheckTimeout bounds a health check of the backend server. It is shorter than the usual heartbeat interval:
	// after that, a second heartbeat mostly verifies the instance as well as the health check would.
	healthCheckTimeout = time.Second
	// verificationInterval is the least time between two health checks that are to verify an instance.
	verificationInterval = 500 * time.Millisecond
)

// instanceTracker is an announce.Tracker that is safe for concurrent use.
type instanceTracker struct {
	now func() time.Time

	mu      sync.Mutex
	tracker *announce.Tracker
}

func newInstanceTracker(service string, now func() time.Time) *instanceTracker {
	return &instanceTracker{tracker: announce.NewTracker(service), now: now}
}

func (t *instanceTracker) current() announce.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Current()
}

// departure returns the departure of the current instance. ok is false if it isn't leaving.
func (t *instanceTracker) departure() (d announce.Departure, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.CurrentDeparture()
}

// instanceChange is the result of a change of an instanceTracker.
type instanceChange struct {
	before, after     announce.Instance
	departures        []announce.Departure // that were learned
	needsVerification bool                 // after the change
}

// update changes the tracker by f. It returns the change and the error of f.
func (t *instanceTracker) update(f func(*announce.Tracker) error) (instanceChange, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.tracker.Current()
	err := f(t.tracker)
	return instanceChange{before: before, after: t.tracker.Current(), departures: t.tracker.TakeUnsaved(),
		needsVerification: t.tracker.NeedsVerification()}, err
}

// verification limits the rate of the health checks that are to verify an instance. It is safe for concurrent use.
type verification struct {
	mu      sync.Mutex
	running bool
	started time.Time // of the last one
}

// begin reports whether a health check may be sent at now. The caller calls end after it.
func (v *verification) begin(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.running || now.Sub(v.started) < verificationInterval {
		return false
	}
	v.running, v.started = true, now
	return true
}

func (v *verification) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running = false
}

// instanceRouter returns the handler of the announce listener, for heartbeats and for notices that an instance is
// leaving.
func (d *Daemon) instanceRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.PathInstances+"{id}", d.serveHeartbeat).Methods(http.MethodPut)
	r.HandleFunc(platform.PathInstances+"{id}", d.serveInstanceLeaving).Methods(http.MethodDelete)
	return r
}

// serveHeartbeat handles a heartbeat. It acknowledges also a stale one, which has no effect: an error response would
// not help the sender, which has done nothing wrong.
func (d *Daemon) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxHeartbeatSize))
	if err == nil {
		err = d.applyHeartbeat(id, body)
	}
	d.departures.wait()
	if err != nil && !errors.Is(err, announce.ErrStale) {
		d.log.Log(events.HeartbeatRejected, id, err.Error())
		writeProblem(w, http.StatusBadRequest, "heartbeat-rejected", err.Error())
		return
	}
	writeAcknowledgement(w)
}

// errOtherAddress reports a heartbeat of a backend server that isn't the one beside this daemon.
var errOtherAddress = errors.New("heartbeat names another address than that of the backend server in the settings")

// applyHeartbeat decodes a heartbeat and applies it.
func (d *Daemon) applyHeartbeat(id string, body []byte) error {
	h, err := platform.DecodeHeartbeat(id, body)
	if err != nil {
		return err
	}
	if own, err := netip.ParseAddrPort(d.backend.base.Host); err == nil && h.Address != own {
		return errOtherAddress
	}
	return d.updateInstance(func(t *announce.Tracker) error { return t.Heartbeat(d.now(), h.Heartbeat) })
}

// serveInstanceLeaving handles the notice that an instance is leaving.
func (d *Daemon) serveInstanceLeaving(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	if !platform.ValidInstanceID(id) {
		d.log.Log(events.HeartbeatRejected, "", "notice to leave with an id of "+strconv.Itoa(len(id))+" bytes")
		writeProblem(w, http.StatusBadRequest, "notice-rejected", "the id is too long")
		return
	}
	_ = d.updateInstance(func(t *announce.Tracker) error { t.MarkLeaving(d.now(), id); return nil }) // always nil
	d.departures.wait()
	writeAcknowledgement(w)
}

func writeAcknowledgement(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // the backend server repeats a heartbeat if this response is lost
}

// updateInstance changes the instance tracker by f and applies the new state to the rest of the daemon: slots, waiting
// requests, health checks and the announced member state. It returns the error of f.
func (d *Daemon) updateInstance(f func(*announce.Tracker) error) error {
	change, err := d.instance.update(f)
	before, after := change.before, change.after
	d.keepDepartures(change.departures)
	if change.needsVerification && d.verification.begin(d.now()) {
		d.tasks.Go(d.verifyInstance)
	}
	if before == after {
		return err
	}
	if before.State != after.State || before.ID != after.ID || before.StartUnixMilli != after.StartUnixMilli ||
		before.Slots != after.Slots {
		d.log.Log(events.BackendServerAnnounced, after.ID, after.StartUnixMilli, before.State.String(), after.State.String(),
			after.Slots)
	}
	if before.RateLimit != after.RateLimit {
		d.log.Log(events.RateLimitChanged, after.ID, before.RateLimit, after.RateLimit, d.admission.load().Started)
		d.admission.setRateLimit(after.RateLimit)
	}
	if before.Slots != after.Slots {
		_, doc := d.config.Current()
		d.admission.setConfig(d.admissionConfig(doc))
		d.members.setSlots(after.Slots)
	}
	if after.State == announce.Leaving && before.State != announce.Leaving {
		d.admission.refuseWaiting()
	}
	d.backendUp.Store(after.State == announce.Ready)
	d.members.setState(d.memberState())
	return err
}

// recordReport records what a response to a request that was sent at sentAt says about the backend server.
func (d *Daemon) recordReport(sentAt time.Time, r announce.Report) {
	_ = d.updateInstance(func(t *announce.Tracker) error { t.Response(d.now(), sentAt, r); return nil }) // always nil
}

// verifyInstance verifies by a health check that the announced instance is the one that responds and takes requests.
func (d *Daemon) verifyInstance() {
	defer d.verification.end()
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	id, err := d.backend.checkHealth(ctx, d.healthPath())
	if err != nil {
		d.log.Log(events.HeartbeatRejected, d.instance.current().ID, "instance not verified: "+err.Error())
		return
	}
	_ = d.updateInstance(func(t *announce.Tracker) error { t.MarkVerified(id); return nil }) // always nil
}

// discoveredSlots is the assumed number of slots of a discovered backend server until its first heartbeat, which
// arrives within seconds. It is used only if the store has no number that the backend server announced earlier, and is
// lower than the slots of any backend server in use.
const discoveredSlots = 16

// recoverInstance finds out at the start of the daemon whether the backend server has left, as far as an earlier daemon knew
// it. It also checks whether a backend server already responds, so that after a restart of only the daemon it need not
// wait for the next heartbeat.
func (d *Daemon) recoverInstance(ctx context.Context) {
	d.tasks.Go(func() { d.discoverInstance(ctx) })
	d.recoverDepartures(ctx)
}

// zoneRecords returns the records of the zone in the store, none without a platform. The backend server is assumed to have
// the slots in the record of an earlier daemon at this address; if the summaries differ, the highest number counts.
func (d *Daemon) zoneRecords(ctx context.Context) []membership.Record {
	if d.relay == nil {
		return nil
	}
	records := d.relay.ZoneRecords(ctx)
	slots := 0
	for _, r := range records {
		if r.Address == d.settings.PeerAddress && r.Service == d.settings.Service {
			slots = max(slots, r.Slots)
		}
	}
	if slots == 0 {
		slots = discoveredSlots
	}
	_ = d.updateInstance(func(t *announce.Tracker) error { t.SetDiscoveredSlots(slots); return nil }) // always nil
	return records
}

// discoverInstance sends a health check to a backend server that may already take requests.
func (d *Daemon) discoverInstance(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	id, err := d.backend.checkHealth(ctx, d.healthPath())
	if err != nil {
		return // the backend server isn't up yet or is leaving; its heartbeats will show which
	}
	_ = d.updateInstance(func(t *announce.Tracker) error { t.Discover(d.now(), id); return nil }) // always nil
}

// healthPath returns the path of the health check: the one in the configuration, or platform.HealthPath.
func (d *Daemon) healthPath() string {
	if _, doc := d.config.Current(); doc != nil && doc.Services[d.settings.Service].HealthPath != "" {
		return doc.Services[d.settings.Service].HealthPath
	}
	return platform.HealthPath
}

// checkOverdueHeartbeat sends a health check to a backend server whose heartbeats are overdue, and marks it crashed if
// no response arrives. A backend server that has lost power sends nothing, and requests to it would wait until their
// deadlines. Any response shows that the backend server is alive, whatever its status.
func (d *Daemon) checkOverdueHeartbeat(ctx context.Context) {
	t := d.instance
	t.mu.Lock()
	overdue := t.tracker.Overdue(d.now())
	t.mu.Unlock()
	if !overdue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	var unhealthy *unhealthyError
	if _, err := d.backend.checkHealth(ctx, d.healthPath()); err != nil && !errors.As(err, &unhealthy) {
		_ = d.updateInstance(func(t *announce.Tracker) error { t.MarkCrashed(); return nil }) // always nil
	}
}

// instanceState returns the member state that follows from the state of the announced instance.
func (d *Daemon) instanceState() membership.State {
	switch d.instance.current().State {
	case announce.Ready:
		return membership.StateServing
	case announce.Leaving:
		return membership.StateLeaving
	default:
		return membership.StateStarting
	}
}

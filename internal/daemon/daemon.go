package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/admission"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/core/outcome"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/telemetry"
	"guavapoint.example/guavapoint/internal/transport"
)

const (
	// drainPoll is the interval at which a draining daemon checks whether it can exit.
	drainPoll = 20 * time.Millisecond
	// backendPoll is the interval at which the daemon checks whether its backend server accepts connections. Calls that fail
	// show a dead backend server earlier; the check finds it without calls.
	backendPoll = 500 * time.Millisecond
	// closeLimit bounds the closing of listeners after the drain; whatever is still open then was cut off by the drain limit.
	closeLimit = 2 * time.Second
	// headerReadLimit ends connections whose caller never completes a header.
	headerReadLimit = 10 * time.Second
	// maxHTTPHeader leaves room for the message's own fields within wire.MaxHeader, in bytes.
	maxHTTPHeader = 48 << 10
)

// Daemon is one guavapoint process beside a backend server. Its methods are safe for concurrent use.
type Daemon struct {
	settings    *settings.Settings
	log         *events.Logger
	telemetry   *telemetry.Telemetry
	incarnation call.Incarnation
	now         func() time.Time

	config    *config.Holder
	transport *transport.Transport
	members   *members
	services  *serviceTable
	hops      *hopTable
	gate      *gate
	tokens    *tokens
	suspects  *suspects
	drain     *drainState
	link      *routing.Link
	backend   *backend
	upstream  *upstream
	entry     *entry
	sync      *control.ConfigSync
	relay     *control.Relay         // nil without a platform
	preset    atomic.Pointer[string] // name of the active preset
	up        atomic.Bool            // the backend server accepts connections

	ready chan struct{} // closed when peers can be served
	tasks sync.WaitGroup
}

// New opens the daemon's sockets. The caller then calls Run.
func New(s *settings.Settings, log *events.Logger, tel *telemetry.Telemetry) (*Daemon, error) {
	base, err := url.Parse(s.Backend.URL)
	if err != nil {
		return nil, eris.Wrap(err, "backend server's URL")
	}
	d := &Daemon{
		settings:    s,
		log:         log,
		telemetry:   tel,
		incarnation: newIncarnation(),
		now:         time.Now,
		ready:       make(chan struct{}),
		config:      config.NewHolder(),
		drain:       newDrainState(s.DrainLimit),
		link:        routing.NewLink(routing.LinkConfig{}),
	}
	d.buildDecisions(base)
	if err := d.openTransport(); err != nil {
		return nil, err
	}
	d.buildRoles()
	if err := d.buildConfig(newRand()); err != nil {
		return nil, err
	}
	close(d.ready)
	return d, eris.Wrap(tel.Observe(d.gauges), "metrics")
}

func newIncarnation() call.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return call.Incarnation(binary.BigEndian.Uint64(b[:]))
}

func formatIncarnation(i call.Incarnation) string {
	return strconv.FormatUint(uint64(i), 16)
}

// buildDecisions creates the state machines and their locks.
func (d *Daemon) buildDecisions(base *url.URL) {
	d.hops = newHopTable(d.incarnation)
	d.gate = newGate(d.admissionConfig(nil), d.now)
	d.tokens = newTokens(outcome.Config{}, d.incarnation, d.now)
	d.suspects = newSuspects(quarantine.Config{}, d.now, d.spreadQuarantine)
	d.services = newServiceTable(newSeed(), d.newPicker, d.newRatio, d.now)
	crashes := newCrashDetector(func() bool { return d.backend.reachable() }, d.backendCrashed)
	d.backend = newBackend(base, d.settings.Backend.Connections, crashes, d.backendGone, d.now)
}

func newSeed() uint64 {
	return uint64(newIncarnation())
}

func newRand() *mrand.Rand {
	return mrand.New(mrand.NewPCG(newSeed(), newSeed()))
}

func (d *Daemon) newPicker(rng *mrand.Rand) *routing.Picker {
	return routing.NewPicker(routing.Config{Zone: d.settings.Zone, Region: d.settings.Region, Link: d.link}, rng)
}

func (d *Daemon) newRatio() *retry.Ratio {
	ratio := retry.DefaultRatio
	if _, doc := d.config.Current(); doc != nil {
		ratio = doc.ActivePreset().RetryRatio
	}
	return retry.NewRatio(retry.RatioConfig{Ratio: ratio, Floor: retry.DefaultFloor})
}

// admissionConfig returns the admission limits under a preset; before the first configuration arrives doc is nil.
func (d *Daemon) admissionConfig(doc *config.Document) admission.Config {
	cfg := admission.Config{Slots: d.settings.Backend.Slots}
	if doc == nil {
		return cfg
	}
	p := doc.ActivePreset()
	cfg.SlotShare = p.SlotShare
	cfg.ReservedShare = p.ReservedShare
	cfg.QueueDelay = p.QueueDelay
	cfg.LowestClass = p.LowestClass
	return cfg
}

func (d *Daemon) openTransport() error {
	tlsConfig, err := transport.LoadTLS(d.settings.TLS.Certificate, d.settings.TLS.Key, d.settings.TLS.Authority)
	if err != nil {
		return eris.Wrap(err, "certificates")
	}
	d.transport, err = transport.New(transport.Config{
		Address:  d.settings.PeerAddress,
		TLS:      tlsConfig,
		Handler:  d,
		Observer: connectionLog{d.log},
	})
	return eris.Wrap(err, "peer address")
}

// buildRoles creates the entry and the upstream side.
func (d *Daemon) buildRoles() {
	report := &reporter{log: d.log, telemetry: d.telemetry}
	d.upstream = &upstream{
		service:     d.settings.Service,
		self:        d.settings.PeerAddress,
		incarnation: d.incarnation,
		config:      d.config,
		drain:       d.drain,
		gate:        d.gate,
		tokens:      d.tokens,
		suspects:    d.suspects,
		hops:        d.hops,
		backend:     d.backend,
		report:      report,
		now:         d.now,
	}
	d.entry = &entry{
		config: d.config,
		hops:   d.hops,
		drain:  d.drain,
		dispatch: &dispatcher{
			self:     d.settings.PeerAddress,
			peers:    d.transport,
			config:   d.config,
			report:   report,
			services: d.services,
			seen:     d.seen,
			now:      d.now,
			rng:      newRand(),
		},
		report: report,
		now:    d.now,
	}
	d.members = newMembers(membership.Config{}, d.record(), d.settings.Peers, newRand(), d.transport, d.stamp, d.membersChanged, d.now)
}

// record describes this daemon to the others.
func (d *Daemon) record() membership.Record {
	return membership.Record{
		Address:     d.settings.PeerAddress,
		CallAddress: d.settings.CallAddress,
		Service:     d.settings.Service,
		Zone:        d.settings.Zone,
		Region:      d.settings.Region,
		Incarnation: d.incarnation,
		Seq:         uint64(d.now().UnixMilli()),
		State:       membership.StateStarting,
		Slots:       d.settings.Backend.Slots,
	}
}

func (d *Daemon) membersChanged(changes []membership.Record) {
	d.logMembers(changes, d.services.record)
	d.services.apply(changes, d.members.servingSince)
}

// Run serves until the context ends and the daemon has drained. It returns an error when a listener fails or the drain
// limit has cut requests off.
func (d *Daemon) Run(ctx context.Context) error {
	started := d.now()
	calls, err := net.Listen("tcp", d.settings.CallAddress)
	if err != nil {
		return eris.Wrap(err, "call address")
	}
	admin, err := net.Listen("tcp", d.settings.AdminAddress)
	if err != nil {
		calls.Close()
		return eris.Wrap(err, "admin address")
	}
	background, stop := context.WithCancel(context.Background())
	defer d.tasks.Wait()
	defer stop()
	servers := []*http.Server{d.serve(calls, d.entry.router()), d.serve(admin, d.adminRouter())}
	d.log.Log(events.DaemonStarting, nil, d.settings.PeerAddress, d.settings.CallAddress, d.settings.AdminAddress,
		d.settings.Backend.URL)
	d.start(background)
	d.log.Log(events.DaemonServing, d.now().Sub(started).String())
	stopDrain := context.AfterFunc(ctx, d.Drain)
	defer stopDrain()
	cut := d.awaitDrain()
	return d.close(servers, cut)
}

// serve starts an HTTP server on a listener.
func (d *Daemon) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerReadLimit, MaxHeaderBytes: maxHTTPHeader}
	d.tasks.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Log(events.ListenerFailed, nil, l.Addr().String(), err.Error())
		}
	})
	return s
}

// start runs the periodic tasks until the context ends.
func (d *Daemon) start(ctx context.Context) {
	d.tasks.Go(func() { d.members.run(ctx) })
	d.tasks.Go(func() { d.watchBackend(ctx) })
	d.tasks.Go(func() { d.tick(ctx) })
	d.tasks.Go(func() { d.runSync(ctx) })
	d.tasks.Go(func() { d.runContracts(ctx) })
	d.tasks.Go(func() { d.runQuarantine(ctx, newRand()) })
	if d.relay != nil {
		d.tasks.Go(func() { d.relay.Run(ctx, relayInterval) })
	}
}

// watchBackend announces whether the backend server accepts connections, which is how a backend server becomes known.
func (d *Daemon) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(backendPoll)
	defer ticker.Stop()
	for {
		if !d.backend.reachable() {
			d.backendGone()
		} else if d.up.CompareAndSwap(false, true) && !d.drain.draining() {
			d.members.setState(membership.StateServing)
			d.log.Log(events.BackendAvailable, nil)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// backendCrashed records the requests that were in flight when the backend server died.
func (d *Daemon) backendCrashed(inFlight []quarantine.Fingerprint) {
	d.log.Log(events.BackendCrashed, len(inFlight), nil)
	d.suspects.crashed(inFlight)
	d.backendGone()
}

// backendGone tells the others to send nothing until the backend server accepts connections again.
func (d *Daemon) backendGone() {
	if d.up.CompareAndSwap(true, false) && !d.drain.draining() {
		d.members.setState(membership.StateStarting)
	}
}

func (d *Daemon) memberState() membership.State {
	switch {
	case d.drain.draining():
		return membership.StateLeaving
	case d.up.Load():
		return membership.StateServing
	default:
		return membership.StateStarting
	}
}

// Drain starts a graceful shutdown. New work is refused at once, whether or not the others have heard.
func (d *Daemon) Drain() {
	if d.drain.draining() {
		return
	}
	d.drain.begin(d.now())
	d.members.setState(membership.StateLeaving)
	d.log.Log(events.DrainBegun, nil, d.drain.inFlight(), d.settings.DrainLimit.String())
}

// awaitDrain waits until the daemon may exit, and returns the number of requests that the limit cut off.
func (d *Daemon) awaitDrain() int {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for range ticker.C {
		if d.drain.done(d.now()) {
			return d.drain.inFlight()
		}
	}
	return 0
}

// close closes the listeners.
func (d *Daemon) close(servers []*http.Server, cut int) error {
	limit := closeLimit
	if cut > 0 {
		limit = 0 // the drain limit has passed already
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	_ = d.transport.Close(ctx) // streams that are open now were counted in cut
	if cut > 0 {
		d.log.Log(events.DrainLimit, cut, d.settings.DrainLimit.String())
		return &CutOffError{Requests: cut}
	}
	d.log.Log(events.DrainFinished, nil)
	d.log.Log(events.DaemonStopped, nil)
	return nil
}

// CutOffError reports a drain that reached its limit with requests in flight.
type CutOffError struct {
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("drain limit reached with %d requests in flight", e.Requests)
}

package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	mrand "math/rand/v2"
	"net"
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
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/core/retry"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/telemetry"
	"guavapoint.example/guavapoint/internal/transport"
)

// Daemon is one guavapoint process beside a backend server. Its methods are safe for concurrent use.
type Daemon struct {
	settings    *settings.Settings
	log         *events.Logger
	telemetry   *telemetry.Telemetry
	incarnation call.Incarnation
	now         func() time.Time

	callListener  net.Listener // for callers and the backend server
	adminListener net.Listener
	ingress       ingressListeners // nil listeners without an ingress
	instance      *instanceTracker // nil where the settings tell the backend server's slots
	config        *config.Holder
	transport     *transport.Transport
	members       *members
	services      *serviceTable
	hops          *hopTable
	admission     *admissionQueue
	tokens        *tokenTable
	quarantine    *quarantineTable
	drain         *drainState
	link          *routing.Link
	backend       *backend
	refusals      *refusalTracker
	upstream      *upstream
	entry         *entry
	configSync    *control.ConfigSync
	relay         *control.Relay         // nil without a platform
	activePreset  atomic.Pointer[string] // name of the active preset
	backendUp     atomic.Bool            // the backend server accepts connections
	stopping      atomic.Bool            // a graceful shutdown was asked for

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
		drain:       newDrainState(drainTimes(s)),
		link:        routing.NewLink(routing.LinkConfig{}),
	}
	d.buildStateMachines(base)
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	d.buildEntryAndUpstream()
	if err := d.buildConfigSync(newRand()); err != nil {
		d.closeSockets()
		return nil, err
	}
	close(d.ready)
	return d, eris.Wrap(tel.RegisterGauges(d.gauges), "metrics")
}

// listen binds all addresses.
func (d *Daemon) listen() error {
	var err error
	if d.callListener, err = net.Listen("tcp", d.settings.CallAddress); err != nil {
		return eris.Wrap(err, "call address")
	}
	if d.adminListener, err = net.Listen("tcp", d.settings.AdminAddress); err != nil {
		return eris.Wrap(err, "admin address")
	}
	if d.settings.Ingress != nil {
		if d.ingress, err = openIngress(d.settings.Ingress); err != nil {
			return err
		}
	}
	return d.openTransport()
}

// closeSockets closes what open has bound, at once.
func (d *Daemon) closeSockets() {
	for _, l := range []net.Listener{d.callListener, d.adminListener, d.ingress.calls, d.ingress.ready, d.ingress.announce} {
		if l != nil {
			l.Close()
		}
	}
	if d.transport != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.transport.Close(ctx) // no stream has been served
	}
}

func newIncarnation() call.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return call.Incarnation(binary.BigEndian.Uint64(b[:]))
}

func formatIncarnation(i call.Incarnation) string {
	return strconv.FormatUint(uint64(i), 16)
}

// buildStateMachines creates the state machines and their locks.
func (d *Daemon) buildStateMachines(base *url.URL) {
	d.hops = newHopTable(d.incarnation)
	d.admission = newAdmissionQueue(d.admissionConfig(nil), d.now)
	d.tokens = newTokenTable(outcomeConfig(d.settings), d.incarnation, d.now)
	d.quarantine = newQuarantineTable(quarantine.Config{}, d.now, d.broadcastQuarantine)
	d.services = newServiceTable(newSeed(), d.newPicker, d.newRatioLimiter, d.now)
	if d.settings.Backend.Announced {
		d.instance = newInstanceTracker(d.settings.Service, d.now)
	}
	crashes := newCrashDetector(func() bool { return d.backend.reachable() }, d.handleBackendCrash)
	d.backend = newBackend(base, crashes, d.markBackendDown, d.log, d.now)
	d.backend.instance = d.instance
	d.refusals = &refusalTracker{now: d.now}
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

func (d *Daemon) newRatioLimiter() *retry.RatioLimiter {
	ratio := retry.DefaultRatio
	if _, doc := d.config.Current(); doc != nil {
		ratio = doc.ActivePreset().RetryRatio
	}
	if d.settings.Ingress == nil {
		return retry.NewRatioLimiter(retry.RatioLimiterConfig{Ratio: ratio, Floor: retry.DefaultFloor})
	}
	return retry.NewRatioLimiter(d.ingressRatioConfig(ratio))
}

// retryBoundShare is the part of the deployment's bounds on repeated requests that daemons use. The rest is for what they
// can't count alike: their windows differ, and so do their numbers of live daemons.
const retryBoundShare = 0.5

// ingressRatioConfig keeps this daemon's share of the bounds that hold for all daemons together, without talking to them: the
// same ratio of its own requests, and an equal part of the number on top.
func (d *Daemon) ingressRatioConfig(ratio float64) retry.RatioLimiterConfig {
	b := d.settings.Bounds
	alive := 0
	for _, r := range d.members.records() {
		if r.Alive() {
			alive++
		}
	}
	return retry.RatioLimiterConfig{
		Ratio:  min(ratio, retryBoundShare*b.RetryRatio),
		Window: b.RetryWindow,
		Floor:  int(retryBoundShare * float64(b.RetrySlack) / float64(max(alive, 1))),
	}
}

// admissionConfig returns the admission limits under a preset; before the first configuration arrives doc is nil.
func (d *Daemon) admissionConfig(doc *config.Document) admission.Config {
	cfg := admission.Config{Slots: d.slots(), SlotsAnnounced: d.instance != nil}
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

// loadTLS reads the files that the settings name. It returns nil, for plain connections, where they name none.
func (d *Daemon) loadTLS() (*tls.Config, error) {
	files := d.settings.TLS
	if !files.Configured() {
		d.log.Log(events.PeersUnauthenticated)
		return nil, nil
	}
	return transport.LoadTLS(files.Certificate, files.Key, files.Authority)
}

func (d *Daemon) openTransport() error {
	tlsConfig, err := d.loadTLS()
	if err != nil {
		return eris.Wrap(err, "certificates")
	}
	d.transport, err = transport.New(transport.Config{
		Address:  bindAddress(d.settings),
		TLS:      tlsConfig,
		Handler:  d,
		Observer: connectionLog{d.log},
	})
	return eris.Wrap(err, "peer address")
}

// bindAddress returns the address on which other daemons are served.
func bindAddress(s *settings.Settings) string {
	if s.PeerBind != "" {
		return s.PeerBind
	}
	return s.PeerAddress
}

// buildEntryAndUpstream creates the entry and the upstream side.
func (d *Daemon) buildEntryAndUpstream() {
	report := &reporter{log: d.log, telemetry: d.telemetry}
	d.upstream = &upstream{
		service:     d.settings.Service,
		self:        d.settings.PeerAddress,
		incarnation: d.incarnation,
		config:      d.config,
		drain:       d.drain,
		admission:   d.admission,
		instance:    d.instance,
		tokens:      d.tokens,
		quarantine:  d.quarantine,
		hops:        d.hops,
		backend:     d.backend,
		failures:    &failureMeter{now: d.now},
		refusals:    d.refusals,
		report:      report,
		now:         d.now,
	}
	d.entry = &entry{
		config:   d.config,
		hops:     d.hops,
		drain:    d.drain,
		refusals: d.refusals,
		dispatch: &dispatcher{
			self:           d.settings.PeerAddress,
			peers:          d.transport,
			config:         d.config,
			report:         report,
			services:       d.services,
			observeVersion: d.recordPeerVersion,
			now:            d.now,
			rng:            newRand(),
		},
		report: report,
		now:    d.now,
	}
	d.members = newMembers(membership.Config{}, d.record(), d.settings.Peers, newRand(), d.transport, d.setSenderFields, d.membersChanged, d.now)
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
		Slots:       d.slots(),
	}
}

// slots returns the requests that the backend server runs at once, as announced or as the settings say.
func (d *Daemon) slots() int {
	if d.instance != nil {
		return max(d.instance.current().Slots, 1)
	}
	return d.settings.Backend.Slots
}

func (d *Daemon) membersChanged(changes []membership.Record) {
	d.logMembers(changes, d.services.latestRecord)
	d.services.apply(changes, d.members.servingSince)
}

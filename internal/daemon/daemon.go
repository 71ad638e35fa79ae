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
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
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

	clients       *intake.Intake // of clients that send requests
	operators     *intake.Intake // of the listeners for control
	callListener  net.Listener   // for calls of callers and of the backend server
	adminListener net.Listener
	ingress       ingressListeners // the listeners are nil without an ingress
	instance      *instanceTracker // nil if the settings give the slots, without announcements
	departures    *departureKeeper
	told          toldDepartures
	verification  verification
	started       time.Time
	config        *config.Holder
	transport     *transport.Transport
	members       *members
	services      *serviceTable
	hops          *hopTable
	admission     *admissionQueue
	tokens        *tokenTable
	quarantine    *quarantineTable
	witnessed     witnessedQuarantine
	drain         *drainState
	link          *routing.Link
	backend       *backend
	refusals      *refusalTracker
	upstream      *upstream
	entry         *entry
	configSync    *control.ConfigSync
	relay         *control.Relay         // nil without a platform
	activePreset  atomic.Pointer[string] // name of the active preset
	backendUp     atomic.Bool            // the backend server takes requests
	stopping      atomic.Bool            // a graceful shutdown was requested

	ready chan struct{} // closed when messages of peers can be handled
	tasks sync.WaitGroup
}

// New creates a daemon and opens its sockets; the caller then calls Run. It returns an error if a setting is invalid or
// a socket can't be opened.
func New(s *settings.Settings, log *events.Logger, tel *telemetry.Telemetry) (*Daemon, error) {
	return newStartedAt(time.Now(), s, log, tel)
}

// newStartedAt is New for a daemon that says that it was started at the given time.
func newStartedAt(started time.Time, s *settings.Settings, log *events.Logger, tel *telemetry.Telemetry) (*Daemon, error) {
	base, err := url.Parse(s.Backend.URL)
	if err != nil {
		return nil, eris.Wrap(err, "backend server URL in the settings")
	}
	d := &Daemon{
		settings:    s,
		log:         log,
		telemetry:   tel,
		incarnation: newIncarnation(),
		started:     started,
		now:         time.Now,
		ready:       make(chan struct{}),
		config:      config.NewHolder(),
		drain:       newDrainState(drainTimesFor(s)),
		link:        routing.NewLink(routing.LinkConfig{}),
	}
	d.buildIntakes()
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
	return d, eris.Wrap(tel.RegisterGauges(d.gauges), "register metric gauges")
}

// listen opens the listeners and the transport on the addresses in the settings.
func (d *Daemon) listen() error {
	var err error
	if d.callListener, err = d.clients.Listen(d.settings.CallAddress); err != nil {
		return eris.Wrap(err, "open listener on the call address")
	}
	if d.adminListener, err = d.operators.Listen(d.settings.AdminAddress); err != nil {
		return eris.Wrap(err, "open listener on the admin address")
	}
	if d.settings.Ingress != nil {
		if d.ingress, err = openIngress(d.settings.Ingress, d.clients, d.operators); err != nil {
			return err
		}
	}
	return d.openTransport()
}

// closeSockets closes the sockets that listen has opened, without waiting for requests.
func (d *Daemon) closeSockets() {
	for _, l := range []net.Listener{d.callListener, d.adminListener, d.ingress.calls, d.ingress.ready,
		d.ingress.announce} {
		if l != nil {
			l.Close()
		}
	}
	if d.transport != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.transport.Close(ctx) // no stream has been served yet, so none can be cut off
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

// buildStateMachines creates the state machines, each with its lock.
func (d *Daemon) buildStateMachines(base *url.URL) {
	d.hops = newHopTable(d.incarnation)
	d.admission = newAdmissionQueue(d.admissionConfig(nil), d.now)
	d.tokens = newTokenTable(outcomeConfig(d.settings), d.incarnation, d.now)
	d.quarantine = newQuarantineTable(quarantine.Config{}, d.now, d.broadcastQuarantine)
	d.services = newServiceTable(newSeed(), d.newPicker, d.newRetryLimiter, d.now)
	if d.settings.Backend.Announced {
		d.instance = newInstanceTracker(d.settings.Service, d.now)
	}
	d.departures = &departureKeeper{tell: d.tellDepartures, report: d.logDeparture, saving: make(chan struct{}, 1)}
	crashes := newCrashDetector(func() bool { return d.backend.reachable() }, d.handleBackendCrash)
	d.backend = newBackend(base, crashes, d.markBackendDown, d.log, d.now)
	d.backend.instance = d.instance
	d.backend.slotsTaken = d.admission.full
	d.backend.recordReport = d.recordReport
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

// admissionConfig returns the admission limits of the document's active preset. Before the first configuration arrives
// doc is nil, and the limits are the defaults.
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

// loadTLS loads the certificate, key and authority that the settings name. If they name none, it logs that peers are
// not authenticated and returns nil, which means connections without TLS.
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
		return eris.Wrap(err, "load TLS certificates")
	}
	d.transport, err = transport.New(transport.Config{
		Address:  bindAddress(d.settings),
		TLS:      tlsConfig,
		Handler:  d,
		Observer: connectionLog{d.log},
	})
	return eris.Wrapf(err, "open transport on %s", bindAddress(d.settings))
}

// bindAddress returns the local address of the transport. It differs from the peer address, which the other daemons
// connect to, if the settings give a peer_bind.
func bindAddress(s *settings.Settings) string {
	if s.PeerBind != "" {
		return s.PeerBind
	}
	return s.PeerAddress
}

// buildEntryAndUpstream creates the two roles of the daemon, and the membership that finds their peers.
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
		held:        d.clients,
		report:      report,
		now:         d.now,
	}
	d.entry = &entry{
		config:   d.config,
		hops:     d.hops,
		drain:    d.drain,
		refusals: d.refusals,
		held:     d.clients,
		dispatch: &dispatcher{
			self:           d.settings.PeerAddress,
			peers:          d.transport,
			config:         d.config,
			report:         report,
			services:       d.services,
			drain:          d.drain,
			held:           d.clients,
			observeVersion: d.recordPeerVersion,
			now:            d.now,
			rng:            newRand(),
		},
		report: report,
		now:    d.now,
	}
	d.members = newMembers(membership.Config{}, d.record(), d.settings.Peers, newRand(), d.transport, d.setSenderFields,
		d.membersChanged, d.now)
}

// record returns the membership record with which this daemon joins the others.
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

// slots returns the number of requests that the backend server runs at once: the announced number, at least 1, or the
// one in the settings.
func (d *Daemon) slots() int {
	if d.instance != nil {
		return max(d.instance.current().Slots, 1)
	}
	return d.settings.Backend.Slots
}

// membersChanged logs changes of the membership and updates the candidate upstreams of the services. The order matters:
// the log compares the changes with the records that apply replaces.
func (d *Daemon) membersChanged(changes []membership.Record) {
	d.logMembers(changes, d.services.latestRecord)
	d.services.apply(changes, d.members.servingSince)
}

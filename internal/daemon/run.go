package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/internal/settings"
)

const (
	// drainPollInterval is the interval at which a draining daemon checks whether it can exit.
	drainPollInterval = 20 * time.Millisecond
	// backendPollInterval is the interval at which the daemon checks whether its backend server accepts connections.
	// Failing calls detect a crashed backend server earlier; the check detects it when there are no calls.
	backendPollInterval = 500 * time.Millisecond
	// closeTimeout bounds the closing of the listeners after the drain. Requests that are still in flight then have
	// already exceeded the drain limit.
	closeTimeout = 2 * time.Second
	// ingressCloseTimeout replaces closeTimeout on a daemon with an ingress, see closeTimeoutFor.
	ingressCloseTimeout = 200 * time.Millisecond
	// headerReadTimeout closes connections on which a request header isn't complete after this time.
	headerReadTimeout = 10 * time.Second
	// maxHTTPHeaderSize is the maximum size of a request header in bytes. It is below wire.MaxHeaderSize, so that the
	// message between daemons has room for its own fields beside the forwarded header.
	maxHTTPHeaderSize = 48 << 10
)

// Run serves until ctx ends or Drain is called, and the drain that follows is over. It returns a *CutOffError if
// requests were still in flight at the drain limit.
func (d *Daemon) Run(ctx context.Context) error {
	started := d.now()
	background, stop := context.WithCancel(context.Background())
	defer d.tasks.Wait()
	defer stop()
	servers := []*http.Server{d.serve(d.callListener, d.entry.router()), d.serve(d.adminListener, d.adminRouter())}
	servers = append(servers, d.serveIngress()...)
	d.log.Log(events.DaemonStarting, nil, d.settings.PeerAddress, d.settings.CallAddress, d.settings.AdminAddress,
		d.settings.Backend.URL)
	d.startTasks(background)
	d.log.Log(events.DaemonServing, d.now().Sub(started).String())
	stopDrain := context.AfterFunc(ctx, d.Drain)
	defer stopDrain()
	cutOff := d.awaitDrain(servers[firstIngressServer:])
	return d.close(servers, cutOff)
}

// serveIngress starts the HTTP servers of the ingress and returns them, the one for calls first. It returns nil if the
// settings have no ingress.
func (d *Daemon) serveIngress() []*http.Server {
	if d.settings.Ingress == nil {
		return nil
	}
	calls := newIngress(d.entry, d.settings.Service, newRand())
	return []*http.Server{
		d.serveWithIdleTimeout(d.ingress.calls, calls, ingressIdleTimeout),
		d.serve(d.ingress.ready, d.readyHandler()),
		d.serve(d.ingress.announce, d.instanceRouter()),
	}
}

// serve starts an HTTP server on a listener. It doesn't close idle connections.
func (d *Daemon) serve(l net.Listener, h http.Handler) *http.Server {
	return d.serveWithIdleTimeout(l, h, 0)
}

// serveWithIdleTimeout starts an HTTP server on a listener that closes connections after they were idle for a time; 0
// means never.
func (d *Daemon) serveWithIdleTimeout(l net.Listener, h http.Handler, idle time.Duration) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHTTPHeaderSize,
		IdleTimeout: idle, ConnContext: withCallSequence}
	intake.Configure(s, refuseWithoutRoom)
	d.tasks.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Log(events.ListenerFailed, nil, l.Addr().String(), err.Error())
		}
	})
	return s
}

// startTasks starts the background tasks, which run until the context ends.
func (d *Daemon) startTasks(ctx context.Context) {
	d.tasks.Go(func() { d.members.run(ctx) })
	if d.instance == nil {
		d.tasks.Go(func() { d.pollBackend(ctx) })
		d.tasks.Go(func() { d.recoverQuarantine(ctx) })
	} else {
		d.tasks.Go(func() { d.recoverInstance(ctx) })
		d.tasks.Go(func() { d.departures.run(ctx) })
	}
	d.tasks.Go(func() { d.runMaintenance(ctx) })
	d.tasks.Go(func() { d.runConfigSync(ctx) })
	d.tasks.Go(func() { d.runContractWarnings(ctx) })
	d.tasks.Go(func() { d.runQuarantine(ctx, newRand()) })
	if d.relay != nil {
		d.tasks.Go(func() { d.relay.Run(ctx, relayInterval) })
	}
}

// pollBackend checks periodically whether the backend server accepts connections, and announces this daemon as serving
// or starting accordingly. It is used where the backend server doesn't announce itself by heartbeats.
func (d *Daemon) pollBackend(ctx context.Context) {
	ticker := time.NewTicker(backendPollInterval)
	defer ticker.Stop()
	for {
		if !d.backend.reachable() {
			d.markBackendDown()
		} else if d.backendUp.CompareAndSwap(false, true) && !d.drain.draining() {
			d.members.setState(membership.StateServing)
			d.log.Log(events.BackendServerAvailable, nil)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// handleBackendCrash records the requests that were in flight when the backend server crashed as suspects, and marks
// the backend server down.
func (d *Daemon) handleBackendCrash(inFlight []quarantine.Fingerprint) {
	d.log.Log(events.BackendServerCrashed, len(inFlight), nil)
	d.quarantine.reportCrash(inFlight)
	d.markBackendDown()
}

// markBackendDown announces that this daemon doesn't serve, so that other daemons send no requests until the backend
// server accepts connections again.
func (d *Daemon) markBackendDown() {
	if d.instance != nil {
		_ = d.updateInstance(func(t *announce.Tracker) error { t.MarkCrashed(); return nil }) // always nil
		return
	}
	if d.backendUp.CompareAndSwap(true, false) && !d.drain.draining() {
		d.members.setState(membership.StateStarting)
	}
}

// memberState returns the state that this daemon announces to the others.
func (d *Daemon) memberState() membership.State {
	switch {
	case d.drain.draining():
		return membership.StateLeaving
	case d.instance != nil:
		return d.instanceState()
	case d.backendUp.Load():
		return membership.StateServing
	default:
		return membership.StateStarting
	}
}

// Drain starts a graceful shutdown and returns at once; further calls have no effect. Without an ingress, new requests
// are refused from now on, whether or not the announcement has reached the other daemons. With an ingress, they are
// refused once readinessDelay has passed.
func (d *Daemon) Drain() {
	if !d.stopping.CompareAndSwap(false, true) {
		return
	}
	if d.settings.Ingress == nil {
		d.beginDrain()
		return
	}
	d.drain.announce(d.now().Add(readinessDelay))
	time.AfterFunc(readinessDelay, d.beginDrain)
}

// beginDrain refuses new requests for the backend server from now on, and announces that the daemon is leaving.
func (d *Daemon) beginDrain() {
	d.drain.begin(d.now())
	d.members.setState(membership.StateLeaving)
	d.sendQuarantineToAll(d.quarantine.records())
	d.log.Log(events.DrainBegun, nil, d.drain.inFlight(), d.settings.DrainLimit.String())
}

// firstIngressServer is the index of the first ingress server in Run's list of servers, after those of the call
// listener and the admin listener.
const firstIngressServer = 2

// awaitDrain waits until the daemon may exit, and returns the number of requests that are still in flight at the drain
// limit. It stops the calls server of the ingress, if there is one, when the shortest drain time has passed.
func (d *Daemon) awaitDrain(ingress []*http.Server) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for range ticker.C {
		if len(ingress) > 0 && d.drain.minTimePassed(d.now()) {
			calls := ingress[0]
			d.tasks.Go(func() { _ = calls.Shutdown(context.Background()) }) // Daemon.close ends the connections that remain
			ingress = nil
		}
		if d.drain.canExit(d.now()) {
			return d.drain.inFlight()
		}
	}
	return 0
}

// closeTimeoutFor returns the timeout for closing the listeners. With an ingress all requests have ended by then. The
// connections that remain are those on which no request was sent, for which net/http would wait for seconds.
func closeTimeoutFor(s *settings.Settings) time.Duration {
	if s.Ingress != nil {
		return ingressCloseTimeout
	}
	return closeTimeout
}

// close closes the HTTP servers and the transport and logs the end of the drain. cutOff is the number of requests in
// flight at the drain limit; close returns a *CutOffError if there are any.
func (d *Daemon) close(servers []*http.Server, cutOff int) error {
	limit := closeTimeoutFor(d.settings)
	if cutOff > 0 {
		limit = 0 // the drain limit has already passed
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	_ = d.transport.Close(ctx) // streams that are still open are already counted in cutOff
	if cutOff > 0 {
		d.log.Log(events.DrainLimitPassed, cutOff, d.settings.DrainLimit.String())
		return &CutOffError{Requests: cutOff}
	}
	d.log.Log(events.DrainFinished, nil)
	d.log.Log(events.DaemonStopped, nil)
	return nil
}

// CutOffError reports a drain that reached its limit with requests in flight.
type CutOffError struct {
	Requests int // in flight at the limit
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("drain limit reached with %d requests in flight", e.Requests)
}

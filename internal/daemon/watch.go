package daemon

import (
	"context"
	"crypto/x509"
	"encoding/pem"
	"os"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/membership"
	"guavapoint.example/guavapoint/internal/core/quarantine"
	"guavapoint.example/guavapoint/internal/events"
)

const (
	// tickInterval is the interval at which tables forget what has expired and changes are logged.
	tickInterval = time.Second
	// certificateNotice is the time before the certificate's expiry from which it is announced. It leaves two weeks for a
	// replacement.
	certificateNotice = 14 * 24 * time.Hour
	// certificateInterval is the interval of these announcements.
	certificateInterval = 24 * time.Hour
)

// watcher logs what changes between two ticks. Only the tick goroutine uses it.
type watcher struct {
	shedding    time.Time // when requests began to be shed; zero while none are
	relay       bool
	platform    time.Time // when the platform became unreachable; zero while it answers
	certificate time.Time // of the last announcement
}

// watch compares the present state with that of the last tick.
func (d *Daemon) watch(w *watcher, now time.Time) {
	d.watchShedding(w, now)
	if d.relay != nil {
		d.watchRelay(w, now)
	}
	if v, _ := d.config.Current(); v.IsZero() {
		d.log.Log(events.ConfigMissing)
	}
	if now.Sub(w.certificate) >= certificateInterval {
		w.certificate = now
		d.watchCertificate(now)
	}
}

func (d *Daemon) watchShedding(w *watcher, now time.Time) {
	cutoff := d.gate.cutoff()
	switch {
	case cutoff > 0 && w.shedding.IsZero():
		w.shedding = now
		load := d.gate.load()
		d.log.Log(events.OverloadBegun, load.Limit, load.InFlight, load.Waiting, uint32(cutoff))
	case cutoff == 0 && !w.shedding.IsZero():
		d.log.Log(events.OverloadEnded, now.Sub(w.shedding).String())
		w.shedding = time.Time{}
	}
}

func (d *Daemon) watchRelay(w *watcher, now time.Time) {
	if active := d.relay.HoldsLease(); active != w.relay {
		w.relay = active
		if active {
			d.log.Log(events.RelayLeaseTaken)
		} else {
			d.log.Log(events.RelayLeaseLost)
		}
	}
	switch down := d.relay.PlatformDown(); {
	case down && w.platform.IsZero():
		w.platform = now
	case !down && !w.platform.IsZero():
		d.log.Log(events.PlatformAvailable, now.Sub(w.platform).String())
		w.platform = time.Time{}
	}
}

// watchCertificate announces that the daemon's certificate expires soon.
func (d *Daemon) watchCertificate(now time.Time) {
	data, err := os.ReadFile(d.settings.TLS.Certificate)
	if err != nil {
		return // it was read at the start and may have been removed since
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err == nil && certificate.NotAfter.Sub(now) < certificateNotice {
		d.log.Log(events.CertificateExpiring, certificate.NotAfter.UTC().Format(time.RFC3339))
	}
}

// logMembers logs changes of other members.
func (d *Daemon) logMembers(changes []membership.Record, before func(address string) (membership.Record, bool)) {
	for _, r := range changes {
		old, known := before(r.Address)
		if r.Address == d.settings.PeerAddress || known && old.State == r.State && old.Incarnation == r.Incarnation {
			continue
		}
		incarnation := formatIncarnation(r.Incarnation)
		switch {
		case r.State == membership.StateDown:
			d.log.Log(events.MemberDown, r.Address, incarnation)
		case r.State == membership.StateSuspect:
			d.log.Log(events.MemberSuspect, r.Address, incarnation)
		case !known || old.Incarnation != r.Incarnation:
			d.log.Log(events.MemberJoined, r.Address, r.Service, r.Zone, incarnation)
		default:
			d.log.Log(events.MemberChanged, r.Address, incarnation, old.State.String(), r.State.String())
		}
	}
}

// logQuarantine logs records that changed on this daemon.
func (d *Daemon) logQuarantine(records []quarantine.Record) {
	now := d.now()
	suspects := 0
	for _, r := range records {
		switch r.StateAt(now) {
		case quarantine.Suspect:
			suspects++
		case quarantine.Confirmed:
			d.log.Log(events.FingerprintConfirmed, r.Fingerprint.String(), r.ConfirmedUntil.UTC().Format(time.RFC3339))
		default:
			d.log.Log(events.SuspectCleared, r.Fingerprint.String())
		}
	}
	if suspects > 0 {
		d.log.Log(events.SuspectsRecorded, suspects)
	}
}

// tick lets tables forget what has expired, and logs what has changed.
func (d *Daemon) tick(ctx context.Context) {
	var w watcher
	every(ctx, tickInterval, func() {
		d.tokens.tick()
		d.suspects.tick()
		d.watch(&w, d.now())
		if d.announced != nil {
			d.checkOverdue(ctx)
		}
	})
}

// every calls f at each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// logMalformed logs a request that was rejected before it was accepted.
func (r *reporter) logMalformed(remote string, err error) {
	r.log.Log(events.RequestMalformed, remote, err.Error())
}

// logRefusal logs the refusals that an operator can do something about.
func (r *reporter) logRefusal(req *request, reason call.Reason) {
	switch reason {
	case call.ReasonNoUpstream:
		r.log.Log(events.NoUpstream, req.service)
	case call.ReasonTableFull:
		r.log.Log(events.TokenTableFull, nil)
	case call.ReasonLinkBudget:
		r.log.Log(events.LinkBudgetSpent, req.service, nil)
	case call.ReasonQuarantined:
		r.log.Log(events.RequestQuarantined, nil, req.rootID)
	}
}

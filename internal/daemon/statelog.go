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
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
)

const (
	// maintenanceInterval is the interval at which expired table entries are removed and state changes are logged.
	maintenanceInterval = time.Second
	// certificateWarningPeriod is the time before the expiry of the certificate from which a warning is logged. It
	// leaves two weeks for a replacement.
	certificateWarningPeriod = 14 * 24 * time.Hour
	// certificateWarningInterval is the interval at which the warning is repeated.
	certificateWarningInterval = 24 * time.Hour
)

// loggedState is the state as last logged, with which logChanges compares the present one. Only the goroutine of
// runMaintenance uses it.
type loggedState struct {
	overloadSince     time.Time // when the cutoff rose above zero; zero without overload
	relayLeaseHeld    bool      // this daemon held a relay lease
	platformDownSince time.Time // when the platform became unreachable; zero while it responds
	certificateLogged time.Time // when the expiry of the certificate was last checked
}

// logChanges logs how the present state differs from last, and updates last. It warns at each call while there is no
// configuration.
func (d *Daemon) logChanges(last *loggedState, now time.Time) {
	d.logOverload(last, now)
	if d.relay != nil {
		d.logRelay(last, now)
	}
	if v, _ := d.config.Current(); v.IsZero() {
		d.log.Log(events.ConfigMissing)
	}
	if now.Sub(last.certificateLogged) >= certificateWarningInterval {
		last.certificateLogged = now
		d.logCertificateExpiry(now)
	}
}

// logOverload logs the start and the end of an overload, which lasts while the cutoff is above zero.
func (d *Daemon) logOverload(last *loggedState, now time.Time) {
	cutoff := d.admission.cutoff()
	switch {
	case cutoff > 0 && last.overloadSince.IsZero():
		last.overloadSince = now
		load := d.admission.load()
		d.log.Log(events.OverloadBegun, load.Limit, load.InFlight, load.Waiting, uint32(cutoff))
	case cutoff == 0 && !last.overloadSince.IsZero():
		d.log.Log(events.OverloadEnded, now.Sub(last.overloadSince).String())
		last.overloadSince = time.Time{}
	}
}

// logRelay logs that this daemon has taken or lost a relay lease, and that the platform is available again after an
// outage.
func (d *Daemon) logRelay(last *loggedState, now time.Time) {
	if held := d.relay.HoldsLease(); held != last.relayLeaseHeld {
		last.relayLeaseHeld = held
		if held {
			d.log.Log(events.RelayLeaseTaken)
		} else {
			d.log.Log(events.RelayLeaseLost)
		}
	}
	switch down := d.relay.PlatformDown(); {
	case down && last.platformDownSince.IsZero():
		last.platformDownSince = now
	case !down && !last.platformDownSince.IsZero():
		d.log.Log(events.PlatformAvailable, now.Sub(last.platformDownSince).String())
		last.platformDownSince = time.Time{}
	}
}

// logCertificateExpiry logs a warning if the daemon's certificate expires within certificateWarningPeriod.
func (d *Daemon) logCertificateExpiry(now time.Time) {
	data, err := os.ReadFile(d.settings.TLS.Certificate)
	if err != nil {
		return // the file was readable at the start and may have been removed since
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err == nil && certificate.NotAfter.Sub(now) < certificateWarningPeriod {
		d.log.Log(events.CertificateExpiring, certificate.NotAfter.UTC().Format(time.RFC3339))
	}
}

// logMembers logs changed records of other members if their state or incarnation differs from that of the earlier
// record. earlierRecord returns the earlier record of an address; its second result is false if there is none.
func (d *Daemon) logMembers(changes []membership.Record, earlierRecord func(address string) (membership.Record, bool)) {
	for _, r := range changes {
		old, known := earlierRecord(r.Address)
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

// logQuarantine logs quarantine records that have changed: the number of new suspects, and each confirmed or cleared
// fingerprint.
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

// runMaintenance periodically removes expired table entries, logs state changes and checks for overdue heartbeats,
// until the context ends.
func (d *Daemon) runMaintenance(ctx context.Context) {
	var last loggedState
	every(ctx, maintenanceInterval, func() {
		d.tokens.tick()
		d.quarantine.tick()
		d.services.setRetryLimits(d.retryLimits()) // the part of the slack depends on the number of members
		d.logChanges(&last, d.now())
		if d.instance != nil {
			d.checkOverdueHeartbeat(ctx)
		}
	})
}

// every calls f once per interval until the context ends. The first call comes after one interval.
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

// logMalformed logs a malformed request from the address remote, which the entry rejected.
func (r *reporter) logMalformed(remote string, err error) {
	r.log.Log(events.RequestMalformed, remote, err.Error())
}

// logLinkBudget logs that a request can't be sent to another region, and which part of the byte budget is used up.
func (r *reporter) logLinkBudget(service string, e *routing.LinkBudgetError) {
	budget := "calls"
	if e.Upload {
		budget = "uploads"
	}
	r.log.Log(events.LinkBudgetSpent, service, budget, e.Since, e.State.Balance, e.State.UploadDebt, e.State.AverageAnswer,
		e.State.InFlight)
}

// logRefusal logs a refusal if its reason is one that an operator can act on; it ignores other reasons.
func (r *reporter) logRefusal(req *request, reason call.Reason) {
	switch reason {
	case call.ReasonNoUpstream:
		r.log.Log(events.NoUpstream, req.service)
	case call.ReasonTableFull:
		r.log.Log(events.TokenTableFull, nil)
	case call.ReasonQuarantined:
		r.log.Log(events.RequestQuarantined, nil, req.rootID)
	}
}

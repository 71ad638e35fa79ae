package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/core/routing"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/store"
	"guavapoint.example/guavapoint/internal/wire"
	"guavapoint.example/guavapoint/platform"
)

const (
	// syncInterval is the interval at which the daemon checks whether a peer has a higher configuration version. A
	// change passes about six daemons one after the other and must be in effect everywhere within 4 s, so the interval
	// is short.
	syncInterval = 100 * time.Millisecond
	// relayInterval is the interval of control.Relay.Tick, which renews leases and exchanges tables when these are due.
	relayInterval = 100 * time.Millisecond
	// contractInterval is the interval of the check for contracts that expire soon. The warnings are due on whole days.
	contractInterval = time.Minute
)

// errNoDocument reports that the daemon from which a configuration is pulled has none yet.
var errNoDocument = errors.New("no configuration document")

// buildConfigSync creates the ConfigSync, and the relay if the settings name a platform.
func (d *Daemon) buildConfigSync(rng *rand.Rand) error {
	d.configSync = control.NewConfigSync(d.config, d, d.now, d.configChanged)
	if d.settings.Ingress != nil {
		d.configSync.SetSource(control.Source{Key: platform.ConfigKey, Decode: platform.DecodeConfig})
	}
	if len(d.settings.Platform.URLs) == 0 {
		return nil
	}
	store, err := platform.NewClient(d.settings.Platform.URLs, nil, 0)
	if err != nil {
		return eris.Wrap(err, "create platform client")
	}
	d.departures.log = control.NewDepartureLog(store, d.settings.PeerAddress)
	d.relay = control.NewRelay(store, d.members.node, d.configSync, d.now, rng, d.logRelayError)
	return nil
}

// logRelayError logs an error from which the relay recovers without intervention.
func (d *Daemon) logRelayError(err error) {
	v, _ := d.config.Current()
	var restored *control.StoreRestoredError
	switch {
	case errors.As(err, &restored):
		d.log.Log(events.StoreRestored, restored.From, restored.To, v.Revision)
	case errors.Is(err, control.ErrStoreBehind):
		d.log.Log(events.ConfigStoreOlder, nil, nil, v.Epoch, v.Revision)
	case errors.Is(err, control.ErrBadDocument):
		d.log.Log(events.ConfigInvalid, nil, nil, "platform", err.Error())
	case errors.Is(err, store.ErrUnknown):
		d.log.Log(events.PlatformWriteUnknown, nil, err.Error())
	default:
		d.log.Log(events.PlatformUnavailable, nil, err.Error())
	}
}

// configChanged puts a new configuration into effect and sends its version in a ping to the gossip targets, which then
// pull the document. A daemon that reads the configuration from the store also pings a member of each other zone, because
// the readers of that zone may not reach the store.
func (d *Daemon) configChanged(v config.Version, doc *config.Document) {
	if earlier := d.activePreset.Swap(&doc.ActivePresetName); earlier != nil && *earlier != doc.ActivePresetName {
		d.log.Log(events.PresetChanged, *earlier, doc.ActivePresetName)
	}
	d.admission.setConfig(d.admissionConfig(doc))
	p := doc.ActivePreset()
	d.link.SetConfig(d.now(), routing.LinkConfig{BytesPerSecond: p.LinkBytesPerSecond, UploadShare: p.LinkUploadShare})
	d.services.setRetryLimits(d.retryLimits())
	d.log.Log(events.ConfigInEffect, v.Epoch, v.Revision, doc.ChangeID, doc.ChangedBy, nil)
	targets := d.members.node.GossipTargets()
	if d.relay != nil && d.relay.ReadsConfig() {
		targets = append(targets, d.members.node.OtherZones()...)
	}
	for _, address := range targets {
		go d.sendControl(address, &wire.Control{Ping: &wire.Ping{Number: v.Revision}})
	}
}

// wireVersion returns the configuration version in effect in the form that messages carry.
func wireVersion(h *config.Holder) wire.ConfigVersion {
	v, _ := h.Current()
	return wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
}

// recordPeerVersion records the configuration version in a message from a peer, so that ConfigSync pulls a higher one.
// Messages without a sender address are ignored, since nothing can be pulled from their sender.
func (d *Daemon) recordPeerVersion(address string, v wire.ConfigVersion) {
	if address != "" {
		d.configSync.RecordPeerVersion(address, v)
	}
}

// PullConfig implements control.Puller: it requests the configuration document of the daemon at address. It returns
// errNoDocument if the reply has no document, and the transport's errors.
func (d *Daemon) PullConfig(ctx context.Context, address string) (*wire.ConfigDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	m := &wire.Control{ConfigPull: &wire.ConfigPull{Source: true}}
	d.setSenderFields(m)
	reply, err := d.transport.Request(ctx, address, m)
	if err != nil {
		return nil, err
	}
	if reply.ConfigDocument == nil {
		return nil, errNoDocument
	}
	return reply.ConfigDocument, nil
}

// serveConfigPull returns the reply to a pull: the document in effect, or errNoDocument before the first one.
func (d *Daemon) serveConfigPull(pull *wire.ConfigPull) (*wire.Control, error) {
	doc, err := d.configSync.Document(pull.Source)
	if err != nil {
		return nil, err
	}
	if doc == nil {
		return nil, errNoDocument
	}
	return &wire.Control{ConfigDocument: doc}, nil
}

// runConfigSync periodically pulls a higher configuration, if a peer has one, until the context ends.
func (d *Daemon) runConfigSync(ctx context.Context) {
	every(ctx, syncInterval, func() {
		if err := d.configSync.PullNewer(ctx); err != nil && ctx.Err() == nil {
			d.log.Log(events.ConfigPullFailed, nil, nil, nil, err.Error())
		}
	})
}

// runContractWarnings logs contracts that expire soon or have expired, until the context ends.
func (d *Daemon) runContractWarnings(ctx context.Context) {
	last := time.Time{} // of the last check
	for {
		now := d.now()
		if _, doc := d.config.Current(); doc != nil {
			for _, w := range doc.Warnings(last, now) {
				d.logContractWarning(w, now)
			}
			last = now
		}
		select {
		case <-time.After(contractInterval):
		case <-ctx.Done():
			return
		}
	}
}

// logContractWarning logs one warning, as an expired contract or as one that expires in w.DaysLeft days.
func (d *Daemon) logContractWarning(w config.Warning, now time.Time) {
	if w.Contract.Expired(now) {
		d.log.Log(events.ContractExpired, w.Batch, w.Contract.Number, w.Contract.Expires.String(), nil)
		return
	}
	d.log.Log(events.ContractExpiring, w.Batch, w.Contract.Number, w.Contract.Expires.String(), w.DaysLeft)
}

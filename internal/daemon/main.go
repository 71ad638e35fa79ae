package daemon

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/telemetry"
)

// flushLimit bounds the export of the last trace spans.
const flushLimit = time.Second

// Main runs a daemon with the given settings until ctx ends and the drain is over. It writes its log to w.
func Main(ctx context.Context, s *settings.Settings, w io.Writer) error {
	log, err := events.New(w, s.Log.Level, map[string]any{
		"daemon": s.Name, "service": s.Service, "zone": s.Zone, "region": s.Region,
	})
	if err != nil {
		return eris.Wrap(err, "log")
	}
	tel, err := telemetry.New(ctx, telemetry.Config{
		Daemon: s.Name, Service: s.Service, Zone: s.Zone, Region: s.Region,
		OTLPURL:       s.Telemetry.OTLPURL,
		OnExportError: func(err error) { log.Log(events.ExportFailed, err.Error()) },
	})
	if err != nil {
		log.Log(events.StartFailed, "telemetry", err.Error())
		return eris.Wrap(err, "telemetry")
	}
	defer flush(tel)
	d, err := New(s, log, tel)
	if err != nil {
		log.Log(events.StartFailed, "sockets", err.Error())
		return err
	}
	return d.Run(ctx)
}

func flush(t *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), flushLimit)
	defer cancel()
	_ = t.Shutdown(ctx) // failed exports are reported through OnExportError
}

// gauges returns the values that metrics show at each scrape.
func (d *Daemon) gauges() telemetry.Gauges {
	load := d.gate.load()
	version, _ := d.config.Current()
	g := telemetry.Gauges{
		Limit:          load.Limit,
		InFlight:       load.InFlight,
		Waiting:        load.Waiting,
		Cutoff:         d.gate.cutoff(),
		Members:        make(map[string]int),
		ConfigEpoch:    version.Epoch,
		ConfigRevision: version.Revision,
	}
	for _, r := range d.members.records() {
		g.Members[r.State.String()]++
	}
	return g
}

package daemon

import (
	"context"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/settings"
	"guavapoint.example/guavapoint/internal/telemetry"
)

// Settings of the garbage collector. A daemon's live heap is a few MB. With Go's default settings the collector would
// run several times a second under load, and each run delays calls. The heap limit leaves room for stacks and buffers
// outside the heap within the 256 MB that a daemon may use.
const (
	gcPercent        = 400       // as GOGC
	defaultHeapLimit = 192 << 20 // bytes
)

// heapShare is the share of the settings' memory_mb that the heap may take. The rest is for stacks, network buffers and
// memory that the collector has not yet returned to the system.
const heapShare = 0.5

// heapLimit returns the limit of the heap in bytes: defaultHeapLimit, or less if the settings limit the memory.
func heapLimit(s *settings.Settings) int64 {
	if s.MemoryMB == 0 {
		return defaultHeapLimit
	}
	return min(defaultHeapLimit, int64(heapShare*float64(s.MemoryMB))<<20)
}

// tuneGC sets gcPercent and the heap limit in bytes, each unless its environment variable (GOGC, GOMEMLIMIT) is set.
func tuneGC(limit int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
}

// flushTimeout bounds the export of the last trace spans when the daemon stops.
const flushTimeout = time.Second

// Main runs a daemon with the given settings until ctx ends and the drain is over, and writes its log to w. It returns
// an error if the daemon can't start, and the errors of Daemon.Run.
func Main(ctx context.Context, s *settings.Settings, w io.Writer) error {
	tuneGC(heapLimit(s))
	lines := events.NewWriter(w)
	defer lines.Close()
	log, err := events.New(lines, s.Log.Level, map[string]any{
		"daemon": s.Name, "service": s.Service, "zone": s.Zone, "region": s.Region,
	})
	if err != nil {
		return eris.Wrap(err, "create event log")
	}
	tel, err := telemetry.New(ctx, telemetry.Config{
		Daemon: s.Name, Service: s.Service, Zone: s.Zone, Region: s.Region,
		OTLPURL:       s.Telemetry.OTLPURL,
		OnExportError: func(err error) { log.Log(events.TraceExportFailed, err.Error()) },
	})
	if err != nil {
		log.Log(events.StartFailed, "telemetry", err.Error())
		return eris.Wrap(err, "start telemetry")
	}
	defer flush(tel)
	d, err := New(s, log, tel)
	if err != nil {
		log.Log(events.StartFailed, "sockets", err.Error())
		return err
	}
	go d.reloadOnHangup()
	return d.Run(ctx)
}

// flush exports the last trace spans and shuts telemetry down.
func flush(t *telemetry.Telemetry) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	_ = t.Shutdown(ctx) // failed exports are reported through OnExportError
}

// gauges returns the current values of the gauge metrics. It is called at each scrape.
func (d *Daemon) gauges() telemetry.Gauges {
	load := d.admission.load()
	version, _ := d.config.Current()
	link := d.link.State(d.now())
	clients := d.clients.Usage()
	g := telemetry.Gauges{
		Limit:          load.Limit,
		InFlight:       load.InFlight,
		Waiting:        load.Waiting,
		Sent:           load.Started,
		Cutoff:         d.admission.cutoff(),
		Members:        make(map[string]int),
		ConfigEpoch:    version.Epoch,
		ConfigRevision: version.Revision,
		LinkBalance:    link.Balance,
		LinkUploadDebt: link.UploadDebt,

		ClientConnections: clients.Connections,
		ClientBytes:       clients.Bytes,
	}
	if d.instance != nil {
		g.RateLimit = d.instance.current().RateLimit
	}
	for _, r := range d.members.records() {
		g.Members[r.State.String()]++
	}
	return g
}

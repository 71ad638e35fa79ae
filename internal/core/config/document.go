// Package config defines the operators' configuration document. It parses documents strictly, orders their versions,
// matches requests to operations and routes, determines importance classes by contract dates, and lists the differences
// between two documents in readable form.
//
// A Document is immutable once parsed and safe for concurrent use. Holder is safe for concurrent use.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/route"
)

const (
	// Format is the only document format that this version reads and writes.
	Format = 1
	// MaxSize is the size limit of an encoded document in bytes. The platform's key-value service limits values to 1 MB.
	MaxSize = 1 << 20
)

// Names of the presets. A document defines all three.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// PresetNames returns the names of the presets that every document defines.
func PresetNames() []string {
	return []string{PresetOrdinary, PresetPeak, PresetMaintenance}
}

// Document is one version of the configuration.
type Document struct {
	Format int `json:"format"`
	// Epoch takes precedence over the store's revision in the order of versions. Operators raise it after the platform
	// was restored from an older copy, since the store may then use a revision again.
	Epoch uint64 `json:"epoch"`
	// ChangeID is random and unique to the change, so that its author can recognize it in the store if the response to
	// the write was lost.
	ChangeID  string `json:"change_id"`
	ChangedBy string `json:"changed_by"`
	// ActivePresetName is the name of the preset in effect.
	ActivePresetName string             `json:"active_preset"`
	Presets          map[string]Preset  `json:"presets"`
	Services         map[string]Service `json:"services"`
	Batches          []Batch            `json:"batches"`
	// Routes assign requests to services by host and path. They are optional. Encode writes them and Parse reads them.
	Routes []route.Route `json:"-"`

	// Lookup tables, built by buildLookupTables.
	table     *route.Table
	patterns  map[string][]pattern // by service name
	contracts map[string]Contract  // by service name
}

// Preset is a named set of limits; operators switch between presets.
type Preset struct {
	// RetryBudget is the largest number of retries for one root request.
	RetryBudget int
	// RetryRatio is the largest ratio of retries to recent first attempts of a service.
	RetryRatio float64
	// DefaultTimeout applies to requests without a Guavapoint-Timeout header.
	DefaultTimeout time.Duration
	// SlotShare is the share of the backend server's slots that is used, above 0 and at most 1.
	SlotShare float64
	// ReservedShare is the share of the used slots that is reserved for classes high and critical.
	ReservedShare float64
	// QueueDelay is the longest time that a request waits for a slot.
	QueueDelay time.Duration
	// LowestClass is the lowest class that is served. Requests of lower classes are refused.
	LowestClass call.Class
	// LinkBytesPerSecond is the budget of each daemon on the link between regions, in bytes per second.
	LinkBytesPerSecond int64
	// LinkUploadShare is the share of the link budget that uploads may use.
	LinkUploadShare float64
}

// presetJSON is the encoded form of Preset, with durations as strings with units.
type presetJSON struct {
	RetryBudget        int        `json:"retry_budget"`
	RetryRatio         float64    `json:"retry_ratio"`
	DefaultTimeout     string     `json:"default_timeout"`
	SlotShare          float64    `json:"slot_share"`
	ReservedShare      float64    `json:"reserved_share"`
	QueueDelay         string     `json:"queue_delay"`
	LowestClass        call.Class `json:"lowest_class"`
	LinkBytesPerSecond int64      `json:"link_bytes_per_second"`
	LinkUploadShare    float64    `json:"link_upload_share"`
}

// MarshalJSON implements json.Marshaler. Durations are strings with units.
func (p Preset) MarshalJSON() ([]byte, error) {
	return json.Marshal(presetJSON{
		RetryBudget:        p.RetryBudget,
		RetryRatio:         p.RetryRatio,
		DefaultTimeout:     p.DefaultTimeout.String(),
		SlotShare:          p.SlotShare,
		ReservedShare:      p.ReservedShare,
		QueueDelay:         p.QueueDelay.String(),
		LowestClass:        p.LowestClass,
		LinkBytesPerSecond: p.LinkBytesPerSecond,
		LinkUploadShare:    p.LinkUploadShare,
	})
}

// Service lists the operations of one service.
type Service struct {
	Operations []Operation `json:"operations"`
	// HealthPath is the path of the backend servers' health check; "" means the platform's default path.
	HealthPath string `json:"health_path,omitempty"`
}

// Operation is a kind of request that a service accepts.
type Operation struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Path is a pattern that matches by segment; see Document.MatchOperation.
	Path string `json:"path"`
	// Class is the highest importance class of the requests.
	Class call.Class `json:"class"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Upload is set for requests with a large body.
	Upload bool `json:"upload"`
}

// Batch is a named group of services that is protected under one support contract.
type Batch struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
	Contract Contract `json:"contract"`
}

// Contract is a support contract. It expires at the end of the date Expires in UTC.
type Contract struct {
	Number  string `json:"number"`
	Expires Date   `json:"expires"`
}

// ErrTooLarge reports a document above MaxSize.
var ErrTooLarge = errors.New("configuration document is larger than 1 MB")

// Encode returns the document as JSON, or ErrTooLarge if that is larger than MaxSize. It doesn't validate the document;
// Parse does.
func (d *Document) Encode() ([]byte, error) {
	encoded := struct {
		*Document           // without its Routes, which are tagged "-"
		Routes    routeList `json:"routes,omitempty"`
	}{d, d.Routes}
	b, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode configuration document: %w", err)
	}
	if len(b) > MaxSize {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Clone returns a deep copy for editing, without the lookup tables.
func (d *Document) Clone() *Document {
	c := *d
	c.table, c.patterns, c.contracts = nil, nil, nil
	c.Routes = slices.Clone(d.Routes)
	c.Presets = make(map[string]Preset, len(d.Presets))
	for name, p := range d.Presets {
		c.Presets[name] = p
	}
	c.Services = make(map[string]Service, len(d.Services))
	for name, s := range d.Services {
		c.Services[name] = Service{Operations: append([]Operation{}, s.Operations...)}
	}
	c.Batches = make([]Batch, 0, len(d.Batches))
	for _, b := range d.Batches {
		b.Services = append([]string{}, b.Services...)
		c.Batches = append(c.Batches, b)
	}
	return &c
}

// ActivePreset returns the preset in effect.
func (d *Document) ActivePreset() Preset {
	return d.Presets[d.ActivePresetName]
}

// buildLookupTables indexes the routes, operations and contracts of a valid document.
func (d *Document) buildLookupTables() {
	d.table = route.NewTable(d.Routes)
	d.patterns = make(map[string][]pattern, len(d.Services))
	for name, s := range d.Services {
		d.patterns[name] = compilePatterns(s.Operations)
	}
	d.contracts = make(map[string]Contract)
	for _, b := range d.Batches {
		for _, s := range b.Services {
			d.contracts[s] = b.Contract
		}
	}
}

// MatchRoute returns the route of a request with the given host and path, or nil. See route.Table.Match. It returns nil
// if the lookup tables have not been built.
func (d *Document) MatchRoute(host, path string) *route.Route {
	return d.table.Match(host, path)
}

// BuildLookupTables builds the lookup tables of a document that was constructed without Parse. It must return before
// the document is shared between goroutines.
func (d *Document) BuildLookupTables() {
	d.buildLookupTables()
}

// Default returns a document with default presets and no services. Parse rejects it until a service is added.
func Default(changedBy, changeID string) *Document {
	preset := Preset{
		RetryBudget:        defaultRetryBudget,
		RetryRatio:         maxRetryRatio,
		DefaultTimeout:     defaultTimeout,
		SlotShare:          1,
		QueueDelay:         defaultQueueDelay,
		LinkBytesPerSecond: defaultLinkBytesPerSecond,
		LinkUploadShare:    maxUploadShare,
	}
	presets := make(map[string]Preset)
	for _, name := range PresetNames() {
		presets[name] = preset
	}
	return &Document{Format: Format, Epoch: 1, ChangeID: changeID, ChangedBy: changedBy, ActivePresetName: PresetOrdinary, Presets: presets,
		Services: make(map[string]Service), Batches: []Batch{}}
}

// Values of the default presets.
const (
	defaultRetryBudget = 3
	defaultTimeout     = 10 * time.Second
	// defaultQueueDelay is about an eighth of a target latency of 1.5 s. A wait that short costs the caller little.
	defaultQueueDelay = 150 * time.Millisecond
	// defaultLinkBytesPerSecond is one daemon's share of a link of 30 Mbit/s, divided among the 8 daemons of a region.
	defaultLinkBytesPerSecond = 470_000
)

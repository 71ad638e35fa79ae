// Package config holds the operators' configuration document: strict parsing, the order of versions, matching of
// operations, importance classes under contract dates, and differences between two documents for people.
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
	// MaxSize is the size limit of an encoded document in bytes. The platform's service holds values up to 1 MB.
	MaxSize = 1 << 20
)

// Names of the presets. A document defines all three.
const (
	PresetOrdinary    = "ordinary"
	PresetPeak        = "peak"
	PresetMaintenance = "maintenance"
)

// PresetNames lists the presets that every document defines.
func PresetNames() []string {
	return []string{PresetOrdinary, PresetPeak, PresetMaintenance}
}

// Document is one version of the configuration.
type Document struct {
	Format int `json:"format"`
	// Epoch precedes the store's revision in the order of versions. It is raised after the platform was restored
	// from an older copy.
	Epoch uint64 `json:"epoch"`
	// ChangeID is random and unique to the change, so that its author recognises it after a lost response.
	ChangeID  string `json:"change_id"`
	ChangedBy string `json:"changed_by"`
	// ActivePresetName is the name of the preset in effect.
	ActivePresetName string             `json:"active_preset"`
	Presets          map[string]Preset  `json:"presets"`
	Services         map[string]Service `json:"services"`
	Batches          []Batch            `json:"batches"`
	// Routes lead requests that name a host and a path to services. They are optional.
	Routes []route.Route `json:"-"`

	table     *route.Table
	patterns  map[string][]pattern
	contracts map[string]Contract
}

// Preset is a set of limits that operators switch between.
type Preset struct {
	// RetryBudget is the number of retries of one root request.
	RetryBudget int
	// RetryRatio is the share of recent first attempts of a service that retries may add.
	RetryRatio float64
	// DefaultTimeout applies to requests without a Guavapoint-Timeout header.
	DefaultTimeout time.Duration
	// SlotShare is the share of the backend server's slots in use.
	SlotShare float64
	// ReservedShare is the share of the slots in use that classes low and normal can't take.
	ReservedShare float64
	// QueueDelay bounds the time that a request waits for a slot.
	QueueDelay time.Duration
	// LowestClass is the lowest class that is served; requests below it are refused.
	LowestClass call.Class
	// LinkBytesPerSecond is each daemon's budget on the link between regions.
	LinkBytesPerSecond int64
	// LinkUploadShare is the share of the link budget that uploads may use.
	LinkUploadShare float64
}

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

// MarshalJSON implements json.Marshaler; durations are strings with units.
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
	// HealthPath is the path of the backend servers' health check; "" means the platform's usual one.
	HealthPath string `json:"health_path,omitempty"`
}

// Operation is a kind of request that a service accepts.
type Operation struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	// Path is a pattern that matches by segment; see Document.Operation.
	Path       string     `json:"path"`
	Class      call.Class `json:"class"`
	Idempotent bool       `json:"idempotent"`
	Upload     bool       `json:"upload"`
}

// Batch is a named group of services that is protected under one support contract.
type Batch struct {
	Name     string   `json:"name"`
	Services []string `json:"services"`
	Contract Contract `json:"contract"`
}

// Contract is a support contract. It ends at the end of its date in UTC.
type Contract struct {
	Number  string `json:"number"`
	Expires Date   `json:"expires"`
}

// ErrTooLarge reports a document above MaxSize.
var ErrTooLarge = errors.New("configuration document is larger than 1 MB")

// Encode returns the document as JSON. It returns ErrTooLarge above MaxSize and doesn't validate; Parse does.
func (d *Document) Encode() ([]byte, error) {
	encoded := struct {
		*Document
		Routes routeList `json:"routes,omitempty"`
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

// Clone returns a deep copy without the data derived by Parse, for editing.
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

// buildLookupTables builds the lookup tables of a valid document.
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

// MatchRoute returns the route of a request, or nil.
func (d *Document) MatchRoute(host, path string) *route.Route {
	return d.table.Match(host, path)
}

// BuildLookupTables builds the lookup tables of a document that was not parsed.
func (d *Document) BuildLookupTables() {
	d.buildLookupTables()
}

// Default returns a document with default presets and no services.
func Default(changedBy, changeID string) *Document {
	preset := Preset{
		RetryBudget:    defaultRetryBudget,
		RetryRatio:     maxRetryRatio,
		DefaultTimeout: defaultTimeout,
		SlotShare:      1,
		QueueDelay:     defaultQueueDelay,
		// The link's share of one daemon: 30 Mbit/s among the 8 daemons of a region.
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
	// defaultQueueDelay is about an eighth of a target latency of 1.5 s, up to which waiting costs the caller little.
	defaultQueueDelay = 150 * time.Millisecond
	// defaultLinkBytesPerSecond is in bytes per second.
	defaultLinkBytesPerSecond = 470_000
)

package config

import (
	"fmt"
	"sort"
	"strings"
)

// Change is a field that differs between two documents.
type Change struct {
	Field string
	// Before and After are the values of the field, "" in a document without it.
	Before, After string
}

// String returns the change as one readable line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("%s: added %s", c.Field, c.After)
	case c.After == "":
		return fmt.Sprintf("%s: removed %s", c.Field, c.Before)
	default:
		return fmt.Sprintf("%s: %s -> %s", c.Field, c.Before, c.After)
	}
}

// Diff returns the differences in content between two documents, ordered by field. Operations and batches are matched
// by name, since their order has no meaning. The format, the epoch and the fields that describe the change itself are
// not compared; neither are routes and health paths. A nil document counts as empty.
func Diff(before, after *Document) []Change {
	a, b := flatten(before), flatten(after)
	fields := make(map[string]bool, len(a)+len(b))
	for f := range a {
		fields[f] = true
	}
	for f := range b {
		fields[f] = true
	}
	var changes []Change
	for f := range fields {
		if a[f] != b[f] {
			changes = append(changes, Change{Field: f, Before: a[f], After: b[f]})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// flatten returns the compared fields of a document as text, by field path.
func flatten(d *Document) map[string]string {
	m := make(map[string]string)
	if d == nil {
		return m
	}
	m["active_preset"] = d.ActivePresetName
	for name, p := range d.Presets {
		flattenPreset(m, "presets."+name+".", p)
	}
	for name, s := range d.Services {
		m["services."+name] = fmt.Sprintf("%d operation(s)", len(s.Operations))
		for _, op := range s.Operations {
			flattenOperation(m, "services."+name+".operations."+op.Name+".", op)
		}
	}
	for _, b := range d.Batches {
		services := append([]string{}, b.Services...)
		sort.Strings(services)
		m["batches."+b.Name+".services"] = "[" + strings.Join(services, " ") + "]"
		m["batches."+b.Name+".contract"] = b.Contract.Number + " until " + b.Contract.Expires.String()
	}
	return m
}

func flattenPreset(m map[string]string, prefix string, p Preset) {
	m[prefix+"retry_budget"] = fmt.Sprint(p.RetryBudget)
	m[prefix+"retry_ratio"] = fmt.Sprint(p.RetryRatio)
	m[prefix+"default_timeout"] = p.DefaultTimeout.String()
	m[prefix+"slot_share"] = fmt.Sprint(p.SlotShare)
	m[prefix+"reserved_share"] = fmt.Sprint(p.ReservedShare)
	m[prefix+"queue_delay"] = p.QueueDelay.String()
	m[prefix+"lowest_class"] = p.LowestClass.String()
	m[prefix+"link_bytes_per_second"] = fmt.Sprint(p.LinkBytesPerSecond)
	m[prefix+"link_upload_share"] = fmt.Sprint(p.LinkUploadShare)
}

func flattenOperation(m map[string]string, prefix string, op Operation) {
	m[prefix+"request"] = op.Method + " " + op.Path
	m[prefix+"class"] = op.Class.String()
	m[prefix+"idempotent"] = fmt.Sprint(op.Idempotent)
	m[prefix+"upload"] = fmt.Sprint(op.Upload)
}

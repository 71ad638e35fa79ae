package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Limits of the document's values.
const (
	// maxNameLength is the largest length of a name of a service, operation, batch or route, in bytes.
	maxNameLength = 64
	// maxTextLength is the largest length of free text such as the operator's name, in bytes.
	maxTextLength = 128
	// maxRetryBudget is the largest number of retries for one root request. The default is 3.
	maxRetryBudget = 10
	// maxRetryRatio is the limit of design.md section 2.4: retries stay below 10% of first attempts.
	maxRetryRatio = 0.1
	// minTimeout and maxTimeout are the limits of the Guavapoint-Timeout header.
	minTimeout = time.Millisecond
	maxTimeout = 10 * time.Minute
	// maxQueueDelay prevents requests from waiting for a slot past any useful deadline.
	maxQueueDelay = 10 * time.Second
	// maxReservedShare leaves a tenth of the slots to classes low and normal.
	maxReservedShare = 0.9
	// maxUploadShare is the limit of design.md section 2.6: uploads use at most half of the link budget.
	maxUploadShare = 0.5
	// maxLinkBytesPerSecond is 10 Gbit/s in bytes per second, more than any link between regions has.
	maxLinkBytesPerSecond = 1_250_000_000
)

// methods lists the HTTP methods that an operation may have.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Parse decodes and validates a document and builds its lookup tables. The error is an *InvalidError that lists every
// problem, or ErrTooLarge.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, ErrTooLarge
	}
	r := &documentReader{}
	d := &Document{}
	if v, ok := r.decode(data); ok {
		r.readDocument(v, d)
		r.checkAcrossFields(d)
	}
	if len(r.problems) > 0 {
		return nil, &InvalidError{Problems: r.problems}
	}
	d.buildLookupTables()
	return d, nil
}

func (r *documentReader) readDocument(v any, d *Document) {
	required := []field{
		{"format", r.intInto(&d.Format, Format, Format)},
		{"epoch", r.uintInto(&d.Epoch)},
		{"change_id", r.nameInto(&d.ChangeID)},
		{"changed_by", r.textInto(&d.ChangedBy)},
		{"active_preset", r.oneOfInto(&d.ActivePresetName, PresetNames())},
		{"presets", func(path string, v any) { r.readPresets(path, v, d) }},
		{"services", func(path string, v any) { r.readServices(path, v, d) }},
		{"batches", func(path string, v any) { r.readBatches(path, v, d) }},
	}
	optional := []field{{"routes", func(path string, v any) { r.readRoutes(path, v, d) }}}
	r.readObject("", v, required, optional)
}

func (r *documentReader) readPresets(path string, v any, d *Document) {
	d.Presets = make(map[string]Preset)
	var fs []field
	for _, name := range PresetNames() {
		fs = append(fs, field{name, func(path string, v any) { d.Presets[name] = r.readPreset(path, v) }})
	}
	r.readRequiredFields(path, v, fs...)
}

func (r *documentReader) readPreset(path string, v any) Preset {
	var p Preset
	var link int
	r.readRequiredFields(path, v,
		field{"retry_budget", r.intInto(&p.RetryBudget, 0, maxRetryBudget)},
		field{"retry_ratio", r.floatInto(&p.RetryRatio, 0, maxRetryRatio)},
		field{"default_timeout", r.durationInto(&p.DefaultTimeout, minTimeout, maxTimeout)},
		field{"slot_share", r.shareInto(&p.SlotShare)},
		field{"reserved_share", r.floatInto(&p.ReservedShare, 0, maxReservedShare)},
		field{"queue_delay", r.durationInto(&p.QueueDelay, 0, maxQueueDelay)},
		field{"lowest_class", r.classInto(&p.LowestClass)},
		field{"link_bytes_per_second", r.intInto(&link, 0, maxLinkBytesPerSecond)},
		field{"link_upload_share", r.floatInto(&p.LinkUploadShare, 0, maxUploadShare)},
	)
	p.LinkBytesPerSecond = int64(link)
	return p
}

func (r *documentReader) readServices(path string, v any, d *Document) {
	d.Services = make(map[string]Service)
	r.readMap(path, v, func(name, path string, v any) {
		if !validName(name) {
			r.addProblem(path, describe(name), nameRule)
		}
		s := Service{Operations: []Operation{}}
		required := []field{{"operations", func(path string, v any) {
			r.readList(path, v, func(path string, v any) { s.Operations = append(s.Operations, r.readOperation(path, v)) })
		}}}
		r.readObject(path, v, required, []field{{"health_path", r.noSpacesInto(&s.HealthPath, maxPathLength)}})
		d.Services[name] = s
	})
}

func (r *documentReader) readOperation(path string, v any) Operation {
	var op Operation
	r.readRequiredFields(path, v,
		field{"name", r.nameInto(&op.Name)},
		field{"method", r.oneOfInto(&op.Method, methods)},
		field{"path", func(path string, v any) {
			s, ok := v.(string)
			if !ok || checkPattern(s) != nil {
				r.addProblem(path, describe(v), patternRule)
				return
			}
			op.Path = s
		}},
		field{"class", r.classInto(&op.Class)},
		field{"idempotent", r.boolInto(&op.Idempotent)},
		field{"upload", r.boolInto(&op.Upload)},
	)
	return op
}

func (r *documentReader) readBatches(path string, v any, d *Document) {
	d.Batches = []Batch{}
	r.readList(path, v, func(path string, v any) {
		b := Batch{Services: []string{}}
		r.readRequiredFields(path, v,
			field{"name", r.nameInto(&b.Name)},
			field{"services", func(path string, v any) {
				r.readList(path, v, func(path string, v any) {
					var s string
					r.nameInto(&s)(path, v)
					b.Services = append(b.Services, s)
				})
			}},
			field{"contract", func(path string, v any) {
				r.readRequiredFields(path, v,
					field{"number", r.textInto(&b.Contract.Number)},
					field{"expires", r.dateInto(&b.Contract.Expires)},
				)
			}},
		)
		d.Batches = append(d.Batches, b)
	})
}

// checkAcrossFields reports problems that involve more than one field: duplicate names, ambiguous operations,
// references to services that don't exist, and services in several batches.
func (r *documentReader) checkAcrossFields(d *Document) {
	if d.Services != nil && len(d.Services) == 0 {
		r.addProblem("services", "an empty object", "at least one service")
	}
	for name, s := range d.Services {
		r.checkOperations(joinPath("services", name)+".operations", s.Operations)
	}
	batchOf := make(map[string]string) // batch name by service name
	seen := make(map[string]bool)
	for i, b := range d.Batches {
		path := indexPath("batches", i)
		if seen[b.Name] {
			r.addProblem(path+".name", describe(b.Name)+" a second time", "a name used once")
		}
		seen[b.Name] = true
		for j, s := range b.Services {
			if _, ok := d.Services[s]; !ok {
				r.addProblem(indexPath(path+".services", j), describe(s), "a service of this document")
			}
			if other, taken := batchOf[s]; taken {
				r.addProblem(indexPath(path+".services", j), fmt.Sprintf("%q, also in batch %q", s, other), "each service in one batch")
			}
			batchOf[s] = b.Name
		}
	}
}

// checkOperations reports operations of one service with equal names or that match the same requests.
func (r *documentReader) checkOperations(path string, ops []Operation) {
	names := make(map[string]bool)
	shapes := make(map[string]string) // operation name by method and pattern shape
	for i, op := range ops {
		if op.Name != "" && names[op.Name] {
			r.addProblem(indexPath(path, i)+".name", describe(op.Name)+" a second time", "a name used once in the service")
		}
		names[op.Name] = true
		if op.Path == "" || op.Method == "" {
			continue
		}
		shape := op.Method + " " + patternShape(op.Path)
		if other, taken := shapes[shape]; taken {
			r.addProblem(indexPath(path, i)+".path", fmt.Sprintf("%q, which matches the same requests as operation %q", op.Path, other),
				"one operation for each method and path")
		}
		shapes[shape] = op.Name
	}
}

const nameRule = "1 to 64 characters A-Z a-z 0-9 . _ -"

func validName(s string) bool {
	return call.ValidRootID(s) && len(s) <= maxNameLength
}

// nameInto and the other ...Into methods return a function that validates a value and stores it in *to. An invalid
// value is a problem and leaves *to unchanged. The function's arguments are the field path and the decoded value.
func (r *documentReader) nameInto(to *string) func(string, any) {
	return func(path string, v any) {
		s, ok := v.(string)
		if !ok || !validName(s) {
			r.addProblem(path, describe(v), nameRule)
			return
		}
		*to = s
	}
}

// textInto accepts free text of 1 to maxTextLength bytes without control characters.
func (r *documentReader) textInto(to *string) func(string, any) {
	return func(path string, v any) {
		s, ok := v.(string)
		if !ok || s == "" || len(s) > maxTextLength || strings.ContainsFunc(s, isControl) {
			r.addProblem(path, describe(v), fmt.Sprintf("1 to %d bytes of text without control characters", maxTextLength))
			return
		}
		*to = s
	}
}

func isControl(c rune) bool {
	return c < ' ' || c == 0x7f
}

func (r *documentReader) oneOfInto(to *string, allowed []string) func(string, any) {
	return func(path string, v any) {
		s, _ := v.(string)
		for _, a := range allowed {
			if a == s {
				*to = s
				return
			}
		}
		r.addProblem(path, describe(v), strings.Join(allowed, ", "))
	}
}

func (r *documentReader) classInto(to *call.Class) func(string, any) {
	return func(path string, v any) {
		s, _ := v.(string)
		c, err := call.ParseClass(s)
		if err != nil {
			r.addProblem(path, describe(v), "low, normal, high, critical")
			return
		}
		*to = c
	}
}

func (r *documentReader) boolInto(to *bool) func(string, any) {
	return func(path string, v any) {
		b, ok := v.(bool)
		if !ok {
			r.addProblem(path, describe(v), "true or false")
			return
		}
		*to = b
	}
}

// intInto accepts an integer from low to high.
func (r *documentReader) intInto(to *int, low, high int) func(string, any) {
	return func(path string, v any) {
		n, ok := v.(json.Number)
		i, err := strconv.Atoi(string(n))
		if !ok || err != nil || i < low || i > high {
			r.addProblem(path, describe(v), fmt.Sprintf("an integer from %d to %d", low, high))
			return
		}
		*to = i
	}
}

// uintInto accepts an integer from 1 to math.MaxInt64.
func (r *documentReader) uintInto(to *uint64) func(string, any) {
	return func(path string, v any) {
		n, ok := v.(json.Number)
		i, err := strconv.ParseUint(string(n), 10, 63)
		if !ok || err != nil || i == 0 {
			r.addProblem(path, describe(v), fmt.Sprintf("an integer from 1 to %d", int64(math.MaxInt64)))
			return
		}
		*to = i
	}
}

// floatInto accepts a number from low to high.
func (r *documentReader) floatInto(to *float64, low, high float64) func(string, any) {
	return func(path string, v any) {
		n, ok := v.(json.Number)
		f, err := n.Float64()
		if !ok || err != nil || f < low || f > high {
			r.addProblem(path, describe(v), fmt.Sprintf("a number from %g to %g", low, high))
			return
		}
		*to = f
	}
}

// shareInto accepts a share above 0 and at most 1. With a share of 0 the daemon would process no requests.
func (r *documentReader) shareInto(to *float64) func(string, any) {
	return func(path string, v any) {
		n, ok := v.(json.Number)
		f, err := n.Float64()
		if !ok || err != nil || f <= 0 || f > 1 {
			r.addProblem(path, describe(v), "a number above 0 and at most 1")
			return
		}
		*to = f
	}
}

// durationInto accepts a duration with unit from low to high.
func (r *documentReader) durationInto(to *time.Duration, low, high time.Duration) func(string, any) {
	return func(path string, v any) {
		s, ok := v.(string)
		d, err := time.ParseDuration(s)
		if !ok || err != nil || d < low || d > high {
			r.addProblem(path, describe(v), fmt.Sprintf("a duration with unit from %s to %s, such as \"50ms\"", low, high))
			return
		}
		*to = d
	}
}

func (r *documentReader) dateInto(to *Date) func(string, any) {
	return func(path string, v any) {
		s, ok := v.(string)
		d, err := ParseDate(s)
		if !ok || err != nil {
			r.addProblem(path, describe(v), "a date as YYYY-MM-DD")
			return
		}
		*to = d
	}
}

package wire

import (
	"math"
	"strings"

	"golang.org/x/net/http/httpguts"

	"guavapoint.example/guavapoint/internal/core/call"
)

// validate rejects values that no daemon sends. It accepts a depth above call.MaxDepth and a timeout that has
// passed: the receiving daemon answers those calls as not run.
func (h *CallHeader) validate() error {
	k := KindCallHeader
	switch {
	case !call.ValidRootID(h.RootID):
		return &FieldError{k, "RootID", len(h.RootID), "1 to 64 characters of [A-Za-z0-9._-]; the value is its length"}
	case h.Depth < 0:
		return &FieldError{k, "Depth", h.Depth, "0 or more"}
	case h.Retries < 0:
		return &FieldError{k, "Retries", h.Retries, "0 or more"}
	case len(h.Token) > call.MaxTokenLength:
		return &FieldError{k, "Token", len(h.Token), "at most 512 bytes; the value is its length"}
	case h.Method == "":
		return &FieldError{k, "Method", h.Method, "an HTTP method"}
	case !strings.HasPrefix(h.Path, "/"):
		return &FieldError{k, "Path", h.Path, "a path that begins with '/'"}
	case h.BodyLength < -1:
		return &FieldError{k, "BodyLength", h.BodyLength, "-1 or more"}
	}
	return h.Backend.validate(k)
}

// validate rejects limits that no daemon sends. A nil report is valid.
func (r *BackendReport) validate(k Kind) error {
	if r != nil && !(r.RateLimit >= 0 && r.RateLimit <= math.MaxFloat64) { // also rejects NaN
		return &FieldError{k, "Backend.RateLimit", r.RateLimit, "a finite number of 0 or more"}
	}
	return nil
}

// Limits of Departures: a daemon keeps a few, and IDs are short.
const (
	maxDepartures    = 16
	maxInstanceBytes = 128
)

func (d *Departures) validate() error {
	if len(d.List) > maxDepartures {
		return &FieldError{KindRequest, "Departures.List", len(d.List), "at most 16 entries; the value is their number"}
	}
	for _, e := range d.List {
		if len(e.Instance) > maxInstanceBytes {
			return &FieldError{KindRequest, "Departures.List.Instance", len(e.Instance), "at most 128 bytes; the value is its length"}
		}
	}
	return nil
}

func (h *AnswerHeader) validate() error {
	k := KindAnswerHeader
	switch {
	case h.Outcome > call.OutcomeNotRun:
		return &FieldError{k, "Outcome", h.Outcome, "unknown, answered or not-run"}
	case h.Outcome == call.OutcomeAnswered && (h.Status < 200 || h.Status > 599):
		return &FieldError{k, "Status", h.Status, "200 to 599"}
	case h.Status < 0 || h.Status > 599:
		return &FieldError{k, "Status", h.Status, "0 to 599"}
	case h.BodyLength < -1:
		return &FieldError{k, "BodyLength", h.BodyLength, "-1 or more"}
	case h.UnusedRetries < 0:
		return &FieldError{k, "Unspent", h.UnusedRetries, "0 or more"}
	}
	if err := validateNames(k, h.Header); err != nil {
		return err
	}
	return h.Backend.validate(k)
}

// validateNames rejects names of fields that a caller could read in another way.
func validateNames(k Kind, fields []Header) error {
	for _, f := range fields {
		if !httpguts.ValidHeaderFieldName(f.Name) {
			return &FieldError{k, "Header", f.Name, "the name of a field"}
		}
	}
	return nil
}

func (t *Trailer) validate() error {
	k := KindTrailer
	switch {
	case t.UnusedRetries < 0:
		return &FieldError{k, "Unspent", t.UnusedRetries, "0 or more"}
	case t.Length < 0:
		return &FieldError{k, "Length", t.Length, "0 or more"}
	}
	return nil
}

func (m *Control) validate() error {
	set := 0
	for _, present := range []bool{
		m.Ping != nil, m.TokenRequest != nil, m.TokenGrant != nil, m.ResolveRequest != nil, m.ResolveAnswer != nil,
		m.Membership != nil, m.ConfigPull != nil, m.ConfigDocument != nil, m.Quarantine != nil, m.Refusal != nil,
		m.Departures != nil, m.DepartureQuery != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return &FieldError{KindRequest, "message", set, "exactly one; the value is their number"}
	}
	if m.Departures != nil {
		return m.Departures.validate()
	}
	if m.ResolveAnswer != nil {
		if err := validateNames(KindRequest, m.ResolveAnswer.Header); err != nil {
			return err
		}
		return m.ResolveAnswer.Backend.validate(KindRequest)
	}
	return nil
}

package guavapoint

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/outcome"
)

// fault is what happens to one attempt on its way.
type fault string

const (
	none         fault = "none"
	lostBefore   fault = "lost before it arrived"
	lostAfter    fault = "ran, response lost"
	truncated    fault = "ran, response truncated"
	delayed      fault = "connection lost, request arrives later"
	entryRefused fault = "entry daemon refuses with overload"
	entryLeaving fault = "entry daemon refuses with leaving"
	refused      fault = "upstream refuses before dispatch"
	crashed      fault = "backend server dies in the run"
	timedOut     fault = "ran, entry daemon lost its upstream"
)

// notRepairable reports faults after which resends can't be expected to bring the response.
func notRepairable(f fault) bool {
	return f == entryRefused || f == refused || f == crashed
}

// service is an upstream with a real token table behind entry daemons with faults.
type service struct {
	mu         sync.Mutex
	idempotent bool
	now        time.Time
	table      *outcome.Table
	faults     []fault // of the next attempts, then none
	held       []call.Token
	runs       int
	attempts   int // without those that got a token
	tokens     int
}

func newService(idempotent bool, faults []fault) *service {
	return &service{
		idempotent: idempotent, faults: faults, now: time.Unix(1_000_000, 0),
		table: outcome.NewTable(outcome.Config{}, 1),
	}
}

func (s *service) nextFault() fault {
	if len(s.faults) == 0 {
		return none
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// deliver lets delayed requests arrive.
func (s *service) deliver() {
	for _, tok := range s.held {
		_, _, _ = s.run(tok, outcome.Answer{Status: 200, Body: []byte("whole")})
	}
	s.held = nil
}

// run takes a request that arrived at the upstream. A request without a token runs if it is idempotent.
func (s *service) run(tok call.Token, a outcome.Answer) (outcome.Status, *outcome.Answer, error) {
	if s.idempotent {
		s.runs++
		return outcome.Replay, &a, nil
	}
	status, kept, err := s.table.Begin(s.now, tok, outcome.Fingerprint{})
	if status != outcome.Run {
		return status, kept, err
	}
	s.runs++
	s.table.Finish(s.now, tok, a)
	return outcome.Replay, &a, nil
}

func (s *service) grant(w http.ResponseWriter) {
	s.tokens++
	var nonce [call.NonceSize]byte
	binary.BigEndian.PutUint32(nonce[:], uint32(s.tokens))
	tok := s.table.NewToken(s.now, "transfer", "10.0.0.1:1", nonce)
	if err := s.table.Issue(s.now, tok); err != nil {
		refuse(w, "not-run", string(call.ReasonTableFull))
		return
	}
	w.Header().Set(headerToken, tok.String())
	w.Header().Set(headerOutcome, "not-run")
	w.Header().Set(headerReason, string(call.ReasonTokenRequired))
	w.WriteHeader(http.StatusPreconditionRequired)
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tok, err := call.ParseToken(r.Header.Get(headerToken))
	if needsToken := err != nil && !s.idempotent; needsToken {
		s.grant(w)
		return
	}
	s.attempts++
	f := s.nextFault()
	if f != delayed {
		defer s.deliver()
	}
	s.serve(w, tok, f)
}

func (s *service) serve(w http.ResponseWriter, tok call.Token, f fault) {
	a := outcome.Answer{Status: 200, Body: []byte("whole")}
	switch f {
	case lostBefore:
		cut(w)
	case delayed:
		s.held = append(s.held, tok)
		cut(w)
	case entryRefused:
		refuse(w, "not-run", string(call.ReasonOverload))
		return
	case entryLeaving:
		refuse(w, "not-run", string(call.ReasonLeaving))
		return
	case refused:
		s.table.Refuse(s.now, tok)
	case crashed:
		a = outcome.LostAnswer(call.ReasonBackendCrashed)
	}
	if f == refused && s.idempotent {
		refuse(w, "not-run", string(call.ReasonOverload))
		return
	}
	status, kept, err := s.run(tok, a)
	told, reason := outcome.Classify(status, kept, err)
	switch {
	case f == lostAfter:
		cut(w)
	case f == timedOut:
		refuse(w, "unknown", string(call.ReasonConnectionLost))
	case told != call.OutcomeAnswered:
		refuse(w, told.String(), string(reason))
	case f == truncated:
		w.Header().Set("Content-Length", fmt.Sprint(len(kept.Body)))
		answer(w, "wh")
		cut(w)
	default:
		answer(w, string(kept.Body))
	}
}

// Guards against a second run of a non-idempotent request, "not run" for one that ran or runs later, a response that
// isn't whole, resends beyond the bound, and a token that is lost with the outcome.
func TestOutcomesUnderFaults(t *testing.T) {
	all := []fault{
		none, lostBefore, lostAfter, truncated, delayed, entryRefused, entryLeaving, refused, crashed, timedOut,
	}
	var s *service
	entry := func(w http.ResponseWriter, r *http.Request) { s.ServeHTTP(w, r) }
	c := serve(t, DefaultRetries, entry, entry)
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom(all), 0, 8).Draw(t, "faults")
		s = newService(rapid.Bool().Draw(t, "idempotent"), faults)
		request := Request{Service: "transfer", Method: "POST", Body: []byte("x"), ID: "id"}
		got, err := c.Do(context.Background(), &request)
		checkOutcome(t, s, got, err)
		if s.attempts > 1+DefaultRetries {
			t.Fatalf("%d attempts", s.attempts)
		}
		if len(faults) <= DefaultRetries && !slices.ContainsFunc(faults, notRepairable) && err != nil {
			t.Fatalf("%d faults within the bound: %v", len(faults), err)
		}
		var unknown *UnknownError
		if errors.As(err, &unknown) { // the caller asks again later
			if s.idempotent {
				s.runs = 0 // without a token, the next Do speaks of itself only
			} else if unknown.Token == "" {
				t.Fatal("unknown outcome without a token")
			}
			request.Token = unknown.Token
			got, err = c.Do(context.Background(), &request)
			checkOutcome(t, s, got, err)
		}
	})
}

func checkOutcome(t *rapid.T, s *service, got *Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver()
	if !s.idempotent && s.runs > 1 {
		t.Fatalf("ran %d times", s.runs)
	}
	var notRun *NotRunError
	var unknown *UnknownError
	switch {
	case err == nil:
		if string(got.Body) != "whole" || s.runs == 0 {
			t.Fatalf("response %q after %d runs", got.Body, s.runs)
		}
	case errors.As(err, &notRun):
		if s.runs > 0 {
			t.Fatalf("told \"not run\" after %d runs: %v", s.runs, err)
		}
	case !errors.As(err, &unknown):
		t.Fatal(err)
	}
}

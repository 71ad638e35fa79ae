package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Headers that a single call shows in addition.
const (
	headerUpstream = "Guavapoint-Upstream"
	headerVersion  = "Guavapoint-Config-Version"
)

// Told is what the caller was told in one response.
type Told struct {
	Entry   string        `json:"entry"`
	Status  int           `json:"status"`
	Outcome string        `json:"outcome"`
	Reason  string        `json:"reason,omitempty"`
	Latency time.Duration `json:"latency_ns"`
	// Upstream is the daemon that served the call, Version the entry daemon's configuration version.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"config_version,omitempty"`
	// TokenSent and TokenGiven show the part that a token has in the exchange.
	TokenSent  bool `json:"token_sent"`
	TokenGiven bool `json:"token_given"`
	// Wrong describes an answer that does not belong to the request or is incomplete.
	Wrong string `json:"wrong,omitempty"`
	// Body is the answer, Error a transport error.
	Body  string `json:"body,omitempty"`
	Error string `json:"error,omitempty"`
}

func (t *Told) succeeded() bool {
	return t.Outcome == OutcomeAnswered && t.Status < 400 && t.Wrong == "" && t.Error == ""
}

// Exchange is the course of one request that is sent several times.
type Exchange struct {
	Key  string `json:"key"`
	Told []Told `json:"told"`
}

// Single sends one request the given number of times, always with the first token that a daemon handed out, through the
// entries in turn. The Rate, Count, Duration and Mix of the options are not used. The error concerns the options only.
func Single(ctx context.Context, o Options, op Operation, key string, times int) (*Exchange, error) {
	op.Name, op.Weight, op.Class = "call", 1, Classes[0]
	o.Mix, o.Rate, o.Count, o.MaxInFlight = []Operation{op}, 1, times, 1
	if err := o.Validate(); err != nil {
		return nil, err
	}
	c := newClient(o)
	defer c.http.CloseIdleConnections()
	q := &request{op: op, key: key, body: makeBody(key, op.BodyBytes)}
	e := &Exchange{Key: key}
	for i := range times {
		entry := o.Entries[i%len(o.Entries)]
		t, token := c.told(ctx, entry, q)
		e.Told = append(e.Told, t)
		if token != "" && q.token == "" {
			q.token = token
			t, _ = c.told(ctx, entry, q)
			e.Told = append(e.Told, t)
		}
	}
	return e, nil
}

// told sends the request once and returns what the caller was told and the token in the response.
func (c *client) told(ctx context.Context, entry string, q *request) (Told, string) {
	t := Told{Entry: entry, TokenSent: q.token != ""}
	start := time.Now()
	resp, body, err := c.send(ctx, entry, q)
	t.Latency = time.Since(start)
	if err != nil {
		t.Outcome, t.Reason = lost(err)
		t.Error = err.Error()
		return t, ""
	}
	token := resp.Header.Get(headerToken)
	t.Status, t.Body, t.TokenGiven = resp.StatusCode, string(body), token != ""
	t.Outcome, t.Reason = resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	t.Upstream, t.Version = resp.Header.Get(headerUpstream), resp.Header.Get(headerVersion)
	if t.Outcome == OutcomeAnswered && t.Status < 400 {
		t.Wrong = q.check(body)
	}
	return t, token
}

// Check returns an error unless each response is a success or hands out the token, and all successes are the same answer.
func (e *Exchange) Check() error {
	var errs []error
	answer := ""
	for i, t := range e.Told {
		switch {
		case t.TokenGiven && !t.TokenSent:
		case !t.succeeded():
			errs = append(errs, fmt.Errorf("response %d: %s %s %s%s", i+1, t.Outcome, t.Reason, t.Wrong, t.Error))
		case answer == "":
			answer = t.Body
		case answer != t.Body:
			errs = append(errs, fmt.Errorf("response %d differs from the first answer", i+1))
		}
	}
	if answer == "" {
		errs = append(errs, errors.New("the request was not answered"))
	}
	return errors.Join(errs...)
}

// WriteTable prints the exchange for people. Long answers are cut.
func (e *Exchange) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "entry\tstatus\toutcome\treason\ttoken\tserved by\ttime\tanswer")
	for _, told := range e.Told {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", told.Entry, told.Status, told.Outcome, dash(told.Reason),
			told.tokenUse(), dash(told.Upstream), millis(told.Latency), told.summary())
	}
	return t.Flush()
}

func (t *Told) tokenUse() string {
	switch {
	case t.TokenSent:
		return "sent"
	case t.TokenGiven:
		return "given"
	default:
		return "-"
	}
}

func (t *Told) summary() string {
	const longest = 90
	text := strings.TrimSpace(t.Wrong + t.Error + t.Body)
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return strings.ReplaceAll(text, "\n", " ")
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

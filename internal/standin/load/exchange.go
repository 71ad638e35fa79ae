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
	headerUpstream      = "Guavapoint-Upstream"
	headerConfigVersion = "Guavapoint-Config-Version"
)

// Response is what the caller was told in one response.
type Response struct {
	Entry   string        `json:"entry"`
	Status  int           `json:"status"`
	Outcome string        `json:"outcome"`
	Reason  string        `json:"reason,omitempty"`
	Latency time.Duration `json:"latency_ns"`
	// Upstream is the daemon that served the call, ConfigVersion the entry daemon's configuration version.
	Upstream      string `json:"upstream,omitempty"`
	ConfigVersion string `json:"config_version,omitempty"`
	// TokenSent and TokenGiven show the part that a token has in the exchange.
	TokenSent  bool `json:"token_sent"`
	TokenGiven bool `json:"token_given"`
	// Wrong describes an answer that does not belong to the request or is incomplete.
	WrongAnswer string `json:"wrong,omitempty"`
	// Body is the answer, Error a transport error.
	Body  string `json:"body,omitempty"`
	Error string `json:"error,omitempty"`
}

func (r *Response) succeeded() bool {
	return r.Outcome == OutcomeAnswered && r.Status < 400 && r.WrongAnswer == "" && r.Error == ""
}

// Exchange is the course of one request that is sent several times.
type Exchange struct {
	Key       string     `json:"key"`
	Responses []Response `json:"told"`
}

// SendRequest sends one request the given number of times, always with the first token that a daemon handed out, through the
// entries in turn. The Rate, Count, Duration and Mix of the options are not used. The error concerns the options only.
func SendRequest(ctx context.Context, o Options, op Operation, key string, times int) (*Exchange, error) {
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
		r, token := c.sendOnce(ctx, entry, q)
		e.Responses = append(e.Responses, r)
		if token != "" && q.token == "" {
			q.token = token
			r, _ = c.sendOnce(ctx, entry, q)
			e.Responses = append(e.Responses, r)
		}
	}
	return e, nil
}

// sendOnce sends the request once and returns what the caller was told and the token in the response.
func (c *client) sendOnce(ctx context.Context, entry string, q *request) (Response, string) {
	r := Response{Entry: entry, TokenSent: q.token != ""}
	start := time.Now()
	resp, body, err := c.send(ctx, entry, q)
	r.Latency = time.Since(start)
	if err != nil {
		r.Outcome, r.Reason = classifyError(err)
		r.Error = err.Error()
		return r, ""
	}
	token := resp.Header.Get(headerToken)
	r.Status, r.Body, r.TokenGiven = resp.StatusCode, string(body), token != ""
	r.Outcome, r.Reason = resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	r.Upstream, r.ConfigVersion = resp.Header.Get(headerUpstream), resp.Header.Get(headerConfigVersion)
	if r.Outcome == OutcomeAnswered && r.Status < 400 {
		r.WrongAnswer = q.checkAnswer(body)
	}
	return r, token
}

// Check returns an error unless each response is a success or hands out the token, and all successes are the same answer.
func (e *Exchange) Check() error {
	var errs []error
	answer := ""
	for i, r := range e.Responses {
		switch {
		case r.TokenGiven && !r.TokenSent:
		case !r.succeeded():
			errs = append(errs, fmt.Errorf("response %d: %s %s %s%s", i+1, r.Outcome, r.Reason, r.WrongAnswer, r.Error))
		case answer == "":
			answer = r.Body
		case answer != r.Body:
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
	for _, r := range e.Responses {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Entry, r.Status, r.Outcome, orDash(r.Reason),
			r.tokenUse(), orDash(r.Upstream), millis(r.Latency), r.summary())
	}
	return t.Flush()
}

func (r *Response) tokenUse() string {
	switch {
	case r.TokenSent:
		return "sent"
	case r.TokenGiven:
		return "given"
	default:
		return "-"
	}
}

func (r *Response) summary() string {
	const maxLength = 90
	text := strings.TrimSpace(r.WrongAnswer + r.Error + r.Body)
	if len(text) > maxLength {
		text = text[:maxLength] + "..."
	}
	return strings.ReplaceAll(text, "\n", " ")
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

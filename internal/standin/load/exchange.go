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

// Response headers that SendRequest reports and Run does not.
const (
	headerUpstream      = "Guavapoint-Upstream"
	headerConfigVersion = "Guavapoint-Config-Version"
)

// Response is the result of one HTTP request: a response or a transport error.
type Response struct {
	Entry   string        `json:"entry"`
	Status  int           `json:"status"`
	Outcome string        `json:"outcome"`
	Reason  string        `json:"reason,omitempty"`
	Latency time.Duration `json:"latency_ns"`
	// Upstream is the address of the upstream daemon that served the call, ConfigVersion the version of the entry daemon's
	// configuration.
	Upstream      string `json:"upstream,omitempty"`
	ConfigVersion string `json:"config_version,omitempty"`
	// TokenSent is set if the request carried a token, TokenGiven if the response carried one.
	TokenSent  bool `json:"token_sent"`
	TokenGiven bool `json:"token_given"`
	// WrongAnswer says why an answer is wrong, as in Result.
	WrongAnswer string `json:"wrong,omitempty"`
	// Body is the response body, Error the text of a transport error.
	Body  string `json:"body,omitempty"`
	Error string `json:"error,omitempty"`
}

func (r *Response) succeeded() bool {
	return r.Outcome == OutcomeAnswered && r.Status < 400 && r.WrongAnswer == "" && r.Error == ""
}

// Exchange holds the responses to one request that was sent several times.
type Exchange struct {
	Key string `json:"key"`
	// Responses are in the order of sending, those that only issue a token included.
	Responses []Response `json:"told"`
}

// SendRequest sends one request the given number of times, to the entry daemons in turn. Once a daemon has issued a
// token, the request is sent again at once with it, which isn't counted, and all later sends carry this first token.
// Rate, Count, Duration, MaxInFlight and Mix of the options are not used. It returns an error only for invalid options;
// transport errors are in the Exchange.
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

// sendOnce sends the request once. It returns the result and the token in the response, "" if there is none.
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

// Check returns an error unless each response is a success or issues the token, at least one is a success, and all
// successes have the same body.
func (e *Exchange) Check() error {
	var errs []error
	answer := ""
	for i, r := range e.Responses {
		switch {
		case r.TokenGiven && !r.TokenSent: // issues the token
		case !r.succeeded():
			errs = append(errs, fmt.Errorf("response %d from %s: outcome %s, status %d, reason %s, error: %s",
				i+1, r.Entry, r.Outcome, r.Status, orDash(r.Reason), orDash(r.WrongAnswer+r.Error)))
		case answer == "":
			answer = r.Body
		case answer != r.Body:
			errs = append(errs, fmt.Errorf("response %d from %s: body differs from the first success", i+1, r.Entry))
		}
	}
	if answer == "" {
		errs = append(errs, errors.New("the request was not answered"))
	}
	return errors.Join(errs...)
}

// WriteTable prints the exchange as a text table. Long answers are truncated.
func (e *Exchange) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "entry\tstatus\toutcome\treason\ttoken\tserved by\ttime\tanswer")
	for _, r := range e.Responses {
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Entry, r.Status, r.Outcome, orDash(r.Reason),
			r.tokenUse(), orDash(r.Upstream), millis(r.Latency), r.summary())
	}
	return t.Flush()
}

// tokenUse returns the table's token column.
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

// summary returns the table's answer column: the error or the body on one line, truncated to maxLength bytes.
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

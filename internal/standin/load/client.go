package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the call listener, as published in docs/design.md, and of the stand-in backend server.
const (
	headerTimeout    = "Guavapoint-Timeout"
	headerRequestID  = "Guavapoint-Request-Id"
	headerToken      = "Guavapoint-Token"
	headerOutcome    = "Guavapoint-Outcome"
	headerReason     = "Guavapoint-Reason"
	headerRequestKey = "X-Request-Key"
)

// Outcomes as they appear in headers and records.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// Reasons that the load generator sets itself.
const (
	ReasonEntryUnreachable = "entry-unreachable" // no connection to the entry daemon, nothing was sent
	ReasonEntryLost        = "entry-lost"        // the connection to the entry daemon broke
	ReasonNoOutcome        = "no-outcome"        // the response carries no outcome
	reasonTokenRefused     = "token-refused"
)

// maxAnswerSize bounds an answer, in bytes.
const maxAnswerSize = 32 << 20

// resendDelay is the pause before a resend. Callers of the users' kinds wait about this long.
const resendDelay = 100 * time.Millisecond

// Result is what one caller was told about one request.
type Result struct {
	Key        string        `json:"key"`
	Operation  string        `json:"operation"`
	Class      string        `json:"class"`
	Idempotent bool          `json:"idempotent"`
	Outcome    string        `json:"outcome"`
	Reason     string        `json:"reason,omitempty"`
	Status     int           `json:"status,omitempty"`
	Attempts   int           `json:"attempts"`
	Latency    time.Duration `json:"latency_ns"`
	// Wrong describes an answer that does not belong to the request or is incomplete.
	WrongAnswer string `json:"wrong,omitempty"`
	// Detail is the beginning of an error body.
	Detail string `json:"detail,omitempty"`
}

// Succeeded reports whether the caller got a complete, correct and successful answer.
func (r *Result) Succeeded() bool {
	return r.Outcome == OutcomeAnswered && r.Status < http.StatusBadRequest && r.WrongAnswer == ""
}

// client sends requests through the entries in turn.
type client struct {
	http    *http.Client
	entries []string
	timeout time.Duration
	resends int
}

func newClient(o Options) *client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConns = 0
	t.MaxIdleConnsPerHost = o.MaxInFlight
	return &client{http: &http.Client{Transport: t}, entries: o.Entries, timeout: o.Timeout, resends: o.Resends}
}

// request is one request with the state that its attempts share.
type request struct {
	op     Operation
	key    string
	number int
	body   []byte
	token  string
	// mayHaveRun is set while an attempt may have run.
	mayHaveRun bool
}

// do sends the request, resends it while its outcome is not "answered" and resends are left, and returns what is
// certain at the end.
func (c *client) do(ctx context.Context, op Operation, key string, number int) Result {
	req := &request{op: op, key: key, number: number, body: makeBody(key, op.BodyBytes)}
	start := time.Now()
	res := Result{Key: key, Operation: op.Name, Class: op.Class, Idempotent: op.Idempotent}
	for {
		c.attempt(ctx, req, &res)
		req.combineOutcome(&res)
		if res.Outcome == OutcomeAnswered || res.Attempts > c.resends || ctx.Err() != nil {
			break
		}
		sleep(ctx, resendDelay)
	}
	res.Latency = time.Since(start)
	return res
}

// combineOutcome updates the doubt after an attempt. A token is given up only when no attempt with it can still run.
func (q *request) combineOutcome(res *Result) {
	switch {
	case res.Outcome == OutcomeUnknown:
		q.mayHaveRun = true
	case res.Outcome == OutcomeNotRun && res.Reason == reasonTokenRefused:
		q.mayHaveRun = false
		q.token = ""
	case res.Outcome == OutcomeNotRun && q.mayHaveRun:
		res.Outcome = OutcomeUnknown
	case res.Outcome == OutcomeNotRun:
		q.token = ""
	}
}

// attempt sends the request once, or twice when the daemon asks for a token. A request that has a token never takes
// another one here, since it may still run with the first.
func (c *client) attempt(ctx context.Context, q *request, res *Result) {
	entry := c.entries[(q.number+res.Attempts)%len(c.entries)]
	res.Attempts++
	resp, body, err := c.send(ctx, entry, q)
	if err == nil && resp.StatusCode == http.StatusPreconditionRequired && q.token == "" {
		q.token = resp.Header.Get(headerToken)
		resp, body, err = c.send(ctx, entry, q)
	}
	res.Status, res.WrongAnswer, res.Detail = 0, "", ""
	if err != nil {
		res.Outcome, res.Reason = classifyError(err)
		res.Detail = err.Error()
		return
	}
	res.Status = resp.StatusCode
	res.Outcome, res.Reason = resp.Header.Get(headerOutcome), resp.Header.Get(headerReason)
	if res.Outcome == "" {
		res.Outcome, res.Reason = OutcomeUnknown, ReasonNoOutcome
	}
	if res.Outcome != OutcomeAnswered || resp.StatusCode >= http.StatusBadRequest {
		res.Detail = string(body[:min(len(body), 200)])
		return
	}
	res.WrongAnswer = q.checkAnswer(body)
}

// classifyError classifies a transport error. Only a failed dial proves that nothing was sent.
func classifyError(err error) (outcome, reason string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeNotRun, ReasonEntryUnreachable
	}
	return OutcomeUnknown, ReasonEntryLost
}

// send makes one HTTP request and reads the complete answer.
func (c *client) send(ctx context.Context, entry string, q *request) (*http.Response, []byte, error) {
	path := strings.ReplaceAll(q.op.Path, "{n}", strconv.Itoa(q.number))
	url := "http://" + entry + "/call/" + q.op.Service + path
	// The margin lets the daemon report the end of the deadline itself.
	ctx, cancel := context.WithTimeout(ctx, c.timeout+c.timeout/4+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.op.Method, url, bytes.NewReader(q.body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(headerRequestKey, q.key)
	req.Header.Set(headerRequestID, q.key)
	req.Header.Set(headerTimeout, c.timeout.String())
	if q.token != "" {
		req.Header.Set(headerToken, q.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize+1))
	if err == nil && len(body) > maxAnswerSize {
		err = fmt.Errorf("the answer is larger than %d bytes", maxAnswerSize)
	}
	return resp, body, err
}

// checkAnswer compares an answer of a stand-in backend server with the request.
func (q *request) checkAnswer(body []byte) string {
	var a struct {
		Key    string `json:"key"`
		SHA256 string `json:"sha256"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return "the answer is not the JSON of a stand-in backend server: " + err.Error()
	}
	if a.Key != q.key {
		return fmt.Sprintf("the answer belongs to request %q", a.Key)
	}
	if !q.op.Upload {
		return ""
	}
	sum := sha256.Sum256(q.body)
	if want := hex.EncodeToString(sum[:]); a.SHA256 != want {
		return fmt.Sprintf("the hash of the upload is %q instead of %s", a.SHA256, want)
	}
	return ""
}

// makeBody returns bytes that differ for each key, so that no two requests look alike.
func makeBody(key string, size int) []byte {
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // never fails
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + byte(rng.Uint32()%26)
	}
	return body
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

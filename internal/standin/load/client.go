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

	"guavapoint.example/guavapoint/internal/httpcheck"
)

// Headers of the call listener, as published in docs/design.md. headerRequestKey is read by the stand-in backend
// server, which writes the key to its run log.
const (
	headerTimeout    = "Guavapoint-Timeout"
	headerRequestID  = "Guavapoint-Request-Id"
	headerToken      = "Guavapoint-Token"
	headerOutcome    = "Guavapoint-Outcome"
	headerReason     = "Guavapoint-Reason"
	headerRequestKey = "X-Request-Key"
)

// Outcomes as written in the Guavapoint-Outcome header and in records.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

// Reasons that the load generator sets itself, except reasonTokenRefused, which daemons send.
const (
	ReasonEntryUnreachable = "entry-unreachable" // the dial of the entry daemon failed, nothing was sent
	ReasonEntryLost        = "entry-lost"        // any other transport error, timeouts included
	ReasonNoOutcome        = "no-outcome"        // the response has no Guavapoint-Outcome header
	reasonTokenRefused     = "token-refused"
)

// maxResponseSize is the largest answer body that is read, in bytes.
const maxResponseSize = 32 << 20

// resendDelay is the pause before a resend, about as long as the users' own callers wait.
const resendDelay = 100 * time.Millisecond

// Result is the outcome of one request, after all its attempts, as its caller received it. It is one line of the
// record.
type Result struct {
	Key        string `json:"key"`
	Operation  string `json:"operation"`
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason,omitempty"`
	Status     int    `json:"status,omitempty"`
	Attempts   int    `json:"attempts"`
	// Latency is the time from the first attempt to the end of the last one, pauses before resends included.
	Latency time.Duration `json:"latency_ns"`
	// WrongAnswer says why an answer is wrong: it does not belong to the request or is incomplete. It is empty for a
	// correct answer.
	WrongAnswer string `json:"wrong,omitempty"`
	// Detail is the beginning of an error response's body, or the text of a transport error.
	Detail string `json:"detail,omitempty"`
}

// Succeeded reports whether the caller received a complete and correct answer with a status below 400.
func (r *Result) Succeeded() bool {
	return r.Outcome == OutcomeAnswered && r.Status < http.StatusBadRequest && r.WrongAnswer == ""
}

// client sends requests to the entry daemons in turn.
type client struct {
	http    *http.Client
	entries []string
	timeout time.Duration
	resends int
}

func newClient(o Options) *client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil      // ignore HTTP_PROXY of the environment
	t.MaxIdleConns = 0 // no limit over all hosts; the limit per host applies
	t.MaxIdleConnsPerHost = o.MaxInFlight
	return &client{http: &http.Client{Transport: httpcheck.Checked(t)}, entries: o.Entries, timeout: o.Timeout, resends: o.Resends}
}

// request is one request and the state that its attempts share.
type request struct {
	op     Operation
	key    string
	number int // index of the request in the run, from 0
	body   []byte
	token  string // "" if none is held
	// mayHaveRun is set while an earlier attempt may have run or may still run.
	mayHaveRun bool
}

// do sends the request and resends it until it is answered, no resends are left or ctx ends. It returns the combined
// outcome of all attempts.
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

// combineOutcome combines the outcome of the last attempt with those of the earlier ones: "not-run" becomes "unknown"
// while an earlier attempt may have run. The token is dropped only when no attempt with it can still run: after the
// daemon has refused the token, or if all attempts with it ended as "not-run".
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

// attempt sends the request once, or a second time with the token that the daemon issued if it requires one (status
// 428). A request that has a token accepts no other one here, since it may still run with the first.
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

// classifyError returns the outcome and reason for a transport error. Only after a failed dial is it certain that
// nothing was sent.
func classifyError(err error) (outcome, reason string) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OutcomeNotRun, ReasonEntryUnreachable
	}
	return OutcomeUnknown, ReasonEntryLost
}

// send makes one HTTP request and reads the complete response body. It fails if the body exceeds maxResponseSize.
func (c *client) send(ctx context.Context, entry string, q *request) (*http.Response, []byte, error) {
	path := strings.ReplaceAll(q.op.Path, "{n}", strconv.Itoa(q.number))
	url := "http://" + entry + "/call/" + q.op.Service + path
	// The client waits longer than the timeout that it sends, so that the daemon reports the timeout itself.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		err = fmt.Errorf("read the response of %s: %w", url, err)
	} else if len(body) > maxResponseSize {
		err = fmt.Errorf("the response of %s is larger than %d bytes", url, maxResponseSize)
	}
	return resp, body, err
}

// checkAnswer checks that body is the answer of a stand-in backend server to this request. For an upload it compares
// the SHA-256 of the body. It returns the reason why the answer is wrong, or "" for a correct one.
func (q *request) checkAnswer(body []byte) string {
	var a struct {
		Key    string `json:"key"`
		SHA256 string `json:"sha256"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return "the answer is not the JSON of a stand-in backend server: " + err.Error()
	}
	if a.Key != q.key {
		return fmt.Sprintf("the answer belongs to request %q, not to %q", a.Key, q.key)
	}
	if !q.op.Upload {
		return ""
	}
	sum := sha256.Sum256(q.body)
	if want := hex.EncodeToString(sum[:]); a.SHA256 != want {
		return fmt.Sprintf("the SHA-256 of the upload is %q instead of %s", a.SHA256, want)
	}
	return ""
}

// makeBody returns size random letters. The key is the seed, so that the bodies of different requests differ.
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

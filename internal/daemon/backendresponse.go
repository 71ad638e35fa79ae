package daemon

import (
	"context"
	"net/http"
	"time"

	"guavapoint.example/guavapoint/internal/core/announce"
	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/platform"
)

// send sends a request to the backend server. An announced backend server echoes the request's ID in its response. A
// request without an ID has a connection of its own, on which no response to another request can arrive.
func (b *backend) send(ctx context.Context, req *http.Request) (*http.Response, error) {
	id := platform.RequestID(req.Header)
	if b.instance != nil && id == "" {
		return b.pool.DoAlone(ctx, req)
	}
	return b.pool.Do(ctx, req, matchesRequestID(id))
}

// matchesRequestID returns a function that reports whether a response can belong to the request with the given ID: it
// names no other one.
func matchesRequestID(id string) func(http.Header) bool {
	return func(h http.Header) bool {
		echoed := platform.RequestID(h)
		return id == "" || echoed == "" || echoed == id
	}
}

// checkResponse returns the result of a response that isn't passed on, or nil if it is. It also records what the
// response says about the backend server. Responses are checked only if the backend server announces itself, since only
// then are the platform's header fields expected.
func (b *backend) checkResponse(c *upstreamCall, req *http.Request, resp *http.Response, sentAt time.Time) *result {
	if b.instance == nil {
		return nil
	}
	if cause := mismatch(platform.RequestID(req.Header), resp); cause != "" {
		b.log.Log(events.AnswerRejected, c.header.RootID, resp.StatusCode, cause)
		return unknown(call.ReasonAnswerMismatch)
	}
	refused := platform.NotExecuted(resp.StatusCode, resp.Header)
	if (refused || platform.HasSignature(resp.Header)) && resp.StatusCode != http.StatusMisdirectedRequest {
		b.recordReport(sentAt, announce.Report{RateLimit: platform.RateLimit(resp.Header), Leaving: platform.Leaving(resp.Header)})
	}
	if refused {
		return notRun(call.ReasonBackendRefused)
	}
	return nil
}

// mismatch returns why a response doesn't prove to be the backend server's own to the request with the given ID, or ""
// if it does. After any other response the request may have run. A caller sends it again after a status that promises
// that it hasn't, so such a status counts only where the backend server states this.
func mismatch(id string, resp *http.Response) string {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	refused := platform.NotExecuted(resp.StatusCode, resp.Header)
	switch {
	case id != "" && platform.RequestID(resp.Header) != id:
		return "no request id"
	case success && refused:
		return "success that states that the request did not run"
	case success && !platform.HasSignature(resp.Header):
		return "success without a signature"
	case platform.PromisesNotRun(resp.StatusCode) && !refused:
		return "status of a refusal without the statement that the request did not run"
	case !refused && resp.Header.Get("Content-Encoding") != "":
		return "encoded body"
	default:
		return ""
	}
}

package guavapoint

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Guards against a request that fails because its upstream was replaced after issuing the token and before the token's
// first use, and against a second run if the request may have run with the earlier token.
func TestTokenOfReplacedUpstream(t *testing.T) {
	for _, lostBefore := range []bool{false, true} {
		var mu sync.Mutex // guards issued and sent, which several server goroutines and this one use
		issued, sent := 0, 0
		c := startEntries(t, 0, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock() // also when abortConnection panics
			token := r.Header.Get(headerToken)
			switch {
			case token == "":
				issued++
				w.Header().Set(headerToken, string(rune('a'+issued)))
				writeError(w, http.StatusPreconditionRequired, call.OutcomeNotRun, ReasonTokenRequired)
			case token == "b" && lostBefore && sent == 0:
				sent++
				abortConnection()
			case token == "b":
				writeError(w, http.StatusGatewayTimeout, call.OutcomeUnknown, ReasonIncarnationGone)
			default:
				writeAnswer(w, "done")
			}
		})
		response, err := c.Do(context.Background(), &Request{Service: "s", Method: http.MethodPost})
		unknown, _ := errors.AsType[*UnknownError](err)
		mu.Lock()
		if lostBefore && (unknown == nil || issued != 1) {
			t.Errorf("the token was replaced although the request may have run with it: %d tokens, %v, %v", issued, response, err)
		}
		if !lostBefore && (err != nil || issued != 2 || string(response.Body) != "done") {
			t.Errorf("the token was not replaced although the request never ran with it: %d tokens, %v", issued, err)
		}
		mu.Unlock()
	}
}

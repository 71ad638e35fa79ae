package daemon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint"
)

// runCounter counts how often each transfer, a non-idempotent request to the service "transfer", ran on any backend
// server.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.runs[r.URL.Path]++
	l.mu.Unlock()
	time.Sleep(time.Duration(len(r.URL.Path)%7) * 5 * time.Millisecond) // so that kills also occur during a run
	fmt.Fprint(w, "done ", r.URL.Path)
}

func (l *runCounter) count(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

// reportedOutcome is the outcome that a caller has of its transfer after all resends. The body is set if it is
// answered.
type reportedOutcome struct {
	outcome string
	body    string
}

// transfer sends one transfer as an HTTP caller without the client library does: it obtains a token and resends the
// request with it through random entries, until the outcome is known or after 12 attempts. It obtains a new token only
// after the outcome not-run, so when the earlier token can't run any more.
func transfer(entries []string, path string, rng *rand.Rand) reportedOutcome {
	token, last := "", reportedOutcome{outcome: "not-run"}
	for range 12 {
		got, err := tryTransfer(entries[rng.IntN(len(entries))], path, token)
		switch {
		case err != nil:
			if token != "" {
				last.outcome = "unknown"
			}
		case got.status == http.StatusPreconditionRequired:
			token = got.header.Get(headerToken)
		case got.outcome() == "answered":
			return reportedOutcome{"answered", got.body}
		case got.outcome() == "not-run":
			token, last.outcome = "", "not-run"
		default:
			last.outcome = "unknown"
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
	return last
}

// transferByLibrary sends one transfer through the client library.
func transferByLibrary(t *testing.T, client *guavapoint.Client, path string) reportedOutcome {
	resp, err := client.Do(t.Context(), &guavapoint.Request{Service: "transfer", Method: "POST", Path: path,
		Body: []byte("x"), Timeout: 2 * time.Second})
	var notRun *guavapoint.NotRunError
	var unknown *guavapoint.UnknownError
	switch {
	case err == nil:
		return reportedOutcome{"answered", string(resp.Body)}
	case errors.As(err, &notRun):
		return reportedOutcome{outcome: "not-run"}
	case errors.As(err, &unknown):
		return reportedOutcome{outcome: "unknown"}
	default:
		t.Errorf("%s: %v", path, err)
		return reportedOutcome{outcome: "unknown"}
	}
}

// tryTransfer sends a transfer to an entry like testDaemon.send, but returns an error if the entry is down.
func tryTransfer(entry, path, token string) (reply, error) {
	req, err := http.NewRequest("POST", "http://"+entry+"/call/transfer"+path, strings.NewReader("x"))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(headerTimeout, "1s")
	if token != "" {
		req.Header.Set(headerToken, token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	return readReply(resp)
}

// Guards against a transfer that runs twice, one that ran and is reported as not-run, and one that didn't run and is
// reported as answered, while upstreams and entries are killed and restarted under load.
func TestTransfersUnderKills(t *testing.T) {
	s := newTestCluster(t)
	s.drain = time.Millisecond // so that a stop cuts off requests in flight, as a kill does
	l := &runCounter{runs: make(map[string]int)}
	var upstreams, entries []*testDaemon
	var addresses []string
	for range 3 {
		upstreams = append(upstreams, s.add("transfer", l))
		entries = append(entries, s.add("lookup", http.NotFoundHandler()))
		addresses = append(addresses, entries[len(entries)-1].settings.CallAddress)
	}
	s.ready()
	client, err := guavapoint.NewClient(guavapoint.Config{Entries: addresses})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var callers sync.WaitGroup
	var mu sync.Mutex
	reported := make(map[string]reportedOutcome)
	for caller := range 8 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(20261204, uint64(caller)))
			for i := range 25 {
				path := fmt.Sprintf("/%d/%s%d", caller, strings.Repeat("x", rng.IntN(7)), i)
				var v reportedOutcome
				if caller%2 == 0 {
					v = transfer(addresses, path, rng)
				} else {
					v = transferByLibrary(t, client, path)
				}
				mu.Lock()
				reported[path] = v
				mu.Unlock()
			}
		})
	}
	finished := make(chan struct{})
	go func() { callers.Wait(); close(finished) }()
	s.killUntil(finished, append(upstreams, entries[1:]...))
	totals := make(map[string]int)
	for path, v := range reported {
		totals[v.outcome]++
		runs := l.count(path)
		bad := runs > 1 || v.outcome == "not-run" && runs != 0 ||
			v.outcome == "answered" && (runs != 1 || v.body != "done "+path)
		if bad {
			t.Errorf("%s: reported as %+v, ran %d times", path, v, runs)
		}
	}
	if totals["answered"] == 0 {
		t.Errorf("nothing was answered: %v", totals)
	}
	t.Log(totals)
}

// killUntil kills and restarts random daemons, one at a time, until finished is closed.
func (s *testCluster) killUntil(finished <-chan struct{}, nodes []*testDaemon) {
	rng := rand.New(rand.NewPCG(20261204, 99))
	for {
		select {
		case <-finished:
			return
		case <-time.After(time.Duration(50+rng.IntN(100)) * time.Millisecond):
			s.restart(nodes[rng.IntN(len(nodes))])
		}
	}
}

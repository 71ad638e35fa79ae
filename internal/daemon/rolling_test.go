package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"guavapoint.example/guavapoint"
)

// Guards against requests that fail while the daemons of a zone, including the entries, are replaced one after the
// other under load.
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	s := newTestCluster(t)
	ok := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond) // longer than drainPollInterval
		fmt.Fprint(w, "done ", r.URL.Path)
	})
	var addresses []string
	for range 3 {
		s.add("transfer", ok)
		addresses = append(addresses, s.add("lookup", ok).settings.CallAddress)
	}
	s.ready()
	client, err := guavapoint.NewClient(guavapoint.Config{Entries: addresses})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() { callUntil(t, client, stop, caller) })
	}
	for _, n := range s.nodes {
		s.restart(n)
		s.ready()
	}
	close(stop)
	callers.Wait()
}

// callUntil sends lookups and transfers alternately until stop is closed. Each must get its complete response.
func callUntil(t *testing.T, client *guavapoint.Client, stop <-chan struct{}, caller int) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		path := fmt.Sprintf("/%d/%d", caller, i)
		for _, r := range []*guavapoint.Request{
			{Service: "lookup", Method: "GET", Path: path, Timeout: waitTimeout},
			{Service: "transfer", Method: "POST", Path: path, Body: []byte("x"), Timeout: waitTimeout},
		} {
			resp, err := client.Do(t.Context(), r)
			if err != nil {
				t.Errorf("%s %s: %v", r.Method, path, err)
				return
			}
			if string(resp.Body) != "done "+path {
				t.Errorf("%s %s: got %q", r.Method, path, resp.Body)
			}
		}
	}
}

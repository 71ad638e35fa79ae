package guavapoint_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"guavapoint.example/guavapoint"
)

// entryDaemon stands in for an entry daemon. It asks for a token, then answers.
func entryDaemon(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Guavapoint-Token") == "" {
		w.Header().Set("Guavapoint-Outcome", "not-run")
		w.Header().Set("Guavapoint-Reason", "token-required")
		w.Header().Set("Guavapoint-Token", "AQ")
		w.WriteHeader(http.StatusPreconditionRequired)
		return
	}
	w.Header().Set("Guavapoint-Outcome", "answered")
	_, _ = fmt.Fprint(w, "transfer 17 registered")
}

func Example() {
	daemon := httptest.NewServer(http.HandlerFunc(entryDaemon))
	defer daemon.Close()
	client, err := guavapoint.NewClient(guavapoint.Config{
		Entries: []string{strings.TrimPrefix(daemon.URL, "http://")},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	response, err := client.Do(context.Background(), &guavapoint.Request{
		Service: "holdership",
		Method:  http.MethodPost,
		Path:    "/transfers",
		Body:    []byte(`{"block":"192.0.2.0/24","to":"member-9"}`),
		Timeout: 2 * time.Second,
	})
	var notRun *guavapoint.NotRunError
	var unknown *guavapoint.UnknownError
	switch {
	case errors.As(err, &notRun):
		fmt.Println("safe to send again:", notRun.Reason)
	case errors.As(err, &unknown):
		fmt.Println("ask again later with", unknown.RequestID, unknown.Token)
	case err != nil:
		fmt.Println(err)
	default:
		fmt.Println(response.Status, string(response.Body))
	}
	// Output: 200 transfer 17 registered
}

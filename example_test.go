package guavapoint_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"guavapoint.example/guavapoint"
)

// Registers a transfer at most once, through entry daemons in two zones.
func Example() {
	client, err := guavapoint.NewClient(guavapoint.Config{Entries: []string{"192.0.2.1:7100", "198.51.100.1:7100"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	response, err := client.Do(context.Background(), &guavapoint.Request{
		Service: "holdership",
		Method:  http.MethodPost,
		Path:    "/transfers",
		Body:    []byte(`{"block":"203.0.113.0/24","to":"member-9"}`),
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
}

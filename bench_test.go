package guavapoint

import (
	"context"
	"net/http"
	"testing"
)

// BenchmarkDo measures one request of 1 KiB through the library to an entry daemon that answers at once. The time
// includes the daemon's part, which runs in the same process.
func BenchmarkDo(b *testing.B) {
	c := startEntries(b, 0, func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, "done") })
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Do(context.Background(), &Request{Service: "s", Method: http.MethodPut, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
}

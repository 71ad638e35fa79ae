package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an answer that was broken off and that a caller with HTTP/1.0 takes for whole: it has no length there, and
// ends with the connection.
func TestCutAnswerResetsHTTP10(t *testing.T) {
	s := newTestCluster(t)
	s.withOperatorConfig()
	b := newRawBackend(t, "i-1")
	n := s.startServing(t, b)
	text := cutHead + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", 2*maxAnswerPrefix, strings.Repeat("x", 2*maxAnswerPrefix))
	b.serve = b.cutAt(text, len(text), closeConn)
	conn, err := net.Dial("tcp", n.settings.Ingress.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /write/cut HTTP/1.0\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n", randomID())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return // reset before the head was read
	}
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("status %d with %d bytes that look whole", resp.StatusCode, len(body))
	}
}

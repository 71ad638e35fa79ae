// Package httpcheck checks HTTP/1.1 responses before they are believed. net/http takes some that other readers reject or
// read in another way, such as a field name with a blank, which hides a Content-Length from it.
package httpcheck

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the errors of Check and CheckHead.
var ErrMalformed = errors.New("malformed response")

// Statuses that a response may have. Those below minFinalStatus are informational.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// Versions that a response may have.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// CheckHead checks the head of a response as it was received, with its status line and up to the empty line that ends it.
func CheckHead(head []byte) error {
	lines := strings.Split(strings.TrimSuffix(string(head), "\n"), "\n")
	if err := checkStatusLine(strings.TrimSuffix(lines[0], "\r")); err != nil {
		return err
	}
	lengths, codings := 0, 0
	for _, line := range lines[1:] {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue // ends the head
		}
		name, err := checkField(line)
		if err != nil {
			return err
		}
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			codings++
		}
	}
	switch {
	case lengths > 0 && codings > 0:
		return fmt.Errorf("%w: both a length and a transfer coding", ErrMalformed)
	case codings > 0 && strings.HasPrefix(lines[0], version10):
		return fmt.Errorf("%w: a transfer coding in HTTP/1.0, which has none", ErrMalformed)
	default:
		return nil
	}
}

// checkStatusLine checks the first line of a response.
func checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	if version != version11 && version != version10 {
		return fmt.Errorf("%w: version %q", ErrMalformed, version)
	}
	status, reason, _ := strings.Cut(rest, " ")
	if len(status) != 3 || strings.Trim(status, "0123456789") != "" || status < fmt.Sprint(minStatus) || status > fmt.Sprint(maxStatus) {
		return fmt.Errorf("%w: status %q", ErrMalformed, status)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return fmt.Errorf("%w: reason %q", ErrMalformed, reason)
	}
	return nil
}

// checkField checks a line with a field and returns its name. A line that continues the one before is rejected: readers
// differ on these.
func checkField(line string) (string, error) {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return "", fmt.Errorf("%w: field %q", ErrMalformed, line)
	}
	return name, nil
}

// Check checks a response that net/http has read: its status is final, and the names and values of its fields are valid.
func Check(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, resp.StatusCode)
	}
	return CheckFields(resp.Header)
}

// CheckFields checks the names and values of fields that net/http has read.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value %q of %s", ErrMalformed, v, name)
			}
		}
	}
	return nil
}

// Framed reports whether a response itself says where its body ends. The body of any other ends with the connection, and
// looks the same when the connection breaks.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// transport checks the responses of another RoundTripper.
type transport struct {
	http.RoundTripper
}

// Checked returns a RoundTripper that returns the responses of another one, and an error in place of those that aren't
// valid. A response to a request with a body must say where its own body ends: net/http writes the request in one goroutine
// and reads the response in another, and a reset that the first one gets looks like the end of the body to the second.
func Checked(rt http.RoundTripper) http.RoundTripper {
	return transport{rt}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	hasBody := req.Body != nil && req.Body != http.NoBody
	if err = Check(resp); err == nil && hasBody && !Framed(resp) {
		err = fmt.Errorf("%w: its body has no declared end", ErrMalformed)
	}
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes those of the other RoundTripper.
func (t transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// Recorder keeps the bytes of a connection from the begin of a head on, so that CheckHead sees them as they were received.
type Recorder struct {
	bytes []byte
	taken int // of bytes
	on    bool
}

// Start begins a record with bytes that were read from the connection before, but belong to the head.
func (r *Recorder) Start(read []byte) {
	r.bytes, r.taken, r.on = append(r.bytes[:0], read...), 0, true
}

// Stop ends the record.
func (r *Recorder) Stop() {
	r.on = false
}

// Add adds bytes that were read from the connection.
func (r *Recorder) Add(p []byte) {
	if r.on {
		r.bytes = append(r.bytes, p...)
	}
}

// Take returns the bytes since the last Take, without the last ones, which were read from the connection but belong to what
// follows the head. The result is valid until the next call of Start or Add.
func (r *Recorder) Take(following int) []byte {
	head := r.bytes[r.taken : len(r.bytes)-following]
	r.taken += len(head)
	return head
}

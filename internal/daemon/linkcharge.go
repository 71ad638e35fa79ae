package daemon

import (
	"io"
	"time"

	"guavapoint.example/guavapoint/internal/core/routing"
)

// chargeSent returns a reader of a request body that charges a call for what is read from it to be sent. Whether the body
// is in memory, as bytes.Reader tells by Len, stays visible to the transport.
func chargeSent(r io.Reader, charge *routing.Charge, now func() time.Time) io.Reader {
	if charge == nil {
		return r
	}
	charged := sentReader{r, charge, now}
	if sized, ok := r.(sizedReader); ok {
		return sizedSentReader{charged, sized}
	}
	return charged
}

// sizedReader is a reader whose content is in memory.
type sizedReader interface {
	io.Reader
	// Len returns the number of bytes that are left to read.
	Len() int
}

// sentReader charges a call for the bytes that are read.
type sentReader struct {
	r      io.Reader
	charge *routing.Charge
	now    func() time.Time
}

// Read implements io.Reader.
func (s sentReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	s.charge.Sent(s.now(), n)
	return n, err
}

// sizedSentReader is a sentReader of a body in memory.
type sizedSentReader struct {
	sentReader
	sized sizedReader
}

// Len returns the number of bytes that are left to read.
func (s sizedSentReader) Len() int { return s.sized.Len() }

// chargeReceived returns the body of an answer with the reads charged to its call.
func chargeReceived(body io.ReadCloser, charge *routing.Charge, now func() time.Time) io.ReadCloser {
	if charge == nil {
		return body
	}
	return receivedBody{body, charge, now}
}

// receivedBody charges a call for the bytes of its answer that are read.
type receivedBody struct {
	io.ReadCloser
	charge *routing.Charge
	now    func() time.Time
}

// Read implements io.Reader.
func (b receivedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.charge.Received(b.now(), n)
	return n, err
}

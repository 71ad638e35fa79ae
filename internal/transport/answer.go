package transport

import (
	"bytes"
	"io"

	"guavapoint.example/guavapoint/internal/wire"
)

// answerWriter writes an answer whose header is in buffer.
type answerWriter struct {
	conn          *serverConn
	buffer        *bytes.Buffer // not written yet
	unusedRetries func() int
}

// Write implements io.Writer for whole messages.
func (a *answerWriter) Write(messages []byte) (int, error) {
	return a.conn.write(messages)
}

// writeBody writes the header, the body and the trailer. A short body of known length is sent in one write.
func (a *answerWriter) writeBody(body io.Reader, length int64) error {
	if body == nil {
		return a.finish(0)
	}
	if 0 <= length && length <= maxSmallBody {
		return a.writeSmall(body)
	}
	return a.writeStreamed(body, 0)
}

// writeSmall sends a body that fits into one frame in one write. A body that is longer than declared and fills the
// frame is sent in several writes.
func (a *answerWriter) writeSmall(body io.Reader) error {
	f := framePool.Get().(*wire.FrameBuffer)
	defer framePool.Put(f)
	n, err := fill(f.Payload(), body)
	if n > 0 {
		a.buffer.Write(f.Frame(n))
	}
	switch err {
	case io.EOF:
		return a.finish(int64(n))
	case nil:
		return a.writeStreamed(body, int64(n))
	default:
		return &BodyError{Err: err}
	}
}

// fill reads until p is full or the reader returns an error, which it returns as it is. io.ReadFull would return
// io.ErrUnexpectedEOF both for a body that ends within p and for one that was broken off.
func fill(p []byte, r io.Reader) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// writeStreamed writes the buffer, then body in frames, then the trailer. before is the number of body bytes in the
// buffer.
func (a *answerWriter) writeStreamed(body io.Reader, before int64) error {
	if _, err := a.Write(a.buffer.Bytes()); err != nil {
		return err
	}
	a.buffer.Reset()
	n, err := writeBodyFrames(a, body)
	if err != nil {
		return err
	}
	return a.finish(before + n)
}

// finish writes the buffer and the trailer.
func (a *answerWriter) finish(length int64) error {
	if err := wire.WriteTrailer(a.buffer,
		&wire.Trailer{UnusedRetries: max(0, a.unusedRetries()), Length: length}); err != nil {
		return err
	}
	return a.conn.writeLast(a.buffer.Bytes())
}

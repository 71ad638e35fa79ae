package transport

import (
	"bytes"
	"io"
	"sync"

	"guavapoint.example/guavapoint/internal/wire"
)

var (
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	frames  = sync.Pool{New: func() any { return new(wire.FrameBuffer) }}
)

// maxPooled is the capacity in bytes above which a buffer is not kept.
const maxPooled = 128 << 10

func newBuffer() *bytes.Buffer { return buffers.Get().(*bytes.Buffer) }

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooled {
		return
	}
	b.Reset()
	buffers.Put(b)
}

// copyFrames sends r as body frames and returns the bytes of the body. An error of r is a *BodyError.
func copyFrames(w io.Writer, r io.Reader) (int64, error) {
	f := frames.Get().(*wire.FrameBuffer)
	defer frames.Put(f)
	var total int64
	for {
		n, err := r.Read(f.Space())
		if n > 0 {
			if _, err := w.Write(f.Frame(n)); err != nil {
				return total, err
			}
			total += int64(n)
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, &BodyError{Err: err}
		}
	}
}

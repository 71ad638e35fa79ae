package transport

import (
	"bytes"
	"io"
	"sync"

	"guavapoint.example/guavapoint/internal/wire"
)

var (
	bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	framePool  = sync.Pool{New: func() any { return new(wire.FrameBuffer) }}
)

// maxPooledBufferSize is the capacity in bytes above which a buffer is not returned to the pool.
const maxPooledBufferSize = 128 << 10

func newBuffer() *bytes.Buffer { return bufferPool.Get().(*bytes.Buffer) }

func putBuffer(b *bytes.Buffer) {
	if b.Cap() > maxPooledBufferSize {
		return
	}
	b.Reset()
	bufferPool.Put(b)
}

// writeBodyFrames writes the content of r as body frames and returns the number of bytes read from r and written. An
// error of r is returned as a *BodyError.
func writeBodyFrames(w io.Writer, r io.Reader) (int64, error) {
	f := framePool.Get().(*wire.FrameBuffer)
	defer framePool.Put(f)
	var total int64
	for {
		n, err := r.Read(f.Payload())
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

package wire

import "io"

// FrameBuffer holds one body frame with its prefix. Fill Space, then call Frame with the number of bytes filled.
type FrameBuffer [PrefixSize + frameSize]byte

// frameSize is the payload of the frames that a daemon sends, in bytes. It is below MaxFrame because a buffer of this
// size is held for each body in transfer.
const frameSize = 32 << 10

// Space returns the place for the payload.
func (f *FrameBuffer) Space() []byte { return f[PrefixSize:] }

// Frame returns the encoded frame with the first n bytes of Space as its payload.
func (f *FrameBuffer) Frame(n int) []byte {
	putPrefix(f[:], KindBody, n)
	return f[:PrefixSize+n]
}

// AppendEnd appends the end frame of a request body to dst.
func AppendEnd(dst []byte) []byte {
	return AppendSign(dst, KindEnd)
}

// IsEnd reports whether a prefix is that of the end frame of a request body.
func IsEnd(prefix []byte) bool { return Kind(prefix[0]) == KindEnd }

// BodyReader reads the frames of a body up to its end. It is not safe for concurrent use.
type BodyReader struct {
	r       io.Reader
	last    Kind
	left    int // bytes of the current frame that were not read yet
	total   int64
	trailer Trailer
	err     error
	scratch [PrefixSize]byte
}

// NewRequestBody reads a request body, which a KindEnd frame ends.
func NewRequestBody(r io.Reader) *BodyReader { return &BodyReader{r: r, last: KindEnd} }

// NewResponseBody reads a response body, which a Trailer ends.
func NewResponseBody(r io.Reader) *BodyReader { return &BodyReader{r: r, last: KindTrailer} }

// Read implements io.Reader. It returns io.EOF only after the frame that ends the body, io.ErrUnexpectedEOF for a
// stream that ends before, and *LengthError for a body that differs in length from its trailer. Errors are permanent.
func (b *BodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	for b.left == 0 {
		if b.err = b.next(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.total += int64(n)
	b.err = unexpected(err, b.left)
	return n, b.err
}

// unexpected converts the end of the stream within a body. An error that comes with the last byte of a frame is left
// to the next read.
func unexpected(err error, left int) error {
	if err == io.EOF && left == 0 {
		return nil
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// next reads the prefix of the next frame, and the payload of the last one.
func (b *BodyReader) next() error {
	k, n, err := readPrefix(b.r, &b.scratch)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch {
	case k == KindBody:
		b.left = n
		return nil
	case k == KindAlive && b.last == KindTrailer:
		return nil
	case k == KindEnd && b.last == KindEnd:
		return io.EOF
	case k == KindTrailer && b.last == KindTrailer:
		return b.finish(n)
	default:
		return &KindError{Got: k, Want: "a body frame or a " + b.last.String()}
	}
}

func (b *BodyReader) finish(n int) error {
	if err := readPayload(b.r, KindTrailer, n, &b.trailer); err != nil {
		return err
	}
	if b.trailer.Length != b.total {
		return &LengthError{Got: b.total, Want: b.trailer.Length}
	}
	return io.EOF
}

// Done reports whether the body was read to its end.
func (b *BodyReader) Done() bool { return b.err == io.EOF }

// Trailer returns the trailer of a response body. It is zero until Done.
func (b *BodyReader) Trailer() Trailer {
	if !b.Done() {
		return Trailer{}
	}
	return b.trailer
}

package wire

import "io"

// FrameBuffer holds one body frame with its prefix. Write to Payload, then call Frame with the number of bytes written.
type FrameBuffer [PrefixSize + framePayloadSize]byte

// framePayloadSize is the payload size of the frames that a daemon sends, in bytes. It is below MaxFrameSize because
// each body in transfer holds a buffer of this size.
const framePayloadSize = 32 << 10

// Payload returns the part of the buffer that holds the payload.
func (f *FrameBuffer) Payload() []byte { return f[PrefixSize:] }

// Frame returns the encoded frame with the first n bytes of Payload as its content.
func (f *FrameBuffer) Frame(n int) []byte {
	putPrefix(f[:], KindBody, n)
	return f[:PrefixSize+n]
}

// AppendEnd appends the end frame of a request body to dst.
func AppendEnd(dst []byte) []byte {
	return AppendEmptyMessage(dst, KindEnd)
}

// IsEnd reports whether a prefix is that of the end frame of a request body.
func IsEnd(prefix []byte) bool { return Kind(prefix[0]) == KindEnd }

// BodyReader reads the frames of a body up to its end. It is not safe for concurrent use.
type BodyReader struct {
	r         io.Reader
	endKind   Kind
	remaining int // bytes of the current frame that are not read yet
	bytesRead int64
	trailer   Trailer
	err       error
	prefix    [PrefixSize]byte
}

// NewRequestBody returns a reader of a request body, which a KindEnd frame ends.
func NewRequestBody(r io.Reader) *BodyReader { return &BodyReader{r: r, endKind: KindEnd} }

// NewAnswerBody returns a reader of an answer's body, which a Trailer ends.
func NewAnswerBody(r io.Reader) *BodyReader { return &BodyReader{r: r, endKind: KindTrailer} }

// Read implements io.Reader. It returns io.EOF only after the frame that ends the body, io.ErrUnexpectedEOF for a
// stream that ends earlier, and *LengthError for a body that differs in length from its trailer. Errors are permanent.
func (b *BodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	for b.remaining == 0 {
		if b.err = b.nextFrame(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.bytesRead += int64(n)
	b.err = midFrameError(err, b.remaining)
	return n, b.err
}

// midFrameError converts io.EOF within a frame to io.ErrUnexpectedEOF. An io.EOF that comes with the last byte of a
// frame is dropped; the next read returns it.
func midFrameError(err error, remaining int) error {
	if err == io.EOF && remaining == 0 {
		return nil
	}
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextFrame reads the prefix of the next frame, and the whole trailer if that frame is one. It returns io.EOF at the
// end of the body.
func (b *BodyReader) nextFrame() error {
	k, n, err := readPrefix(b.r, &b.prefix)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch {
	case k == KindBody:
		b.remaining = n
		return nil
	case k == KindKeepAlive && b.endKind == KindTrailer:
		return nil
	case k == KindEnd && b.endKind == KindEnd:
		return io.EOF
	case k == KindTrailer && b.endKind == KindTrailer:
		return b.readTrailer(n)
	default:
		return &KindError{Got: k, Want: "a body frame or a " + b.endKind.String()}
	}
}

// readTrailer reads a trailer of n bytes and compares its length with the bytes read. It returns io.EOF if they agree.
func (b *BodyReader) readTrailer(n int) error {
	if err := readPayload(b.r, KindTrailer, n, &b.trailer); err != nil {
		return err
	}
	if b.trailer.Length != b.bytesRead {
		return &LengthError{Got: b.bytesRead, Want: b.trailer.Length}
	}
	return io.EOF
}

// Done reports whether the body was read to its end.
func (b *BodyReader) Done() bool { return b.err == io.EOF }

// Trailer returns the trailer of an answer's body. It is zero until Done.
func (b *BodyReader) Trailer() Trailer {
	if !b.Done() {
		return Trailer{}
	}
	return b.trailer
}

package daemon

import (
	"errors"
	"io"

	"guavapoint.example/guavapoint/internal/intake"
)

// errNoMemory reports that the budget of what clients make the daemon hold doesn't allow more.
var errNoMemory = errors.New("requests in flight hold too many bytes")

// minHeldBuffer is the size of the first buffer of readHeld, in bytes. It isn't counted, so that small requests and answers
// never lack memory; each takes more than that for other things.
const minHeldBuffer = 512

// readHeld reads up to limit bytes into a buffer that belongs to the holding. It grows with the bytes that arrive, whatever
// length was stated. The error is nil at the limit, io.EOF if the reader ended before, errNoMemory if the bound doesn't allow
// more, or another error of the reader; the bytes that were read until then are returned with each of them.
func readHeld(r io.Reader, limit int, h *intake.Holding) ([]byte, error) {
	buf := make([]byte, 0, min(minHeldBuffer, limit))
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			size := min(2*cap(buf), limit)
			if !h.Grow(size - cap(buf)) {
				return buf, errNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

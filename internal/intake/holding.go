package intake

import "context"

// Holding is what the body of one request or answer holds of the budget. It is not safe for concurrent use. A nil Holding
// has no bound.
type Holding struct {
	intake *Intake
	conn   *conn // nil for what is held for another daemon
	bytes  int64
}

// Holding returns a holding of no bytes for the request with this context. A context without a connection of a client is
// that of work for other daemons.
func (i *Intake) Holding(ctx context.Context) *Holding {
	if i == nil {
		return nil
	}
	return &Holding{intake: i, conn: connOf(ctx)}
}

// Grow adds bytes to the holding. It returns false, and adds none, if the budget doesn't allow it.
func (h *Holding) Grow(bytes int) bool {
	if h == nil {
		return true
	}
	if !h.intake.grow(h.conn, int64(bytes)) {
		return false
	}
	h.bytes += int64(bytes)
	return true
}

// Bytes returns the bytes that are held.
func (h *Holding) Bytes() int64 {
	if h == nil {
		return 0
	}
	return h.bytes
}

// Release returns all bytes of the holding.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.intake.shrink(h.conn, h.bytes)
	h.bytes = 0
}

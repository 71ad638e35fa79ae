package daemon

import (
	"math"
	"net/http"
	"syscall"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/core/holdings"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/intake"
	"guavapoint.example/guavapoint/platform"
)

// buildIntakes creates the intakes of clients and of the listeners for control.
func (d *Daemon) buildIntakes() {
	clients, control := holdings.NewLimits(heapLimit(d.settings), descriptorLimit(d.settings.MaxFiles))
	d.clients = intake.New(clients, d.now, d.logEnded)
	d.operators = intake.New(control, d.now, d.logEnded)
}

// logEnded logs that a connection was ended for lack of room, with what it was doing.
func (d *Daemon) logEnded(s holdings.Stage) {
	d.log.Log(events.ConnectionEnded, s.String())
}

// descriptorLimit returns the number of descriptors that the process may open: that of the settings, unless it is 0 or the
// system allows less.
func descriptorLimit(setting int) int {
	limit := math.MaxInt32
	if setting > 0 {
		limit = setting
	}
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil && system.Cur < uint64(limit) {
		limit = int(system.Cur)
	}
	return limit
}

// refuseWithoutRoom refuses a request for which there is no room.
func refuseWithoutRoom(w http.ResponseWriter, r *http.Request) {
	platform.SetRetryAfter(w.Header(), retryAfterOverload)
	setOutcome(w, localOutcome(r), call.ReasonMemory)
	writeProblem(w, http.StatusServiceUnavailable, string(call.ReasonMemory), "the request did not run")
}

package daemon

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
	"guavapoint.example/guavapoint/internal/events"
	"guavapoint.example/guavapoint/internal/telemetry"
	"guavapoint.example/guavapoint/internal/transport"
)

// reporter records calls in metrics and log events. It is safe for concurrent use.
type reporter struct {
	log       *events.Logger
	telemetry *telemetry.Telemetry
}

// recordCall reports the end of a call that this daemon accepted as the entry. took is the whole time of the call, and
// added the part that this daemon itself added to it.
func (r *reporter) recordCall(req *request, res *result, took, added time.Duration) {
	r.telemetry.RecordCall(telemetry.Call{
		Service:      req.service,
		Class:        req.rank.Class(),
		Outcome:      res.outcome,
		Reason:       res.reason,
		Latency:      took,
		AddedLatency: added,
	})
	r.log.Log(events.CallFinished, req.service, req.rootID, req.rank.Class().String(), res.outcome.String(),
		string(res.reason), took.String())
	if res.outcome == call.OutcomeUnknown && req.requiresToken() {
		r.log.Log(events.OutcomeUnknown, req.service, req.rootID, string(res.reason))
	}
	if res.outcome == call.OutcomeNotRun {
		r.countRefusal(res.reason)
		r.logRefusal(req, res.reason)
	}
}

// countRefusal counts a call that did not run.
func (r *reporter) countRefusal(reason call.Reason) {
	r.telemetry.CountRefused(reason)
}

// countRetry counts a retry of a call to the service.
func (r *reporter) countRetry(service string) {
	r.telemetry.CountRetry(service)
}

// logRetriesExhausted logs that the retry ratio of an operation of the service did not allow a retry.
func (r *reporter) logRetriesExhausted(service string) {
	r.log.Log(events.RetryRatioExhausted, service)
}

// logTruncated logs an answer that ended early. declared is its declared length in bytes, or -1.
func (r *reporter) logTruncated(service, upstream string, declared int64) {
	r.log.Log(events.ResponseTruncated, service, upstream, nil, declared)
}

// connectionLog logs the connection events of the transport.
type connectionLog struct {
	log *events.Logger
}

// Observe implements transport.Observer. It logs failed and silent connections and rejected messages.
func (c connectionLog) Observe(e transport.Event) {
	switch e.Kind {
	case transport.EventFailed:
		if e.Incoming {
			c.log.Log(events.PeerRejected, e.Address, errorText(e.Err))
			return
		}
		c.log.Log(events.ConnectionFailed, e.Address, errorText(e.Err))
	case transport.EventSilent:
		c.log.Log(events.ConnectionSilent, e.Address, nil)
	case transport.EventRejected:
		c.log.Log(events.MessageRejected, e.Address, errorText(e.Err))
	}
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

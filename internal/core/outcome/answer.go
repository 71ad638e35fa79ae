package outcome

import (
	"errors"
	"fmt"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Field is one header field of an answer with its values.
type Field struct {
	Name   string
	Values []string
}

// Answer is the result of a request that was dispatched. A kept answer is shared between callers and must not be
// modified.
type Answer struct {
	// Status is the backend server's HTTP status code.
	Status int
	Header []Field
	Body   []byte
	// TooLarge is set if the request ran and was answered, but the answer is too large to keep. Header and Body are empty.
	TooLarge bool
	// LostReason is the reason why no whole answer exists although the request was dispatched, for example
	// call.ReasonBackendCrashed when the backend server died while it ran the request. It is empty otherwise.
	LostReason call.Reason
}

// LostAnswer returns the Answer of a dispatched request for which no whole answer exists.
func LostAnswer(reason call.Reason) Answer {
	return Answer{LostReason: reason}
}

// size returns the size of the header names, header values and body, in bytes.
func (a Answer) size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name)
		for _, v := range f.Values {
			n += len(v)
		}
	}
	return n
}

// withoutContents returns a copy without header and body, marked TooLarge.
func (a Answer) withoutContents() Answer {
	return Answer{Status: a.Status, TooLarge: true, LostReason: a.LostReason}
}

// Decision is the table's decision about a token: whether its request is to run, or how it ended.
type Decision uint8

// The decisions of Begin and Resolve.
const (
	// Undecided accompanies an error. It proves nothing about whether the token's request ran.
	Undecided Decision = iota
	// Run means that the caller of Begin must dispatch the request now and then call Finish, or call Refuse if it didn't
	// dispatch the request.
	Run
	// Running means that the request is running, or waits to be dispatched.
	Running
	// Replay means that the request was dispatched and has ended. The returned Answer holds its result.
	Replay
	// Refused means that the request never ran and never will.
	Refused
)

// String returns the name used in logs.
func (d Decision) String() string {
	names := [...]string{"undecided", "run", "running", "replay", "refused"}
	if int(d) >= len(names) {
		return fmt.Sprintf("status(%d)", uint8(d))
	}
	return names[d]
}

// Errors of the table.
var (
	// ErrTableFull reports that no token can be issued now, because the table is full of live tokens.
	ErrTableFull = errors.New("token table is full")
	// ErrExpired reports that the token expired before a request ran with it: it never ran and never will. Begin returns
	// it with Refused. Issue returns it for a token that is already expired.
	ErrExpired = errors.New("token expired before it was used")
	// ErrTokenNotFound reports that the table doesn't hold the token: it was removed or never issued. It will not run,
	// but may have run.
	ErrTokenNotFound = errors.New("token is not in the table")
	// ErrWrongIncarnation reports that another incarnation issued the token. It may have run there.
	ErrWrongIncarnation = errors.New("token was issued by another incarnation")
	// ErrRequestMismatch reports that the token was used for a different request. The request passed to Begin did not run.
	ErrRequestMismatch = errors.New("token is bound to a different request")
	// ErrDuplicate reports that a token with the same nonce is already in the table.
	ErrDuplicate = errors.New("token with the same nonce is already in the table")
)

// CallOutcome translates a result of Begin or Resolve into the outcome and the reason that are reported to the caller
// of the request. It returns call.OutcomeNotRun only if the table shows that the request didn't run. For Run the
// outcome is not known yet, and it returns call.OutcomeUnknown with call.ReasonStillRunning.
func CallOutcome(d Decision, a *Answer, err error) (call.Outcome, call.Reason) {
	switch {
	case errors.Is(err, ErrExpired) && d == Refused:
		return call.OutcomeNotRun, call.ReasonTokenExpired
	case errors.Is(err, ErrRequestMismatch):
		return call.OutcomeNotRun, call.ReasonTokenMismatch
	case err != nil: // the token is not in the table, so that its request may have run
		return call.OutcomeUnknown, call.ReasonIncarnationGone
	}
	switch d {
	case Refused:
		return call.OutcomeNotRun, call.ReasonTokenRefused
	case Replay:
		return a.outcome()
	default:
		return call.OutcomeUnknown, call.ReasonStillRunning
	}
}

// outcome returns the outcome and the reason that are reported for a kept answer.
func (a *Answer) outcome() (call.Outcome, call.Reason) {
	switch {
	case a.LostReason != call.ReasonNone:
		return call.OutcomeUnknown, a.LostReason
	case a.TooLarge:
		return call.OutcomeUnknown, call.ReasonAnswerNotKept
	default:
		return call.OutcomeAnswered, call.ReasonNone
	}
}

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

// Answer is what is known about a request that was dispatched. A kept answer is shared between callers and must not be
// modified.
type Answer struct {
	// Status is the backend server's HTTP status code.
	Status int
	Header []Field
	Body   []byte
	// TooLarge says that the request ran and was answered, but the answer is not kept. Header and Body are empty.
	TooLarge bool
	// LostReason is the reason why no whole answer exists although the request was dispatched, for example
	// call.ReasonBackendCrashed when the backend server died while it ran the request. It is empty otherwise.
	LostReason call.Reason
}

// LostAnswer returns the answer that records a dispatched request without a whole answer.
func LostAnswer(reason call.Reason) Answer {
	return Answer{LostReason: reason}
}

// size is the memory that the answer's contents take, in bytes.
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

// withoutContents returns the answer as it is kept when its contents are not.
func (a Answer) withoutContents() Answer {
	return Answer{Status: a.Status, TooLarge: true, LostReason: a.LostReason}
}

// Decision is the table's decision about a token.
type Decision uint8

// The decisions of Begin and Resolve.
const (
	// Undecided accompanies an error; the table proves nothing about the token.
	Undecided Decision = iota
	// Run means that the caller must dispatch the request now, then call Finish, or Refuse if it didn't dispatch.
	Run
	// Running means that the request is running, or waits to be dispatched.
	Running
	// Replay means that the request was dispatched and ended; the answer says how.
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
	// ErrTableFull says that no token can be issued now.
	ErrTableFull = errors.New("token table is full")
	// ErrExpired says that the token expired before it was spent: it never ran and never will. Begin returns it with
	// Refused. Issue returns it for a token that is already expired.
	ErrExpired = errors.New("token expired before it was spent")
	// ErrTokenNotFound says that the table doesn't hold the token, so that it will not run but may have run.
	ErrTokenNotFound = errors.New("token is not in the table")
	// ErrWrongIncarnation says that another incarnation issued the token. It may have run there.
	ErrWrongIncarnation = errors.New("token of another incarnation")
	// ErrRequestMismatch says that the token is bound to a different request. The request at hand was not run.
	ErrRequestMismatch = errors.New("token is bound to a different request")
	// ErrDuplicate says that a token with the same nonce is in the table.
	ErrDuplicate = errors.New("token was issued already")
)

// CallOutcome translates a result of Begin or Resolve into what the caller of the request is told. It returns
// call.OutcomeNotRun only where the table proves it. For Run the outcome is not known yet, and it returns
// call.OutcomeUnknown with call.ReasonStillRunning.
func CallOutcome(d Decision, a *Answer, err error) (call.Outcome, call.Reason) {
	switch {
	case errors.Is(err, ErrExpired) && d == Refused:
		return call.OutcomeNotRun, call.ReasonTokenExpired
	case errors.Is(err, ErrRequestMismatch):
		return call.OutcomeNotRun, call.ReasonTokenMismatch
	case err != nil:
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

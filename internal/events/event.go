// Package events writes numbered log events as JSON lines over logrus.
//
// Every line that a daemon logs is one Event of the registry. The number is stable: an event that is no longer logged
// leaves a gap, and its number is not reused. docs/events.md says what each event means and what an operator does; a
// test checks that the page and the registry list the same events.
//
// Groups: 1xxx start and stop, 2xxx membership, 3xxx configuration and contracts, 4xxx calls, overload and routing,
// 5xxx quarantine, 6xxx transport and platform.
package events

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Level  logrus.Level
	// Name is unique and in kebab-case.
	Name string
	// Message is the same on every line of the event, so that lines can be grouped by it. Values that vary are in Fields.
	Message string
	// Fields are the names of the values that are passed to Logger.Log, in the same order.
	Fields []string
	// Limited events are written at most Burst times per LimitInterval, since a peer or a surge of calls can cause any
	// number of them. The next written line has the number of suppressed lines in the field "suppressed".
	Limited bool
	Burst   int
}

// decisionBurst is the Burst of events that report the decision on one request. Four such events write at most 80 lines
// a second, about 32 KB.
const decisionBurst = 20

// Levels of events.
const (
	debug   = logrus.DebugLevel
	info    = logrus.InfoLevel
	warning = logrus.WarnLevel
	failure = logrus.ErrorLevel
)

var registry []*Event

// define adds an event to the registry.
func define(number int, level logrus.Level, name, message string, fields ...string) *Event {
	e := &Event{Number: number, Level: level, Name: name, Message: message, Fields: fields}
	registry = append(registry, e)
	return e
}

// limited adds an event that is written at most once per LimitInterval.
func limited(number int, level logrus.Level, name, message string, fields ...string) *Event {
	e := define(number, level, name, message, fields...)
	e.Limited, e.Burst = true, 1
	return e
}

// decision adds an event that reports the decision on one request. Its first field is request_id. It is written at most
// decisionBurst times per LimitInterval.
func decision(number int, level logrus.Level, name, message string, fields ...string) *Event {
	e := limited(number, level, name, message, append([]string{"request_id"}, fields...)...)
	e.Burst = decisionBurst
	return e
}

// All returns all events of the registry, sorted by number.
func All() []*Event {
	all := slices.Clone(registry)
	slices.SortFunc(all, func(a, b *Event) int { return a.Number - b.Number })
	return all
}

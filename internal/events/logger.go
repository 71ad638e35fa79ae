package events

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// LimitInterval is the interval in which a limited event is written at most Event.Burst times.
const LimitInterval = time.Second

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	log   *logrus.Logger
	fixed logrus.Fields
	clock func() time.Time

	mu         sync.Mutex        // guards lineCounts
	lineCounts map[int]lineCount // by event number
}

// lineCount counts the lines of one limited event in the current interval.
type lineCount struct {
	intervalStart time.Time
	written       int
	suppressed    int
}

// New returns a logger that writes JSON lines of the given level and above ("debug", "info", "warning" or "error") to
// w. The fixed fields, such as the daemon's name and zone, are on every line. It returns an error for a level that no
// event has.
func New(w io.Writer, level string, fixed map[string]any) (*Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Logger{log: log, fixed: fixed, clock: time.Now, lineCounts: make(map[int]lineCount)}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l, _ := New(io.Discard, "error", nil) // the level is valid
	return l
}

// SetLevel changes the lowest level that is written. A line that is being written concurrently may still use the old
// level. It returns an error for a level that New rejects.
func (l *Logger) SetLevel(level string) error {
	parsed, err := parseLevel(level)
	if err != nil {
		return err
	}
	l.log.SetLevel(parsed)
	return nil
}

// parseLevel parses a level and rejects those that no event has, such as "trace" and "fatal".
func parseLevel(level string) (logrus.Level, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil || parsed < failure || parsed > debug {
		return 0, fmt.Errorf("log level %q is not one of debug, info, warning and error", level)
	}
	return parsed, nil
}

// Log writes one line if the event's level is enabled and its rate limit allows it. The values belong to e.Fields, in
// the same order. A missing value is written as null and surplus values go into the field "surplus", so that a call
// with the wrong number of values loses none of them.
func (l *Logger) Log(e *Event, values ...any) {
	if !l.log.IsLevelEnabled(e.Level) {
		return
	}
	suppressed, ok := l.allow(e)
	if !ok {
		return
	}
	fields := make(logrus.Fields, len(l.fixed)+len(e.Fields)+3)
	for name, v := range l.fixed {
		fields[name] = fieldValue(v)
	}
	fields["event"] = e.Number
	fields["name"] = e.Name
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	addValues(fields, e, values)
	l.log.WithFields(fields).WithTime(l.clock()).Log(e.Level, e.Message)
}

func addValues(fields logrus.Fields, e *Event, values []any) {
	for i, name := range e.Fields {
		fields[name] = nil
		if i < len(values) {
			fields[name] = fieldValue(values[i])
		}
	}
	if len(values) > len(e.Fields) {
		fields["surplus"] = fmt.Sprint(values[len(e.Fields):]...)
	}
}

// fieldValue converts values whose JSON form is hard to read, such as durations in nanoseconds, into text.
func fieldValue(v any) any {
	switch v := v.(type) {
	case error:
		return v.Error()
	case time.Time:
		return v
	case fmt.Stringer:
		return v.String()
	default:
		return v
	}
}

// allow reports whether a line of the event may be written now, and how many lines of it were suppressed since the
// last written line.
func (l *Logger) allow(e *Event) (suppressed int, ok bool) {
	if !e.Limited {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	s, seen := l.lineCounts[e.Number]
	if !seen || now.Sub(s.intervalStart) >= LimitInterval {
		l.lineCounts[e.Number] = lineCount{intervalStart: now, written: 1}
		return s.suppressed, true
	}
	if s.written < e.Burst {
		s.written++
		l.lineCounts[e.Number] = s
		return 0, true
	}
	s.suppressed++
	l.lineCounts[e.Number] = s
	return 0, false
}

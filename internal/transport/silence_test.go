package transport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testStep = 50 * time.Millisecond

// script steps a machine on a fake clock and returns its actions with their times in milliseconds. Each character of
// steps is one step: '.' nothing arrived, 'p' a packet arrived, 'i' no stream is outstanding, 'z' like '.', but after
// the process was paused for 10 s.
func script(steps string) string {
	s := newSilence(DefaultPingAfter, DefaultSilentAfter)
	now := time.Unix(0, 0)
	var packets uint64
	var out []string
	for _, c := range steps {
		now = now.Add(testStep)
		if c == 'z' {
			now = now.Add(10 * time.Second)
		}
		if c == 'p' {
			packets++
		}
		if a := s.step(now, c != 'i', packets); a != actionNone {
			name := map[action]string{actionPing: "ping", actionGiveUp: "silent"}[a]
			out = append(out, fmt.Sprintf("%s@%d", name, now.Sub(time.Unix(0, 0)).Milliseconds()))
		}
	}
	return strings.Join(out, " ")
}

// Guards against a silent connection that is not noticed, and against one that is given up although it is alive, unused
// or was only not looked at.
func TestSilence(t *testing.T) {
	for _, c := range []struct{ name, steps, want string }{
		{"nothing arrives", "...........", "ping@300 silent@550"},
		{"unused", strings.Repeat("i", 100), ""},
		{"busy and answered", strings.Repeat("p", 100), ""},
		{"backend server runs long, pings are answered", "......p.....p.....p....", "ping@300 ping@600 ping@900"},
		{"silent after an answer", "......p..........", "ping@300 ping@600 silent@850"},
		{"unused in between", "....i....i....i....", ""},
		{"paused after the ping", "......z..........", "ping@300 ping@10600 silent@10850"},
		{"paused all the time", "zzzzzzzz", ""},
	} {
		if got := script(c.steps); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a connection that is given up without an unanswered ping, or too late.
func TestSilenceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSilence(DefaultPingAfter, DefaultSilentAfter)
		now := time.Unix(0, 0)
		var packets uint64
		quiet := now          // nothing has arrived, without a break in use or in the steps, since then
		pinged := time.Time{} // last ping since quiet
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			gap := time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
			arrived := rapid.IntRange(0, 9).Draw(t, "arrived") == 0
			busy := rapid.IntRange(0, 19).Draw(t, "busy") != 0
			now = now.Add(gap)
			if arrived {
				packets++
			}
			if arrived || !busy || gap > DefaultPingAfter {
				quiet, pinged = now, time.Time{}
			}
			switch a := s.step(now, busy, packets); {
			case a == actionGiveUp && (pinged.IsZero() || now.Sub(pinged) < DefaultSilentAfter-DefaultPingAfter ||
				now.Sub(quiet) < DefaultSilentAfter):
				t.Fatalf("given up after %v without a packet, pinged at %v", now.Sub(quiet), pinged)
			case a == actionGiveUp:
				return
			case a == actionPing:
				pinged = now
			case !pinged.IsZero() && now.Sub(pinged) >= DefaultSilentAfter:
				t.Fatalf("not given up %v after a ping", now.Sub(pinged))
			}
		}
	})
}

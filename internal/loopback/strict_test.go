package loopback

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against heads that other readers take for another response, or for none.
func TestOddHeadsAreErrors(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 2000 Long\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 +20 Signed\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 Zero\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Odd: \x01\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\nContent-Length: 2\r\n\r\nokay",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nokay",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Folded: 1\r\n Content-Length: 4\r\nContent-Length: 2\r\n\r\nokay",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
	} {
		if status, got, err := receive(t, text, false); err == nil {
			t.Errorf("%q: got %d with the body %q", text, status, got)
		}
	}
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Odd:1\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\nContent-Length: 2\n\nok",
	} {
		if status, got, err := receive(t, text, false); err != nil || status != 200 || got != "ok" {
			t.Errorf("%q: got %d with the body %q, %v", text, status, got, err)
		}
	}
}

// parsed is what strictParse reads.
type parsed struct {
	status int
	body   string
}

var errStrict = errors.New("not a response")

// strictParse reads the first final response in a text whose connection was closed in order. It is written apart from
// net/http: names are tokens, lines aren't folded, there is one framing.
func strictParse(text string) (parsed, error) {
	for {
		head, rest, found := cutHeadOf(text)
		if !found {
			return parsed{}, errStrict
		}
		status, fields, err := strictHead(head)
		if err == nil && strings.HasPrefix(head[0], "HTTP/1.0") && fields["transfer-encoding"] != nil {
			err = errStrict // HTTP/1.0 has no transfer codings
		}
		switch {
		case err != nil || status == 101:
			return parsed{}, errStrict
		case status < 200:
			text = rest
			continue
		}
		body, err := strictBody(status, fields, rest)
		return parsed{status, body}, err
	}
}

// cutHeadOf splits a text after its first empty line.
func cutHeadOf(text string) (head []string, rest string, found bool) {
	for {
		line, after, found := strings.Cut(text, "\n")
		if !found {
			return nil, "", false
		}
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			return head, after, true
		}
		head, text = append(head, line), after
	}
}

func strictHead(lines []string) (status int, fields map[string][]string, err error) {
	if len(lines) == 0 {
		return 0, nil, errStrict
	}
	words := strings.SplitN(lines[0], " ", 3)
	if len(words) < 2 || (words[0] != "HTTP/1.1" && words[0] != "HTTP/1.0") || len(words[1]) != 3 {
		return 0, nil, errStrict
	}
	if status, err = strconv.Atoi(words[1]); err != nil || status < 100 || status > 599 {
		return 0, nil, errStrict
	}
	fields = make(map[string][]string)
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsFunc(name, func(r rune) bool { return !isToken(r) }) {
			return 0, nil, errStrict
		}
		name = strings.ToLower(name)
		fields[name] = append(fields[name], strings.Trim(value, " \t"))
	}
	return status, fields, nil
}

func isToken(r rune) bool {
	return (r >= '0' && r <= '9') || (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z') || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

func strictBody(status int, fields map[string][]string, rest string) (string, error) {
	lengths, codings := fields["content-length"], fields["transfer-encoding"]
	switch {
	case len(lengths) > 0 && len(codings) > 0:
		return "", errStrict
	case status == 204 || status == 304:
		return "", nil
	case len(codings) > 0:
		if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
			return "", errStrict
		}
		return strictChunks(rest)
	case len(lengths) > 0:
		for _, l := range lengths {
			if l != lengths[0] {
				return "", errStrict
			}
		}
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || uint64(len(rest)) < n {
			return "", errStrict
		}
		return rest[:n], nil
	default:
		return rest, nil
	}
}

func strictChunks(rest string) (string, error) {
	var body strings.Builder
	for {
		line, after, found := strings.Cut(rest, "\n")
		size, _, _ := strings.Cut(strings.TrimSuffix(line, "\r"), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
		if !found || err != nil {
			return "", errStrict
		}
		if n == 0 {
			trailer, _, found := cutHeadOf(after)
			if _, _, err := strictHead(append([]string{"HTTP/1.1 200"}, trailer...)); !found || err != nil {
				return "", errStrict
			}
			return body.String(), nil
		}
		if uint64(len(after)) < n+2 || after[n:n+2] != "\r\n" {
			return "", errStrict
		}
		body.WriteString(after[:n])
		rest = after[n+2:]
	}
}

// compareWithStrictParser fails the test if a text is taken for a success that the strict parser doesn't read from it.
func compareWithStrictParser(t testing.TB, text string) {
	t.Helper()
	status, body, err := receive(t, text, false)
	if err != nil {
		return
	}
	want, err := strictParse(text)
	if err != nil || want != (parsed{status, body}) {
		t.Fatalf("%q was read as %d, %q; a strict parser reads %+v, %v", text, status, body, want, err)
	}
}

// Pieces of which responses are made.
var (
	statusLines = []string{"HTTP/1.1 200 OK", "HTTP/1.1 503 Full", "HTTP/1.0 200 OK", "HTTP/1.1 204 None", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 999 High", "HTTP/1.1 101 Switch"}
	fieldLines = []string{"Content-Length: 2", "Content-Length: 4", "Content-Length : 4", "content-length:2", "Transfer-Encoding: chunked",
		"Transfer-Encoding : chunked", "Transfer-Encoding: identity", "X Odd: 1", "X-Even: 1", " folded: 1", "\tContent-Length: 2", "X\x00: 1", "Connection: close", "no colon"}
	bodies = []string{"", "ok", "okay", "2\r\nok\r\n0\r\n\r\n", "2;x=1\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n", "2\r\nok\r\n0\r\nX Odd: 7\r\n\r\n", "2\r\nok\r\n", "0\r\n\r\n"}
)

// Guards against bytes of a backend server that are taken for another response than they are: whatever arrives is either what
// an independent strict parser reads from it, or an error.
func TestResponsesAreReadAsStrictly(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var b strings.Builder
		newline := rapid.SampledFrom([]string{"\r\n", "\r\n", "\n"}).Draw(r, "newline")
		fmt.Fprint(&b, rapid.SampledFrom(statusLines).Draw(r, "status"), newline)
		for _, f := range rapid.SliceOfN(rapid.SampledFrom(fieldLines), 0, 4).Draw(r, "fields") {
			fmt.Fprint(&b, f, newline)
		}
		fmt.Fprint(&b, newline, rapid.SampledFrom(bodies).Draw(r, "body"))
		text := []byte(b.String())
		for range rapid.IntRange(0, 2).Draw(r, "changes") {
			at := rapid.IntRange(0, len(text)-1).Draw(r, "at")
			text[at] = rapid.SampledFrom([]byte(" \t\r\n:0129;\x00\x7fA")).Draw(r, "byte")
		}
		compareWithStrictParser(t, string(text[:rapid.IntRange(0, len(text)).Draw(r, "length")]))
	})
}

// FuzzStrictResponse guards against the same for any bytes.
func FuzzStrictResponse(f *testing.F) {
	for _, status := range statusLines {
		for _, field := range fieldLines {
			f.Add(status + "\r\n" + field + "\r\n\r\n" + bodies[3])
		}
	}
	f.Fuzz(func(t *testing.T, text string) { compareWithStrictParser(t, text) })
}

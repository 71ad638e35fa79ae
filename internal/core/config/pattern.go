package config

import (
	"errors"
	"sort"
	"strings"
)

// Errors of Document.MatchOperation.
var (
	ErrUnknownService   = errors.New("service is not in the configuration")
	ErrUnknownOperation = errors.New("no operation of the service matches the method and path")
)

// patternRule describes valid patterns in a Problem.
const patternRule = `a path that starts with "/", with segments of text, {name} or, at the end, {name...}`

// segmentKind is the kind of a pattern segment.
type segmentKind uint8

// The kinds of pattern segments. A lower kind takes precedence.
const (
	segmentLiteral  segmentKind = iota
	segmentParam                // {name}
	segmentCatchAll             // {name...}
)

type segment struct {
	kind segmentKind
	text string // unescaped text of a literal segment
}

// pattern is an operation with its compiled path pattern.
type pattern struct {
	op       Operation
	segments []segment
}

// errInvalidPattern reports a pattern that doesn't follow patternRule.
var errInvalidPattern = errors.New("invalid path pattern")

// parsePattern splits a pattern into segments, or returns errInvalidPattern.
func parsePattern(pattern string) ([]segment, error) {
	if !strings.HasPrefix(pattern, "/") || strings.ContainsAny(pattern, "?# ") {
		return nil, errInvalidPattern
	}
	parts := strings.Split(pattern[1:], "/")
	segments := make([]segment, 0, len(parts))
	for i, p := range parts {
		s, err := parseSegment(p)
		if err != nil {
			return nil, err
		}
		last := i == len(parts)-1
		if !last && (s.kind == segmentCatchAll || p == "") {
			return nil, errInvalidPattern
		}
		segments = append(segments, s)
	}
	return segments, nil
}

func parseSegment(p string) (segment, error) {
	if !strings.ContainsAny(p, "{}") {
		text, ok := unescape(p)
		if !ok || text == "." || text == ".." {
			return segment{}, errInvalidPattern
		}
		return segment{kind: segmentLiteral, text: text}, nil
	}
	name, ok := strings.CutPrefix(p, "{")
	if !ok {
		return segment{}, errInvalidPattern
	}
	name, ok = strings.CutSuffix(name, "}")
	if !ok {
		return segment{}, errInvalidPattern
	}
	kind := segmentParam
	if n, rest := strings.CutSuffix(name, "..."); rest {
		name, kind = n, segmentCatchAll
	}
	if !validName(name) || strings.Contains(name, "...") {
		return segment{}, errInvalidPattern
	}
	return segment{kind: kind}, nil
}

func checkPattern(pattern string) error {
	_, err := parsePattern(pattern)
	return err
}

// patternShape returns a key that is equal for two valid patterns that match the same paths. An invalid pattern is its
// own key.
func patternShape(pattern string) string {
	segments, err := parsePattern(pattern)
	if err != nil {
		return pattern
	}
	var b strings.Builder
	for _, s := range segments {
		b.WriteByte('/')
		b.WriteByte("=*>"[s.kind]) // indexed by segmentKind
		b.WriteString(s.text)
	}
	return b.String()
}

// compilePatterns parses the patterns of operations and sorts them by precedence, as precedes defines it. Operations
// with an invalid pattern are left out.
func compilePatterns(ops []Operation) []pattern {
	patterns := make([]pattern, 0, len(ops))
	for _, op := range ops {
		segments, err := parsePattern(op.Path)
		if err != nil {
			continue
		}
		patterns = append(patterns, pattern{op: op, segments: segments})
	}
	sort.SliceStable(patterns, func(i, j int) bool { return precedes(patterns[i].segments, patterns[j].segments) })
	return patterns
}

// precedes reports whether pattern a takes precedence over b: in the first segment where they differ in kind, text
// comes before {name} and {name} before {name...}. Without such a segment the longer pattern comes first.
func precedes(a, b []segment) bool {
	for i := 0; i < len(a) && i < len(b); i++ {
		if a[i].kind != b[i].kind {
			return a[i].kind < b[i].kind
		}
	}
	return len(a) > len(b)
}

// MatchOperation returns the operation of a service that matches a request. Escapes in the path are decoded before the
// comparison, because the backend server decodes them too. The query is ignored. {name} matches one segment that is
// not empty, {name...} the rest, which may be empty. Segments "." and ".." match nothing.
//
// A path whose escaped slashes make it match two different operations matches none: the backend server might run the
// other one, with another class or without a token.
//
// The error is ErrUnknownService or ErrUnknownOperation.
func (d *Document) MatchOperation(service, method, path string) (Operation, error) {
	patterns, err := d.servicePatterns(service)
	if err != nil {
		return Operation{}, err
	}
	path, _, _ = strings.Cut(path, "?")
	parts, ok := splitPath(path)
	if !ok {
		return Operation{}, ErrUnknownOperation
	}
	op, ok := matchPattern(patterns, method, parts)
	if !ok {
		return Operation{}, ErrUnknownOperation
	}
	decoded := strings.Split(strings.Join(parts, "/"), "/")
	if len(decoded) != len(parts) {
		if other, ok := matchPattern(patterns, method, decoded); ok && other.Name != op.Name {
			return Operation{}, ErrUnknownOperation
		}
	}
	return op, nil
}

// servicePatterns returns the patterns of a service by precedence, or ErrUnknownService.
func (d *Document) servicePatterns(service string) ([]pattern, error) {
	if patterns, ok := d.patterns[service]; ok {
		return patterns, nil
	}
	s, ok := d.Services[service]
	if !ok {
		return nil, ErrUnknownService
	}
	return compilePatterns(s.Operations), nil
}

// matchPattern returns the operation of the first pattern that matches the method and the decoded path segments.
func matchPattern(patterns []pattern, method string, parts []string) (Operation, bool) {
	for _, p := range patterns {
		if p.op.Method == method && matchSegments(p.segments, parts) {
			return p.op, true
		}
	}
	return Operation{}, false
}

func matchSegments(segments []segment, parts []string) bool {
	for i, s := range segments {
		if s.kind == segmentCatchAll {
			return len(parts) >= i
		}
		if i >= len(parts) {
			return false
		}
		if s.kind == segmentLiteral && s.text != parts[i] {
			return false
		}
		if s.kind == segmentParam && parts[i] == "" {
			return false
		}
	}
	return len(parts) == len(segments)
}

// splitPath returns the decoded segments of a request path, and false for a path that no pattern matches.
func splitPath(path string) ([]string, bool) {
	if !strings.HasPrefix(path, "/") {
		return nil, false
	}
	parts := strings.Split(path[1:], "/")
	for i, p := range parts {
		text, ok := unescape(p)
		if !ok || text == "." || text == ".." {
			return nil, false
		}
		parts[i] = text
	}
	return parts, true
}

// unescape decodes percent escapes and returns false for a malformed one. It replaces url.PathUnescape, since core
// packages don't import net/url.
func unescape(s string) (string, bool) {
	if !strings.Contains(s, "%") {
		return s, true
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		high, ok1 := unhex(s[i+1])
		low, ok2 := unhex(s[i+2])
		if !ok1 || !ok2 {
			return "", false
		}
		b = append(b, high<<4|low)
		i += 2
	}
	return string(b), true
}

// unhex returns the value of a hexadecimal digit.
func unhex(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}

package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// reader converts JSON nodes into values of settings and collects all problems. A value with a problem is returned as
// its zero value or default, so that reading continues.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) report(path, found, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Field: path, Found: found, Allowed: allowed})
}

// object is a JSON object whose field names have been checked: unknown and duplicate fields are reported.
type object struct {
	r    *reader
	path string // path of the object in the file, such as "backend"; empty for the whole file
	node *node  // nil when the object is absent
	// wrongType is set when the value is not an object. This is reported once, and not again for each required field.
	wrongType bool
}

// reportMissing reports a required field that is absent, unless the object itself has the wrong type.
func (o object) reportMissing(name, allowed string) {
	if !o.wrongType {
		o.r.report(o.join(name), "nothing", allowed)
	}
}

// object checks the field names of n. A nil n is read as an object without fields.
func (r *reader) object(path string, n *node, allowed ...string) object {
	o := object{r: r, path: path}
	if n == nil {
		return o
	}
	if n.kind != kindObject {
		r.report(path, describe(n), "an object with the fields "+strings.Join(allowed, ", "))
		o.wrongType = true
		return o
	}
	o.node = n
	seen := make(map[string]bool)
	for _, f := range n.fields {
		switch {
		case !slices.Contains(allowed, f.name):
			r.report(o.join(f.name), "an unknown field", "the fields "+strings.Join(allowed, ", "))
		case seen[f.name]:
			r.report(o.join(f.name), "the field a second time", "each field once")
		}
		seen[f.name] = true
	}
	return o
}

// join returns the path of a field of the object.
func (o object) join(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// get returns the first field with the name, or nil.
func (o object) get(name string) *node {
	if o.node == nil {
		return nil
	}
	for i := range o.node.fields {
		if o.node.fields[i].name == name {
			return &o.node.fields[i].value
		}
	}
	return nil
}

// text returns a string field that satisfies the rule. An absent field returns the fallback; it is reported when the
// fallback is empty and the rule isn't optional.
func (o object) text(name, fallback string, rule stringRule) string {
	n := o.get(name)
	if n == nil {
		if fallback == "" && !rule.optional {
			o.reportMissing(name, rule.allowed)
		}
		return fallback
	}
	return o.r.text(o.join(name), n, rule)
}

func (r *reader) text(path string, n *node, rule stringRule) string {
	if n.kind != kindString || !rule.valid(n.text) {
		r.report(path, describe(n), rule.allowed)
		return ""
	}
	return n.text
}

// integer returns a required integer field between low and high, inclusive, or 0 after a problem.
func (o object) integer(name string, low, high int) int {
	allowed := fmt.Sprintf("an integer from %d to %d", low, high)
	n := o.get(name)
	if n == nil {
		o.reportMissing(name, allowed)
		return 0
	}
	v, err := strconv.Atoi(n.text)
	if n.kind != kindNumber || err != nil || v < low || v > high {
		o.r.report(o.join(name), describe(n), allowed)
		return 0
	}
	return v
}

// boolean returns an optional boolean field, false when it is absent.
func (o object) boolean(name string) bool {
	n := o.get(name)
	if n == nil {
		return false
	}
	if n.kind != kindBool {
		o.r.report(o.join(name), describe(n), "true or false")
		return false
	}
	return n.text == "true"
}

// fraction returns a required number field between 0 and 1, inclusive, or 0 after a problem.
func (o object) fraction(name string) float64 {
	n := o.get(name)
	if n == nil {
		o.reportMissing(name, "a number from 0 to 1")
		return 0
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if n.kind != kindNumber || err != nil || v < 0 || v > 1 {
		o.r.report(o.join(name), describe(n), "a number from 0 to 1")
		return 0
	}
	return v
}

// duration returns an optional duration field between low and high, inclusive. It returns the fallback when the field
// is absent or has a problem.
func (o object) duration(name string, fallback, low, high time.Duration) time.Duration {
	n := o.get(name)
	if n == nil {
		return fallback
	}
	v, err := time.ParseDuration(n.text)
	if n.kind != kindString || err != nil || v < low || v > high {
		o.r.report(o.join(name), describe(n), fmt.Sprintf("a duration with a unit in a string, from %q to %q", low, high))
		return fallback
	}
	return v
}

// list returns an array field of low to high strings that satisfy the rule. If low is 0, the field may be absent.
// Duplicate strings are reported.
func (o object) list(name string, low, high int, rule stringRule) []string {
	path := o.join(name)
	allowed := fmt.Sprintf("an array of %d to %d strings, each %s", low, high, rule.allowed)
	n := o.get(name)
	if n == nil {
		if low > 0 {
			o.reportMissing(name, allowed)
		}
		return nil
	}
	if n.kind != kindArray || len(n.items) < low || len(n.items) > high {
		o.r.report(path, describe(n), allowed)
		return nil
	}
	return o.r.uniqueStrings(path, n, rule)
}

// uniqueStrings returns the valid strings of an array, and reports invalid ones and duplicates.
func (r *reader) uniqueStrings(path string, n *node, rule stringRule) []string {
	var out []string
	for i := range n.items {
		at := fmt.Sprintf("%s[%d]", path, i)
		v := r.text(at, &n.items[i], rule)
		switch {
		case v == "": // r.text has reported it
		case slices.Contains(out, v):
			r.report(at, strconv.Quote(v)+" a second time", "each entry once")
		default:
			out = append(out, v)
		}
	}
	return out
}

// maxQuoted is the longest part of a value that a problem text quotes, in bytes.
const maxQuoted = 80

// describe returns the text for Problem.Found: the value itself, or its type and size when it is long or composite.
func describe(n *node) string {
	switch n.kind {
	case kindString:
		if len(n.text) > maxQuoted {
			return fmt.Sprintf("a string of %d bytes that begins with %q", len(n.text), n.text[:maxQuoted])
		}
		return strconv.Quote(n.text)
	case kindArray:
		return fmt.Sprintf("an array of %d values", len(n.items))
	case kindObject:
		return "an object"
	case kindNumber:
		if len(n.text) > maxQuoted {
			return fmt.Sprintf("a number of %d digits", len(n.text))
		}
		return "the number " + n.text
	default:
		return n.text
	}
}

// stringRule is a rule for the value of a string field.
type stringRule struct {
	allowed  string // text for Problem.Allowed
	valid    func(string) bool
	optional bool // the field may be absent
}

var (
	nameRule = stringRule{
		allowed: fmt.Sprintf("a name of 1 to %d letters, digits, '.', '_' and '-', beginning with a letter or digit",
			MaxNameLength),
		valid: validName,
	}
	addressRule = stringRule{
		allowed: "an address that other VMs can reach, as ip:port, such as \"192.0.2.1:7001\"",
		valid:   validAddress,
	}
	listenRule = stringRule{
		allowed: "an address as ip:port, such as \"127.0.0.1:7003\"",
		valid:   func(s string) bool { _, ok := parseAddress(s); return ok },
	}
	backendRule = stringRule{
		allowed: "a URL http://ip:port without a path, on a loopback address, because this hop is not encrypted",
		valid:   validBackendURL,
	}
	announcedRule = stringRule{
		allowed: "a URL http://ip:port without a path, on this VM",
		valid:   func(s string) bool { u, ok := parseURL(s); return ok && u.Scheme == "http" && u.Path == "" },
	}
	platformRule = stringRule{
		allowed: "a URL http://ip:port or https://ip:port without a path",
		valid:   func(s string) bool { u, ok := parseURL(s); return ok && u.Path == "" },
	}
	collectorRule = stringRule{
		allowed:  "a URL http://ip:port or https://ip:port, with an optional path",
		valid:    func(s string) bool { _, ok := parseURL(s); return ok },
		optional: true,
	}
	fileRule = stringRule{
		allowed: "the name of a PEM file",
		valid:   func(s string) bool { return s != "" && !strings.ContainsRune(s, 0) },
	}
	levelRule = stringRule{
		allowed: "one of " + strings.Join(LogLevels, ", "),
		valid:   func(s string) bool { return slices.Contains(LogLevels, s) },
	}
)

func validName(s string) bool {
	if len(s) == 0 || len(s) > MaxNameLength {
		return false
	}
	for i, b := range []byte(s) {
		alnum := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
		if !alnum && (i == 0 || !strings.ContainsRune("._-", rune(b))) {
			return false
		}
	}
	return true
}

// parseAddress accepts an ip:port only in its canonical form, so that equal addresses are equal strings everywhere.
func parseAddress(s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	return a, err == nil && a.Port() != 0 && a.Addr().Zone() == "" && a.String() == s
}

// validAddress rejects unspecified and multicast addresses, because the value is announced to other daemons, which
// connect to it.
func validAddress(s string) bool {
	a, ok := parseAddress(s)
	return ok && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// parseURL accepts http and https URLs that give the server as ip:port and contain no credentials, query or fragment.
func parseURL(s string) (*url.URL, bool) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, false
	}
	if u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "" || strings.HasSuffix(s, "#") {
		return nil, false
	}
	return u, validAddress(u.Host)
}

func validBackendURL(s string) bool {
	u, ok := parseURL(s)
	if !ok || u.Scheme != "http" || u.Path != "" {
		return false
	}
	return netip.MustParseAddrPort(u.Host).Addr().IsLoopback()
}

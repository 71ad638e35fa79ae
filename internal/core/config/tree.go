package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxDepth bounds the nesting of a document; the format needs 6 levels.
const maxDepth = 16

// Problem is one fault of a document.
type Problem struct {
	// Field is the path of the field, such as services.lookup.operations[0].class.
	Field string
	// Found is what the document holds there.
	Found string
	// Allowed describes what it may hold.
	Allowed string
}

// String returns the problem as one line for people.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Field, p.Found, p.Allowed)
}

// InvalidError reports all problems of a document.
type InvalidError struct {
	Problems []Problem
}

// Error implements error with one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration document, %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// object keeps the order of its keys, so that problems are reported in the document's order.
type object struct {
	keys   []string
	values map[string]any
}

// reader collects problems while it reads a tree of object, []any, string, json.Number, bool and nil.
type reader struct {
	problems []Problem
}

func (r *reader) add(field, found, allowed string) {
	r.problems = append(r.problems, Problem{Field: field, Found: found, Allowed: allowed})
}

// tree decodes one JSON value. Unlike json.Unmarshal it reports duplicate keys, of which one would silently win.
func (r *reader) tree(data []byte) (any, bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := r.value(dec, "", 0)
	if err == nil {
		_, err = dec.Token()
		if err == io.EOF {
			return v, true
		}
		if err == nil {
			err = fmt.Errorf("more data after the document")
		}
	}
	r.add("document", fmt.Sprintf("%v near byte %d", err, dec.InputOffset()), "one JSON object")
	return nil, false
}

func (r *reader) value(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nesting deeper than %d", maxDepth)
	}
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.objectValue(dec, path, depth)
	case json.Delim('['):
		return r.arrayValue(dec, path, depth)
	default:
		return token, nil
	}
}

func (r *reader) objectValue(dec *json.Decoder, path string, depth int) (any, error) {
	o := object{values: make(map[string]any)}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		key := token.(string) // the decoder only returns strings as keys
		v, err := r.value(dec, join(path, key), depth+1)
		if err != nil {
			return nil, err
		}
		if _, dup := o.values[key]; dup {
			r.add(join(path, key), "a duplicate field", "each field once")
			continue
		}
		o.keys = append(o.keys, key)
		o.values[key] = v
	}
	_, err := dec.Token()
	return o, err
}

func (r *reader) arrayValue(dec *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		v, err := r.value(dec, index(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := dec.Token()
	return list, err
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// describe names a value in a problem; long values are cut, because problems are shown on one line.
func describe(v any) string {
	const longest = 80
	switch t := v.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []any:
		return "a list"
	case string:
		if len(t) > longest {
			return fmt.Sprintf("%q...", t[:longest])
		}
		return fmt.Sprintf("%q", t)
	default:
		return fmt.Sprint(t)
	}
}

// field is one field of an object with the function that reads it.
type field struct {
	name string
	read func(path string, v any)
}

// fields reads an object whose fields are all required, and reports missing and unknown ones.
func (r *reader) fields(path string, v any, fs ...field) {
	r.object(path, v, fs, nil)
}

// object reads an object with required and optional fields.
func (r *reader) object(path string, v any, required, optional []field) {
	o, ok := v.(object)
	if !ok {
		r.add(orDocument(path), describe(v), "an object")
		return
	}
	known := make(map[string]bool, len(required)+len(optional))
	names := make([]string, 0, len(required)+len(optional))
	for i, f := range slices.Concat(required, optional) {
		known[f.name] = true
		names = append(names, f.name)
		fv, present := o.values[f.name]
		switch {
		case present:
			f.read(join(path, f.name), fv)
		case i < len(required):
			r.add(join(path, f.name), "nothing", "the field is required")
		}
	}
	for _, k := range o.keys {
		if !known[k] {
			r.add(join(path, k), "an unknown field", strings.Join(names, ", "))
		}
	}
}

func orDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

// each calls read for every field of an object whose field names are free.
func (r *reader) each(path string, v any, read func(key, path string, v any)) {
	o, ok := v.(object)
	if !ok {
		r.add(path, describe(v), "an object")
		return
	}
	for _, k := range o.keys {
		read(k, join(path, k), o.values[k])
	}
}

// list calls read for every element of a list.
func (r *reader) list(path string, v any, read func(path string, v any)) {
	l, ok := v.([]any)
	if !ok {
		r.add(path, describe(v), "a list")
		return
	}
	for i, e := range l {
		read(index(path, i), e)
	}
}

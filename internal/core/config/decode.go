package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxNestingDepth is the largest nesting depth of a document in levels. The format needs 6.
const maxNestingDepth = 16

// Problem is one validation error of a document.
type Problem struct {
	// Field is the path of the field, such as services.lookup.operations[0].class.
	Field string
	// Found describes the value of the field.
	Found string
	// Allowed describes the values that are allowed.
	Allowed string
}

// String returns the problem as one readable line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Field, p.Found, p.Allowed)
}

// InvalidError reports all problems of a document.
type InvalidError struct {
	Problems []Problem
}

// Error implements error. It returns a heading and one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("invalid configuration document, %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// jsonObject is a decoded JSON object. It keeps the order of its keys, so that problems are reported in that order.
type jsonObject struct {
	keys   []string
	values map[string]any
}

// documentReader decodes and validates a document. It collects the problems that it finds instead of stopping at the
// first. Decoded values are of type jsonObject, []any, string, json.Number, bool or nil.
type documentReader struct {
	problems []Problem
}

func (r *documentReader) addProblem(field, found, allowed string) {
	r.problems = append(r.problems, Problem{Field: field, Found: found, Allowed: allowed})
}

// decode decodes data, which must hold exactly one JSON value, and returns false if it can't. Unlike json.Unmarshal,
// which silently uses one of several equal keys, it reports duplicate keys as problems.
func (r *documentReader) decode(data []byte) (any, bool) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	v, err := r.decodeValue(dec, "", 0)
	if err == nil {
		_, err = dec.Token()
		if err == io.EOF {
			return v, true
		}
		if err == nil {
			err = fmt.Errorf("more data after the document")
		}
	}
	r.addProblem("document", fmt.Sprintf("%v near byte %d", err, dec.InputOffset()), "one JSON object")
	return nil, false
}

// decodeValue decodes the next value. path is the field path for problems, depth the nesting depth of the value.
func (r *documentReader) decodeValue(dec *json.Decoder, path string, depth int) (any, error) {
	if depth > maxNestingDepth {
		return nil, fmt.Errorf("nesting deeper than %d", maxNestingDepth)
	}
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.decodeObject(dec, path, depth)
	case json.Delim('['):
		return r.decodeArray(dec, path, depth)
	default:
		return token, nil
	}
}

// decodeObject decodes an object whose opening brace has been read.
func (r *documentReader) decodeObject(dec *json.Decoder, path string, depth int) (any, error) {
	o := jsonObject{values: make(map[string]any)}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		key := token.(string) // the decoder only returns strings as keys
		v, err := r.decodeValue(dec, joinPath(path, key), depth+1)
		if err != nil {
			return nil, err
		}
		if _, dup := o.values[key]; dup {
			r.addProblem(joinPath(path, key), "a duplicate field", "each field once")
			continue
		}
		o.keys = append(o.keys, key)
		o.values[key] = v
	}
	_, err := dec.Token() // the closing brace
	return o, err
}

// decodeArray decodes an array whose opening bracket has been read.
func (r *documentReader) decodeArray(dec *json.Decoder, path string, depth int) (any, error) {
	list := []any{}
	for dec.More() {
		v, err := r.decodeValue(dec, indexPath(path, len(list)), depth+1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	_, err := dec.Token() // the closing bracket
	return list, err
}

// joinPath returns the field path of a key of the object at path. The path of the document itself is "".
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// indexPath returns the field path of the element i of the list at path.
func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// describe returns a value as shown in a problem. Long strings are truncated, because a problem is shown on one line.
func describe(v any) string {
	const maxStringBytes = 80
	switch t := v.(type) {
	case nil:
		return "null"
	case jsonObject:
		return "an object"
	case []any:
		return "a list"
	case string:
		if len(t) > maxStringBytes {
			return fmt.Sprintf("%q...", t[:maxStringBytes])
		}
		return fmt.Sprintf("%q", t)
	default:
		return fmt.Sprint(t)
	}
}

// field is a field of an object and the function that reads its value. path is the field path of the value.
type field struct {
	name string
	read func(path string, v any)
}

// readRequiredFields reads an object whose fields are all required. Missing and unknown fields are problems.
func (r *documentReader) readRequiredFields(path string, v any, fs ...field) {
	r.readObject(path, v, fs, nil)
}

// readObject reads an object with required and optional fields. Missing required fields and unknown fields are
// problems.
func (r *documentReader) readObject(path string, v any, required, optional []field) {
	o, ok := v.(jsonObject)
	if !ok {
		r.addProblem(pathOrDocument(path), describe(v), "an object")
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
			f.read(joinPath(path, f.name), fv)
		case i < len(required):
			r.addProblem(joinPath(path, f.name), "nothing", "the field is required")
		}
	}
	for _, k := range o.keys {
		if !known[k] {
			r.addProblem(joinPath(path, k), "an unknown field", strings.Join(names, ", "))
		}
	}
}

// pathOrDocument returns the field path as shown in a problem; the document itself is called "document".
func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

// readMap calls read for every field of an object with arbitrary keys, in the order of the document.
func (r *documentReader) readMap(path string, v any, read func(key, path string, v any)) {
	o, ok := v.(jsonObject)
	if !ok {
		r.addProblem(path, describe(v), "an object")
		return
	}
	for _, k := range o.keys {
		read(k, joinPath(path, k), o.values[k])
	}
}

// readList calls read for every element of a list.
func (r *documentReader) readList(path string, v any, read func(path string, v any)) {
	l, ok := v.([]any)
	if !ok {
		r.addProblem(path, describe(v), "a list")
		return
	}
	for i, e := range l {
		read(indexPath(path, i), e)
	}
}

package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// kind is the type of a JSON value.
type kind uint8

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

// node is a JSON value that keeps duplicate fields, which encoding/json drops.
type node struct {
	kind   kind
	text   string // literal of a number, a bool or null; value of a string
	items  []node
	fields []field
}

type field struct {
	name  string
	value node
}

// maxDepth bounds the nesting of a settings file. Valid files have a depth of 2.
const maxDepth = 16

var errTooDeep = fmt.Errorf("values nested more than %d deep", maxDepth)

// parseTree parses data as exactly one JSON value. It rejects invalid UTF-8 and data after the value.
func parseTree(data []byte) (node, error) {
	if !utf8.Valid(data) {
		return node{}, errors.New("bytes that are not UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	n, err := parseValue(dec, 0)
	if err != nil {
		return node{}, describeSyntax(data, dec, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return node{}, fmt.Errorf("more data after the end of the object on line %d", lineAt(data, dec.InputOffset()))
	}
	return n, nil
}

// parseValue reads the next value. The depth counts the arrays and objects around it.
func parseValue(dec *json.Decoder, depth int) (node, error) {
	tok, err := dec.Token()
	if err != nil {
		return node{}, err
	}
	return parseToken(dec, tok, depth)
}

func parseToken(dec *json.Decoder, tok json.Token, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, errTooDeep
	}
	switch v := tok.(type) {
	case nil:
		return node{kind: kindNull, text: "null"}, nil
	case bool:
		return node{kind: kindBool, text: fmt.Sprint(v)}, nil
	case json.Number:
		return node{kind: kindNumber, text: v.String()}, nil
	case string:
		return node{kind: kindString, text: v}, nil
	case json.Delim:
		if v == '[' {
			return parseArray(dec, depth)
		}
		return parseObject(dec, depth)
	default:
		return node{}, fmt.Errorf("unexpected token %v", tok)
	}
}

func parseArray(dec *json.Decoder, depth int) (node, error) {
	n := node{kind: kindArray}
	for dec.More() {
		item, err := parseValue(dec, depth+1)
		if err != nil {
			return node{}, err
		}
		n.items = append(n.items, item)
	}
	_, err := dec.Token() // the closing bracket
	return n, err
}

func parseObject(dec *json.Decoder, depth int) (node, error) {
	n := node{kind: kindObject}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return node{}, err
		}
		name, ok := tok.(string)
		if !ok {
			return node{}, fmt.Errorf("field name %v, which is not a string", tok)
		}
		value, err := parseValue(dec, depth+1)
		if err != nil {
			return node{}, err
		}
		n.fields = append(n.fields, field{name: name, value: value})
	}
	_, err := dec.Token() // the closing brace
	return n, err
}

// describeSyntax describes an error of the JSON decoder and adds the line number, except at the end of the file.
func describeSyntax(data []byte, dec *json.Decoder, err error) error {
	offset := dec.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("the end of the file inside a JSON value")
	}
	return fmt.Errorf("malformed JSON on line %d (%w)", lineAt(data, offset), err)
}

// lineAt returns the line number, counted from 1, of a byte offset.
func lineAt(data []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

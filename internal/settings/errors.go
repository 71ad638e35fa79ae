package settings

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	// File is the settings file.
	File string
	// Field is the path of the field, such as "backend.slots" or "peers[2]"; empty for the whole file.
	Field string
	// Found describes what the file contains.
	Found string
	// Allowed describes what is accepted.
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: found %s; allowed: %s", p.File, p.Found, p.Allowed)
	}
	return fmt.Sprintf("%s: %s: found %s; allowed: %s", p.File, p.Field, p.Found, p.Allowed)
}

// InvalidError reports all problems of a settings file, in the order of the file's fields.
type InvalidError struct {
	Problems []Problem
}

// Error implements error with one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that errors.As finds a Problem.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		errs[i] = p
	}
	return errs
}

// ReadError reports a settings file that can't be read.
type ReadError struct {
	File string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s: can't read the settings file: %v", e.File, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Err
}

// Package docs makes pages of the documentation available to the program.
package docs

import _ "embed" // for the go:embed directive

// Events is the catalogue of log events. A test in internal/events keeps it equal to the registry.
//
//go:embed events.md
var Events string

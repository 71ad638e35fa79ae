// Package cli implements the command line of the guavapoint program. Results go to standard output, as tables for
// people or as JSON for programs; messages go to standard error. The exit codes are part of the interface.
package cli

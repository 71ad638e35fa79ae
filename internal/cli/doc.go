// Package cli is the command line of the guavapoint program. Its results go to the standard output, as tables for people
// or as JSON for programs; its messages go to the standard error output. Exit codes are part of the interface.
package cli

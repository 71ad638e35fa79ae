// Package soak runs daemons as separate processes on one machine, injects faults from outside them, and checks what
// callers and backend servers observe. All of it is in test files; see soak_test.go for the guarantees that are checked
// and for the flags.
package soak

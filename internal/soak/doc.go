// Package soak runs daemons as separate processes on one machine, injects faults from outside them, and checks what
// callers and backend servers see. All of it is in test files; see soak_test.go for the promises and the flags.
package soak

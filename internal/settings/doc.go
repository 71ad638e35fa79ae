// Package settings reads the JSON settings file of a daemon.
//
// Reading is strict: unknown and duplicate fields, values of the wrong type or unit, values out of range, malformed
// addresses and missing TLS files are rejected before anything starts. All problems of a file are reported at once.
package settings

// Package announce decides, from the heartbeats of the backend server beside a daemon, whether that backend server takes
// work. Heartbeats may arrive late, out of order, and from an earlier backend server at the same address. What was
// announced as leaving never takes work again under the same start.
//
// A daemon that has just started doesn't know what the backend server announced before. It opens only on proof: a health
// check that names the announced instance, or a second heartbeat that is newer than the first.
package announce

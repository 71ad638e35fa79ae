// Package quarantine keeps a request that crashes backend servers from reaching more of them.
//
// When a backend server dies, its daemon marks every request in flight as a suspect. A suspect runs only alone (see
// Gate). When it completes, on any daemon, it is cleared. When the backend server dies while it is the only request in
// flight, it is confirmed and refused everywhere. A crash with several requests in flight confirms none of them, because
// a harmless request that is called often is in flight at most crashes. Each daemon of a service holds a List; the
// records that its methods return are sent to the other daemons, which merge them.
//
// # Bound on lost backend servers
//
// Let f be a fingerprint whose every run crashes the backend server, and let no record of it be lifted or expire. Then:
//
//  1. Each daemon loses at most two backend servers to f.
//  2. In total, f costs at most u + a backend servers. u is the number of daemons that started f before they held the
//     suspicion. a is the number of daemons that started f alone before they held the confirmation.
//  3. If the suspicion reaches all daemons before any of them starts f again (u = 1), and a caller resends f only after
//     the confirmation of its previous crash has been disseminated (a = 1), f costs two backend servers.
//
// Proof. f never completes, so it is never cleared, and without expiry and lifting each daemon passes only from unknown
// to suspect to confirmed. A run of f starts on a daemon either while f is unknown there, or while it is a suspect; once
// it is confirmed no run starts. Runs that start while f is unknown end with one crash, because the runs of one daemon
// share its backend server, and that crash makes f a suspect there: at most one backend server per daemon, u in total.
// A run that starts while f is a suspect runs alone, so f is the only request in flight at its crash, and Crashed
// confirms f there before another run starts: at most one backend server per daemon, a in total. This proves 1 and 2,
// and 3 is 2 with u = a = 1.
//
// Copies of f that are sent at the same time can run alone on several daemons at once, before the first of them crashes.
// The bound is then 1 + a, with a at most the number of the service's daemons. A bound of two for this case would need
// the daemons to agree before each run of a suspect.
package quarantine

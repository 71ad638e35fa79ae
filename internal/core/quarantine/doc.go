// Package quarantine limits how many backend servers a request can crash.
//
// When a backend server dies, its daemon marks the fingerprint of every request in flight as a suspect. A suspect runs
// only alone (see IsolationQueue). When a run of it completes, on any daemon, it is cleared. When the backend server
// dies while a suspect is the only request in flight, the suspect is confirmed and all daemons of the service refuse
// it. A crash with several requests in flight confirms none of them, because a harmless request that is called often is
// in flight at most crashes. Each daemon of a service holds a List. The records that the methods of a List return are
// sent to the other daemons, which merge them.
//
// # Bound on lost backend servers
//
// Let f be a fingerprint of which every run crashes the backend server, and let no record of it be lifted or expire.
// Then:
//
//  1. Each daemon loses at most two backend servers to f.
//  2. In total, f crashes at most u + a backend servers. u is the number of daemons that started f before they had the
//     record of the suspicion. a is the number of daemons that started f alone before they had the record of the
//     confirmation.
//  3. If the suspicion reaches all daemons before any of them starts f again (u = 1), and a caller resends f only after
//     the confirmation of its previous crash has been disseminated (a = 1), f crashes two backend servers.
//
// Proof. f never completes, so it is never cleared. Without expiry and lifting, the state of f on each daemon changes
// only from unsuspected to suspect to confirmed. A run of f starts on a daemon either while f is unsuspected there, or
// while it is a suspect; once it is confirmed, no run starts. Runs that start while f is unsuspected end with one
// crash, because the runs of one daemon share its backend server, and that crash makes f a suspect there: at most one
// backend server per daemon, u in total. A run that starts while f is a suspect runs alone, so f is the only request in
// flight at its crash, and ReportCrash confirms f there before another run starts: at most one backend server per
// daemon, a in total. This proves 1 and 2, and 3 is 2 with u = a = 1.
//
// Copies of f that are sent at the same time can run alone on several daemons at once, before the first of them
// crashes. The bound is then 1 + a, with a at most the number of the service's daemons. A bound of two for this case
// would need the daemons to agree before each run of a suspect.
package quarantine

// Package admission decides which requests an upstream's daemon starts, queues or refuses.
//
// A Controller has a limit on running requests, which it derives from its own measurements, and a short queue that is
// ordered by rank and bounded by queue delay. When a request must be shed, the waiting request of lowest rank is shed,
// even if it arrived first. Hence no request of class A is refused for overload while one of class B < A waits or is
// newly admitted. Refusals because of a deadline are exempt: such a request can't be served in time at all.
//
// A Controller is not safe for concurrent use; its owner holds a mutex. It reads no clock: the owner passes the time,
// calls Tick at least every TickInterval, and carries out the returned decisions in order.
package admission

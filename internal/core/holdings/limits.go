package holdings

// Shares of what a process has, for what clients make it hold.
const (
	// bytesShare is the share of the heap. The rest is for the state of the daemon, and for buffers that were outgrown and
	// not collected yet.
	bytesShare = 0.75
	// clientShare is the share of the bytes that clients can take before their requests are passed on. The rest is for
	// requests and answers under way.
	clientShare = 0.75
	// connectionShare is the share of the descriptors for connections of clients. The rest is for connections to and from
	// other daemons, to the backend server and to the platform.
	connectionShare = 0.5
	// controlShare is the share of both for the listeners on which the platform, the operator and the backend server reach
	// the daemon itself. It is apart, so that clients that send requests can't take it.
	controlShare = 0.0625
)

// ReservedDescriptors is the number of descriptors that a process keeps for files and for what it opens at its start.
const ReservedDescriptors = 200

// minConnections is the least number of connections, however few descriptors there are.
const minConnections = 16

// Limits bound what clients make a process hold.
type Limits struct {
	Bytes       int64 // of all connections, requests and answers together
	Connections int
}

// NewLimits returns the limits for a heap of a size in bytes and for a number of descriptors: those of clients that send
// requests, and those of the listeners for control.
func NewLimits(heap int64, descriptors int) (clients, control Limits) {
	free := float64(max(descriptors-ReservedDescriptors, descriptors/2))
	all := Limits{Bytes: int64(bytesShare * float64(heap)), Connections: int(connectionShare * free)}
	control = Limits{
		Bytes:       int64(controlShare * float64(all.Bytes)),
		Connections: max(int(controlShare*float64(all.Connections)), minConnections),
	}
	clients = Limits{
		Bytes:       all.Bytes - control.Bytes,
		Connections: max(all.Connections-control.Connections, minConnections),
	}
	return clients, control
}

package control

import (
	"fmt"
	"net/netip"
	"slices"

	"guavapoint.example/guavapoint/internal/core/membership"
)

// ValidAddress reports whether an address that was read from the store or from a peer is an ip:port to which a connection
// can be opened.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}

// DropUnreachable removes the records whose address isn't valid, and returns an error that names the first of them, nil if
// there are none. Another writer may have left them; the others count.
func DropUnreachable(m *membership.Message) error {
	var err error
	m.Records = slices.DeleteFunc(m.Records, func(r membership.Record) bool {
		if ValidAddress(r.Address) {
			return false
		}
		if err == nil {
			err = fmt.Errorf("record of zone %q left out: address %q is no ip:port", r.Zone, r.Address)
		}
		return true
	})
	return err
}

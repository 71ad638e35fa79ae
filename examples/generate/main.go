// Command generate writes the daemon settings of the example deployments from the table in this file. After a change of
// the table, run "go generate ./examples/generate" in the repository's root.
//
// A port number has the digits 2DZSP: D is the deployment, Z the zone, S the upstream within the zone and P the
// endpoint: 1 peer address, 2 call address, 3 admin address, 4 backend server. D, Z and S count from 1. The stand-in
// platform of a deployment listens on 2D001.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

//go:generate go run . ..

// deployment describes one of the examples.
type deployment struct {
	name      string
	portDigit int
	zones     []zone
	services  []service
}

type zone struct {
	region, name string
}

// service describes a service and the settings of its upstreams: one in each zone, and if extra is set, a second one in
// the first zone.
type service struct {
	name               string
	slots, connections int
	calls              []string
	extra              bool
}

// deployments is the table. The slots and connections are a tenth of those in use, so that all processes of a
// deployment fit on one machine.
var deployments = []deployment{
	{
		name:      "registry",
		portDigit: 1,
		zones: []zone{
			{"kingston", "kingston-a"}, {"kingston", "kingston-b"},
			{"montego-bay", "montego-bay-a"}, {"montego-bay", "montego-bay-b"},
		},
		services: []service{
			{name: "lookup", slots: 9, connections: 60, calls: []string{"holdership"}},
			{name: "holdership", slots: 9, connections: 60, calls: []string{"delegation"}},
			{name: "delegation", slots: 2, connections: 20, calls: []string{"docstore"}},
			{name: "docstore", slots: 9, connections: 60},
		},
	},
	{
		name:      "konvooi",
		portDigit: 2,
		zones:     []zone{{"west", "west-a"}, {"west", "west-b"}, {"east", "east-a"}, {"east", "east-b"}},
		services: []service{
			{name: "routeplan", slots: 8, connections: 60, calls: []string{"grenspost"}, extra: true},
			{name: "grenspost", slots: 10, connections: 70, calls: []string{"vrachtdoc"}},
			{name: "vrachtdoc", slots: 10, connections: 70, calls: []string{"brandstof"}},
			{name: "brandstof", slots: 3, connections: 30},
		},
	},
}

// settingsFile is the content of a daemon's settings file. Its fields are in the order in which people read them.
type settingsFile struct {
	Name         string         `json:"name"`
	Service      string         `json:"service"`
	Region       string         `json:"region"`
	Zone         string         `json:"zone"`
	PeerAddress  string         `json:"peer_address"`
	CallAddress  string         `json:"call_address"`
	AdminAddress string         `json:"admin_address"`
	Backend      backendFields  `json:"backend"`
	TLS          tlsFields      `json:"tls"`
	Platform     platformFields `json:"platform"`
	Peers        []string       `json:"peers"`
	Calls        []string       `json:"calls"`
	Log          logFields      `json:"log"`
	DrainLimit   string         `json:"drain_limit"`
}

type backendFields struct {
	URL         string `json:"url"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

type tlsFields struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

type platformFields struct {
	URLs []string `json:"urls"`
}

type logFields struct {
	Level string `json:"level"`
}

// Endpoints, the last digit of a port number.
const (
	endpointPeer = 1 + iota
	endpointCall
	endpointAdmin
	endpointBackend
)

// address returns the address of an endpoint. The indices count from 0.
func (d *deployment) address(zoneIndex, upstreamIndex, endpoint int) string {
	return fmt.Sprintf("127.0.0.1:2%d%d%d%d", d.portDigit, zoneIndex+1, upstreamIndex+1, endpoint)
}

// peers returns the peer addresses of the bootstrap peers of a daemon in the given zone: two of its own zone, so that a
// replaced VM finds its neighbors while the zone is partitioned from the others, and one of each other zone.
func (d *deployment) peers(ownZone int) []string {
	peers := []string{d.address(ownZone, 0, endpointPeer), d.address(ownZone, 1, endpointPeer)}
	for zoneIndex := range d.zones {
		if zoneIndex != ownZone {
			peers = append(peers, d.address(zoneIndex, 0, endpointPeer))
		}
	}
	return peers
}

// settingsFor returns the settings of the daemon with the given name, which runs beside service s.
func (d *deployment) settingsFor(zoneIndex, upstreamIndex int, name string, s service) settingsFile {
	zone := d.zones[zoneIndex]
	calls := s.calls
	if calls == nil {
		calls = []string{} // encoded as [] instead of null
	}
	return settingsFile{
		Name: name, Service: s.name, Region: zone.region, Zone: zone.name,
		PeerAddress:  d.address(zoneIndex, upstreamIndex, endpointPeer),
		CallAddress:  d.address(zoneIndex, upstreamIndex, endpointCall),
		AdminAddress: d.address(zoneIndex, upstreamIndex, endpointAdmin),
		Backend: backendFields{
			URL: "http://" + d.address(zoneIndex, upstreamIndex, endpointBackend), Slots: s.slots, Connections: s.connections,
		},
		TLS: tlsFields{
			Certificate: "../tls/" + name + ".pem", Key: "../tls/" + name + "-key.pem", Authority: "../tls/authority.pem",
		},
		Platform: platformFields{URLs: []string{fmt.Sprintf("http://127.0.0.1:2%d001", d.portDigit)}},
		Peers:    d.peers(zoneIndex), Calls: calls, Log: logFields{Level: "info"}, DrainLimit: "30s",
	}
}

// allSettings returns the settings of all daemons of the deployment by daemon name.
func (d *deployment) allSettings() map[string]settingsFile {
	settings := make(map[string]settingsFile)
	for zoneIndex, zone := range d.zones {
		for i, s := range d.services {
			name := zone.name + "-" + s.name
			settings[name] = d.settingsFor(zoneIndex, i, name, s)
			if s.extra && zoneIndex == 0 {
				name += "-2"
				settings[name] = d.settingsFor(zoneIndex, len(d.services), name, s)
			}
		}
	}
	return settings
}

// writeSettings writes the settings of all daemons to dir/DEPLOYMENT/settings/NAME.json.
func writeSettings(dir string) error {
	for _, d := range deployments {
		target := filepath.Join(dir, d.name, "settings")
		if err := os.MkdirAll(target, 0o755); err != nil {
			return err
		}
		for name, file := range d.allSettings() {
			data, err := json.MarshalIndent(file, "", "  ")
			if err != nil {
				return fmt.Errorf("encode settings of daemon %s: %w", name, err)
			}
			if err := os.WriteFile(filepath.Join(target, name+".json"), append(data, '\n'), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: generate DIR")
		os.Exit(2)
	}
	if err := writeSettings(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

// Command generate writes the daemon settings of the example deployments from a table. Run it in the repository's root
// with "go generate ./examples/generate" after a change of the table.
//
// A port is 2DZSP: D is the deployment, Z the zone, S the upstream within the zone and P the part: 1 peer address,
// 2 call address, 3 admin address, 4 backend server. The stand-in platform of a deployment listens on 2D001.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

//go:generate go run . ..

// deployment is one of the examples.
type deployment struct {
	name     string
	digit    int
	zones    []zone
	services []service
}

type zone struct {
	region, name string
}

// service is run by one upstream in each zone, and by one more in the first zone where extra is set.
type service struct {
	name               string
	slots, connections int
	calls              []string
	extra              bool
}

// The slots and connections are a tenth of those in use, so that all processes of a deployment fit on one machine.
var deployments = []deployment{
	{
		name:  "registry",
		digit: 1,
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
		name:  "konvooi",
		digit: 2,
		zones: []zone{{"west", "west-a"}, {"west", "west-b"}, {"east", "east-a"}, {"east", "east-b"}},
		services: []service{
			{name: "routeplan", slots: 8, connections: 60, calls: []string{"grenspost"}, extra: true},
			{name: "grenspost", slots: 10, connections: 70, calls: []string{"vrachtdoc"}},
			{name: "vrachtdoc", slots: 10, connections: 70, calls: []string{"brandstof"}},
			{name: "brandstof", slots: 3, connections: 30},
		},
	},
}

// document is a settings file. Its fields are in the order in which people read them.
type document struct {
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

// Parts of a port.
const (
	partPeer = 1 + iota
	partCall
	partAdmin
	partBackend
)

func (d *deployment) address(zone, upstream, part int) string {
	return fmt.Sprintf("127.0.0.1:2%d%d%d%d", d.digit, zone+1, upstream+1, part)
}

// peers returns two daemons of the own zone, so that a replaced VM finds its neighbours while the zone is cut off, and
// one of each other zone.
func (d *deployment) peers(own int) []string {
	peers := []string{d.address(own, 0, partPeer), d.address(own, 1, partPeer)}
	for z := range d.zones {
		if z != own {
			peers = append(peers, d.address(z, 0, partPeer))
		}
	}
	return peers
}

func (d *deployment) document(z, upstream int, name string, s service) document {
	at := d.zones[z]
	calls := s.calls
	if calls == nil {
		calls = []string{}
	}
	return document{
		Name: name, Service: s.name, Region: at.region, Zone: at.name,
		PeerAddress:  d.address(z, upstream, partPeer),
		CallAddress:  d.address(z, upstream, partCall),
		AdminAddress: d.address(z, upstream, partAdmin),
		Backend: backendFields{
			URL: "http://" + d.address(z, upstream, partBackend), Slots: s.slots, Connections: s.connections,
		},
		TLS: tlsFields{
			Certificate: "../tls/" + name + ".pem", Key: "../tls/" + name + "-key.pem", Authority: "../tls/authority.pem",
		},
		Platform: platformFields{URLs: []string{fmt.Sprintf("http://127.0.0.1:2%d001", d.digit)}},
		Peers:    d.peers(z), Calls: calls, Log: logFields{Level: "info"}, DrainLimit: "30s",
	}
}

// documents returns the settings of all upstreams by daemon name.
func (d *deployment) documents() map[string]document {
	docs := make(map[string]document)
	for z, at := range d.zones {
		for i, s := range d.services {
			name := at.name + "-" + s.name
			docs[name] = d.document(z, i, name, s)
			if s.extra && z == 0 {
				name += "-2"
				docs[name] = d.document(z, len(d.services), name, s)
			}
		}
	}
	return docs
}

// write writes DIR/DEPLOYMENT/settings/NAME.json for all upstreams.
func write(dir string) error {
	for _, d := range deployments {
		target := filepath.Join(dir, d.name, "settings")
		if err := os.MkdirAll(target, 0o755); err != nil {
			return err
		}
		for name, doc := range d.documents() {
			data, err := json.MarshalIndent(doc, "", "  ")
			if err != nil {
				return err
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
	if err := write(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

package experiment

import (
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Deployment is one of the users' deployments. Numbers of upstreams and slots and network delays are those of section
// 1.5 of the design, which gives no running times, operation mixes or message sizes. The ones here make the service with
// the fewest slots, which every operation calls last, the bottleneck; the services that call it saturate at a few times
// its capacity.
type Deployment struct {
	Name        string
	ZoneDelay   time.Duration // one way, between zones of a region
	RegionDelay time.Duration // one way, between regions
	ClientDelay time.Duration // one way, between a caller and its entry daemon
	LinkRate    float64       // of the link between the regions, each way, in bytes per second
	Services    []Service
	Operations  []Operation
	Bottleneck  string // name of the service with the lowest capacity
}

// Service is a group of equal upstreams, assigned to the zones round-robin.
type Service struct {
	Name         string
	Upstreams    int
	Slots        int           // per upstream
	MeanSelfTime time.Duration // excludes the time spent waiting for child calls
}

// Operation is a kind of request. The entry daemon calls the first service of Chain, and each service calls the next.
type Operation struct {
	Name          string
	Class         call.Class
	DemandShare   float64  // fraction of the requests
	Chain         []string // names of services
	Idempotent    bool
	Upload        bool
	RequestBytes  int64 // on the first hop; later hops send emptyMessageBytes
	ResponseBytes int64 // on every hop
}

const (
	zonesPerRegion = 2
	regions        = 2
	linkRate       = 30e6 / 8 // bytes per second: 30 Mbit/s
	// emptyMessageBytes is the size of a child call and of a response without a body.
	emptyMessageBytes = 500
)

// Deployments returns the deployments of both users. Their names are part of the benchmark's output.
func Deployments() []Deployment {
	return []Deployment{registry(), konvooi()}
}

func registry() Deployment {
	return Deployment{
		Name: "registry", ZoneDelay: 500 * time.Microsecond, RegionDelay: 30 * time.Millisecond,
		ClientDelay: time.Millisecond, LinkRate: linkRate, Bottleneck: "delegation",
		Services: []Service{
			{"lookup", 4, 90, 4 * time.Millisecond},
			{"holdership", 4, 90, 6 * time.Millisecond},
			{"docstore", 4, 90, 10 * time.Millisecond},
			{"delegation", 4, 20, 40 * time.Millisecond},
		},
		Operations: []Operation{
			{"transfer", call.ClassCritical, 0.04, []string{"holdership", "delegation"}, false, false, 1000, 1000},
			{"allocation", call.ClassHigh, 0.16, []string{"holdership", "delegation"}, false, false, 1000, 1000},
			{"lookup", call.ClassNormal, 0.5, []string{"lookup", "holdership", "delegation"}, true, false, 1000, 12000},
			{"upload", call.ClassLow, 0.3, []string{"docstore", "holdership", "delegation"}, true, true, 60000, 500},
		},
	}
}

func konvooi() Deployment {
	return Deployment{
		Name: "konvooi", ZoneDelay: 1500 * time.Microsecond, RegionDelay: 30 * time.Millisecond,
		ClientDelay: 8 * time.Millisecond, LinkRate: linkRate, Bottleneck: "brandstof",
		Services: []Service{
			{"routeplan", 5, 80, 8 * time.Millisecond},
			{"grenspost", 4, 100, 6 * time.Millisecond},
			{"vrachtdoc", 4, 100, 10 * time.Millisecond},
			{"brandstof", 4, 30, 60 * time.Millisecond},
		},
		Operations: []Operation{
			{"crossing", call.ClassCritical, 0.04, []string{"grenspost", "brandstof"}, false, false, 1000, 1000},
			{"fuel-stop", call.ClassHigh, 0.16, []string{"routeplan", "brandstof"}, false, false, 1000, 1000},
			{"route", call.ClassNormal, 0.5, []string{"routeplan", "grenspost", "brandstof"}, true, false, 1000, 12000},
			{"manifest", call.ClassLow, 0.3, []string{"vrachtdoc", "grenspost", "brandstof"}, true, true, 60000, 500},
		},
	}
}

func (d *Deployment) service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	panic("unknown service " + name)
}

// capacity returns the requests per second that all upstreams of a service can run, without slowdown and with no slot
// held by waiting for child calls.
func (d *Deployment) capacity(name string) float64 {
	s := d.service(name)
	return float64(s.Upstreams*s.Slots) / s.MeanSelfTime.Seconds()
}

// daemonCount returns the number of upstreams of all services; each has one daemon.
func (d *Deployment) daemonCount() int {
	n := 0
	for _, s := range d.Services {
		n += s.Upstreams
	}
	return n
}

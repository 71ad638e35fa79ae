package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/core/call"
)

// Overhead of an encoded message in bytes, estimated for a short-lived QUIC stream. Each packet adds 28 for IP and
// UDP, 30 for the QUIC header and tag, and 5 for the stream frame. The control envelope, with the sender's address
// and versions, adds 45, and the acknowledgment packet in the other direction 58.
const (
	packetOverheadBytes = 63
	packetPayloadBytes  = 1200
	envelopeBytes       = 45
	ackPacketBytes      = 58
	// budgetBytesPerSecond is the limit of design.md section 1.6, in bytes/s for each daemon.
	budgetBytesPerSecond = 6 << 10
)

// trafficMeter counts the bytes that each daemon sends and receives.
type trafficMeter struct {
	b        *testing.B
	begin    time.Time
	s        *sim
	bytes    map[string]int // by address, sent and received
	messages int
	seconds  []int // bytes of all daemons in each second since begin
}

func newTrafficMeter(b *testing.B, s *sim) *trafficMeter {
	m := &trafficMeter{b: b, begin: s.now, s: s, bytes: make(map[string]int)}
	s.onSend = m.count
	return m
}

func (m *trafficMeter) count(msg Message) {
	data, err := Encode(msg)
	if err != nil {
		m.b.Fatal(err)
	}
	size := len(data) + envelopeBytes
	size += (size + packetPayloadBytes - 1) / packetPayloadBytes * packetOverheadBytes
	size += ackPacketBytes
	second := int(m.s.now.Sub(m.begin) / time.Second)
	for len(m.seconds) <= second {
		m.seconds = append(m.seconds, 0)
	}
	m.messages++
	m.bytes[msg.From] += size
	m.seconds[second] += size
	if n := m.s.nodes[msg.To]; n != nil && n.node != nil {
		m.bytes[msg.To] += size
		m.seconds[second] += size
	}
}

// report reports the bytes per second, sent and received: the mean of all daemons, the value of the busiest daemon,
// and the mean of all daemons in the busiest 10 s. %limit is the mean in percent of budgetBytesPerSecond. Then it
// stops counting.
func (m *trafficMeter) report(daemons int) {
	seconds := m.s.now.Sub(m.begin).Seconds()
	total, busiest := 0, 0
	for _, n := range m.bytes {
		total += n
		busiest = max(busiest, n)
	}
	peak := 0
	for i := 10; i <= len(m.seconds); i++ {
		sum := 0
		for _, n := range m.seconds[i-10 : i] {
			sum += n
		}
		peak = max(peak, sum)
	}
	mean := float64(total) / float64(daemons) / seconds
	m.b.ReportMetric(mean, "B/s/daemon")
	m.b.ReportMetric(float64(busiest)/seconds, "B/s/busiest")
	m.b.ReportMetric(float64(peak)/float64(daemons)/10, "B/s/peak10s")
	m.b.ReportMetric(float64(m.messages)/float64(daemons)/seconds, "msgs/s/daemon")
	m.b.ReportMetric(100*mean/budgetBytesPerSecond, "%limit")
	m.b.ReportMetric(0, "ns/op")
	m.s.onSend = func(Message) {}
}

// remoteSummary returns the summary of another zone. Its sender's own Incarnation, Seq and State aren't set, since
// stepSummary doesn't read them.
func remoteSummary(s *sim, zone, size int, incarnation uint64) Message {
	m := Message{Kind: KindSummary, From: simAddress(zone, 0), Zone: fmt.Sprintf("z%d", zone), UnixMillis: s.now.UnixMilli()}
	for i := range size {
		a := simAddress(zone, i)
		m.Records = append(m.Records, Record{
			Address: a, CallAddress: a[:len(a)-4] + "8000", Service: fmt.Sprintf("service-%d", i%60), Zone: m.Zone,
			Region: "kingston", Incarnation: call.Incarnation(hashRecord(Record{Address: a, Seq: incarnation})),
			Seq: uint64(s.now.UnixMilli()) + uint64(i), State: StateServing, Slots: 90,
		})
	}
	return m
}

// deliverToRelays delivers a summary to the first three nodes, in the role of relays that read it from the platform.
func deliverToRelays(s *sim, m Message) {
	for _, a := range s.addresses[:3] {
		s.nodes[a].node.Step(s.now, m)
	}
}

// BenchmarkBudget measures the traffic of one zone, whose table also holds the other zones' members. The phases are:
//   - return: all daemons of the zone start at once with empty tables, as after the loss of the zone.
//   - normal: one restart a minute, 12 times the target's rate.
//   - remote-return: another zone returns after its loss, with new incarnations of all its members. This zone
//     doesn't notice the loss before the return.
func BenchmarkBudget(b *testing.B) {
	for _, c := range []struct{ size, zones int }{{50, 1}, {150, 1}, {573, 1}, {50, 11}, {150, 11}, {573, 11}} {
		s := newSim(Config{}, 1, c.size, 1)
		prefix := fmt.Sprintf("size=%d/zones=%d/", c.size, c.zones)
		b.Run(prefix+"return", func(b *testing.B) {
			s = newSim(Config{}, 1, c.size, 1)
			s.startAll()
			m := newTrafficMeter(b, s)
			s.run(time.Second)
			for z := 1; z < c.zones; z++ {
				deliverToRelays(s, remoteSummary(s, z, c.size, 1))
			}
			s.run(59 * time.Second)
			m.report(c.size)
			elapsed, last := s.convergeHashes(20 * time.Minute)
			if last != "" {
				b.Fatal(last)
			}
			b.ReportMetric((time.Minute + elapsed).Seconds(), "s-to-agree")
		})
		b.Run(prefix+"normal", func(b *testing.B) {
			s.run(time.Minute)
			m := newTrafficMeter(b, s)
			s.run(10 * time.Second)
			s.start(s.addresses[len(s.addresses)/2], "lookup")
			s.run(50 * time.Second)
			m.report(c.size)
		})
		if c.zones == 1 {
			continue
		}
		b.Run(prefix+"remote-return", func(b *testing.B) {
			s.run(time.Minute)
			m := newTrafficMeter(b, s)
			deliverToRelays(s, remoteSummary(s, 1, c.size, 2))
			s.run(time.Minute)
			m.report(c.size)
			elapsed, last := s.convergeHashes(20 * time.Minute)
			if last != "" {
				b.Fatal(last)
			}
			b.ReportMetric((time.Minute + elapsed).Seconds(), "s-to-agree")
		})
	}
}

// convergeHashes runs until the tables of all live nodes have the same hash, and returns the time that took or, at
// the limit, a description of the difference. Unlike converge it works with members that the simulation doesn't run.
func (s *sim) convergeHashes(limit time.Duration) (time.Duration, string) {
	begin := s.now
	for {
		hashes := make([]uint64, 0, len(s.addresses))
		for _, a := range s.live() {
			hashes = append(hashes, s.nodes[a].node.Hash())
		}
		slices.Sort(hashes)
		n := len(slices.Compact(hashes))
		if n == 1 {
			return s.now.Sub(begin), ""
		}
		if s.now.Sub(begin) >= limit {
			return limit, fmt.Sprintf("%d different tables", n)
		}
		s.run(time.Second)
	}
}

package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards datagrams to a target and can lose and delay them. It stands for a middlebox: each source address is
// one flow with its own socket towards the target.
type proxy struct {
	t       testing.TB
	front   *net.UDPConn
	target  *net.UDPAddr
	sent    atomic.Int64 // bytes of UDP payload, both directions
	packets atomic.Int64
	delay   atomic.Pointer[func() time.Duration]

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	back *net.UDPConn
	dead atomic.Bool // drops all packets
}

func newProxy(t testing.TB, target string) *proxy {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{t: t, front: front, target: to, flows: make(map[string]*flow)}
	t.Cleanup(p.close)
	go p.forward()
	return p
}

func (p *proxy) address() string { return p.front.LocalAddr().String() }

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.front.Close()
	for _, f := range p.flows {
		_ = f.back.Close()
	}
}

// silence drops all packets of the flows that exist now, in both directions.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.dead.Store(true)
	}
}

func (p *proxy) numFlows() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.flows)
}

func (p *proxy) forward() {
	b := make([]byte, 1<<16)
	for {
		n, from, err := p.front.ReadFromUDP(b)
		if err != nil {
			return
		}
		if f := p.flow(from); f != nil {
			p.pass(f, b[:n], func(packet []byte) { _, _ = f.back.Write(packet) })
		}
	}
}

// flow returns the flow of a source address, and opens it if needed.
func (p *proxy) flow(from *net.UDPAddr) *flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.flows[from.String()]; ok {
		return f
	}
	back, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil
	}
	f := &flow{back: back}
	p.flows[from.String()] = f
	go func() {
		b := make([]byte, 1<<16)
		for {
			n, err := back.Read(b)
			if err != nil {
				return
			}
			p.pass(f, b[:n], func(packet []byte) { _, _ = p.front.WriteToUDP(packet, from) })
		}
	}()
	return f
}

// pass counts a packet and sends it, after its delay.
func (p *proxy) pass(f *flow, packet []byte, send func([]byte)) {
	if f.dead.Load() {
		return
	}
	p.packets.Add(1)
	p.sent.Add(int64(len(packet)))
	delay := p.delay.Load()
	if delay == nil {
		send(packet)
		return
	}
	packet = append([]byte(nil), packet...)
	time.AfterFunc((*delay)(), func() { send(packet) })
}

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxHeadBytes is maxHeaderBytes of the configuration. No head in these cases is larger.
	maxHeadBytes = 16384
	// faultEnds and faultMachines are the counts of the rule Fault.
	faultEnds, faultMachines = 3, 2
)

const letters = "abcdefghijklmnopqrstuvwxyz0123456789"

// shortName returns a name of two or three characters, another one for each number below 36*36*37.
func shortName(i int) string {
	if i < 36*36 {
		return string([]byte{letters[i/36], letters[i%36]})
	}
	i -= 36 * 36
	return string([]byte{letters[i/1296], letters[i/36%36], letters[i%36]})
}

// head returns the start of the head of a request.
func head(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Timeout-Ms: 5000\r\n"
}

// trailerUpload returns the start of an upload in chunks. With trouble, its head announces as many trailer fields as fit into
// it. Without, the head is as large, and one other field fills it.
func trailerUpload(id string, trouble bool) string {
	start := head("POST", "/lookup/upload/x", id) + "Transfer-Encoding: chunked\r\n"
	room := maxHeadBytes - len(start) - len("Trailer: z\r\n\r\n")
	var names strings.Builder
	for i := 0; names.Len()+4 <= room; i++ {
		names.WriteString(shortName(i) + ",")
	}
	if trouble {
		return start + "Trailer: " + names.String() + "z\r\n\r\n1\r\nx\r\n"
	}
	return start + "X-Fill: " + strings.Repeat("x", names.Len()) + "\r\n\r\n1\r\nx\r\n"
}

// crowd is a number of clients of one machine, each with one open connection on which it sends a request and reads the answer.
type crowd struct {
	v    *vm
	stop chan struct{}
	done sync.WaitGroup
}

// arrive lets n clients send what text returns for their ids. Those whose connection ends come again after a second.
func arrive(v *vm, n int, name string, text func(id string) string) *crowd {
	c := &crowd{v: v, stop: make(chan struct{})}
	v.rec.log("%s: %d clients %s begin to send", v.name, n, name)
	for i := range n {
		c.done.Go(func() {
			for round := 0; ; round++ {
				c.once(fmt.Sprintf("%s-%d-%d", name, i, round), text)
				select {
				case <-c.stop:
					return
				case <-time.After(time.Second):
				}
			}
		})
	}
	return c
}

func (c *crowd) once(id string, text func(id string) string) {
	conn, err := net.DialTimeout("tcp", c.v.ports["ingress"], 2*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write([]byte(text(id))); err != nil {
			return
		}
		buf := make([]byte, 4096)
		n, err := conn.Read(buf) // the answer, or the end of the connection
		line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
		c.v.rec.log("%s: crowd's %s gets %q %v", c.v.name, id, line, err)
	}()
	select {
	case <-ended:
	case <-c.stop:
	case <-time.After(10 * time.Second):
	}
}

func (c *crowd) leave() {
	close(c.stop)
	c.done.Wait()
}

// overLimit plays a machine whose daemon may take memoryMB: it ends the process when that takes more, and starts it again.
// It returns how often that happened until the end, at most faultEnds times, and the most memory that was seen.
func (v *vm) overLimit(end time.Time) (ends, most int) {
	for time.Now().Before(end) && ends < faultEnds {
		time.Sleep(10 * time.Millisecond)
		if !v.running() {
			v.rec.log("%s: the daemon has ended by itself", v.name)
			ends++
			v.start()
			continue
		}
		m := v.memory()
		most = max(most, m)
		if m <= v.memoryMB {
			continue
		}
		v.rec.log("%s: the daemon takes %d MB of %d MB: the machine ends it", v.name, m, v.memoryMB)
		ends++
		v.signal(syscall.SIGKILL)
		waitFor(5*time.Second, func() bool { return !v.running() })
		time.Sleep(500 * time.Millisecond)
		if err := v.start(); err != nil {
			v.rec.log("%s: %v", v.name, err)
			return ends, most
		}
		waitFor(10*time.Second, v.ready)
	}
	return ends, most
}

// watchMemory lets the machines of a case run until the time has passed or the rule Fault is broken, and judges.
func (p *play) watchMemory(vms []*vm, limit time.Duration) int {
	end := time.Now().Add(limit)
	var wg sync.WaitGroup
	ends, most := make([]int, len(vms)), make([]int, len(vms))
	for i, v := range vms {
		wg.Go(func() { ends[i], most[i] = v.overLimit(end) })
	}
	wg.Wait()
	machines := 0
	for i, v := range vms {
		p.rec.log("%s: over its memory %d times, %d MB at the most, limit %d MB", v.name, ends[i], most[i], v.memoryMB)
		if ends[i] >= faultEnds {
			machines++
		}
	}
	return p.rec.result(machines >= faultMachines, "%d machines ended %d times each or more over their memory (ends %v, most MB %v)",
		machines, faultEnds, ends, most)
}

// trailersCase sends uploads whose bodies haven't ended to two daemons.
func trailersCase(p *play) int {
	if err := p.deploy("lookup", "lookup"); err != nil {
		return p.rec.cannotRun("%v", err)
	}
	var crowds []*crowd
	for _, v := range p.vms {
		crowds = append(crowds, arrive(v, 800, "trailers-"+v.name, func(id string) string { return trailerUpload(id, p.trouble) }))
	}
	defer func() {
		for _, c := range crowds {
			c.leave()
		}
	}()
	return p.watchMemory(p.vms, 40*time.Second)
}

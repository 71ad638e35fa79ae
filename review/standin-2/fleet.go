package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is limits.memoryMb in the settings, that of the small sites unless a case names another.
var memoryMB = 284

// Ports are the ports that all machines of a run share, as on the platform.
type Ports struct {
	outbound, inbound, readiness, admin, internal, internal2, app, store int
}

// Machine is one machine: a loopback address with a daemon process and a backend server.
type Machine struct {
	Name, IP, Zone, Region, Service string
	Ports                           Ports
	Server                          *Server

	settings string
	logFile  *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Fleet is a small deployment on loopback.
type Fleet struct {
	Dir      string
	Binary   string
	Ports    Ports
	Store    *Store
	Machines []*Machine
	Record   *Record
}

// Placement says where a machine stands and which service runs on it.
type Placement struct {
	Service, Zone, Region string
}

// freePorts finds ports that are free on all the addresses.
func freePorts(ips []string) (Ports, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		free := true
		for _, ip := range ips {
			for p := base; p < base+8 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return Ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}, nil
		}
	}
	return Ports{}, fmt.Errorf("no free ports")
}

// NewFleet prepares machines, the store and the configuration. It starts the store.
func NewFleet(binary, dir string, record *Record, places []Placement, config map[string]any) (*Fleet, error) {
	f := &Fleet{Dir: dir, Binary: binary, Record: record}
	ips := []string{"127.0.0.1"}
	subnet := 10 + rand.IntN(200)
	for i := range places {
		ips = append(ips, fmt.Sprintf("127.77.%d.%d", subnet, i+1))
	}
	var err error
	if f.Ports, err = freePorts(ips); err != nil {
		return nil, err
	}
	storeAddress := fmt.Sprintf("127.0.0.1:%d", f.Ports.store)
	if f.Store, err = StartStore(storeAddress); err != nil {
		return nil, err
	}
	if config != nil {
		data, _ := json.Marshal(config)
		f.Store.Put("op/config", data)
	}
	for i, p := range places {
		m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", p.Zone, i+1), IP: ips[i+1], Zone: p.Zone, Region: p.Region, Service: p.Service, Ports: f.Ports}
		m.settings = filepath.Join(dir, m.Name+".json")
		if err := m.writeSettings(storeAddress); err != nil {
			return nil, err
		}
		f.Machines = append(f.Machines, m)
	}
	return f, nil
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Outbound is the address to which clients on the machine send their requests.
func (m *Machine) Outbound() string { return m.address(m.Ports.outbound) }

// App is the address of the machine's backend server.
func (m *Machine) App() string { return m.address(m.Ports.app) }

// writeSettings writes what deploy/settings.json.template makes of the platform's settings.
func (m *Machine) writeSettings(store string) error {
	s := map[string]any{
		"name": m.Name, "service": m.Service, "region": m.Region, "zone": m.Zone,
		"peer_address": m.address(m.Ports.internal), "call_address": m.address(m.Ports.inbound), "admin_address": m.address(m.Ports.internal2),
		"ingress":    map[string]any{"address": m.Outbound(), "ready_address": m.address(m.Ports.readiness), "announce_address": m.address(m.Ports.admin)},
		"backend":    map[string]any{"url": "http://" + m.App(), "announced": true},
		"platform":   map[string]any{"urls": []string{"http://" + store}},
		"bounds":     map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"kill_after": "6s",
		"memory_mb":  memoryMB,
	}
	data, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// Start starts the daemon of a machine with the command of the deploy file.
func (f *Fleet) Start(m *Machine) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.logFile == nil {
		log, err := os.Create(filepath.Join(f.Dir, m.Name+".log"))
		if err != nil {
			return err
		}
		m.logFile = log
	}
	cmd := exec.Command(f.Binary, "daemon", "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = m.logFile, m.logFile
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the daemon of the machine.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Exited returns a channel that is closed once the daemon has exited, and its process ID.
func (m *Machine) Exited() (<-chan struct{}, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited, m.cmd.Process.Pid
}

// Kill kills the daemon and waits for its end.
func (m *Machine) Kill() {
	exited, _ := m.Exited()
	m.Signal(syscall.SIGKILL)
	<-exited
}

// Stop ends all processes that the fleet started.
func (f *Fleet) Stop() {
	for _, m := range f.Machines {
		if m.cmd != nil {
			m.Signal(syscall.SIGCONT)
			m.Kill()
		}
		if m.Server != nil {
			m.Server.Close()
		}
	}
	f.Store.server.Close()
}

// WaitReady waits until all daemons are ready and know a backend server of every service.
func (f *Fleet) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range f.Machines {
		for {
			if resp, err := http.Get("http://" + m.address(m.Ports.readiness) + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// MemoryKB returns a field of /proc/PID/status of a daemon in kB, such as VmHWM, the peak of its resident memory.
func (m *Machine) MemoryKB(field string) int {
	_, pid := m.Exited()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, field+": %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// Record collects what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
	lines   int
	limit   int
}

// NewRecord returns a record that writes at most limit lines.
func NewRecord(w io.Writer, limit int) *Record {
	return &Record{w: w, started: time.Now(), limit: limit}
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines++
	if r.lines <= r.limit {
		fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Always writes one line also beyond the limit.
func (r *Record) Always(format string, args ...any) {
	r.mu.Lock()
	r.lines = 0
	r.mu.Unlock()
	r.Printf(format, args...)
}

// put sends an announcement of a backend server to a daemon and returns the status, 0 without an answer.
func put(client *http.Client, method, url string, body any) int {
	data, _ := json.Marshal(body)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

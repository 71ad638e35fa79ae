// Package deploy starts a small deployment on loopback addresses: the project's stand-in of the platform's store and one
// daemon for each VM, each as a separate process, with the commands and the settings of the project's deploy file.
package deploy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the users' sheet for the small sites.
const (
	Heartbeat   = 1500 * time.Millisecond
	DrainBound  = 2500 * time.Millisecond
	ConfigApply = 2500 * time.Millisecond
	Contact     = 4 * time.Second
	grace       = 6 * time.Second
)

// Record writes lines with the time since the start to a file. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, started: time.Now()}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Elapsed returns the seconds from the start of the record to a time.
func (r *Record) Elapsed(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// Deployment is the store and its daemons.
type Deployment struct {
	Root     string // of the repository
	Dir      string // temporary folder
	StoreURL string
	Record   *Record

	store *exec.Cmd
	VMs   []*VM
}

// VM has the addresses of one daemon and of the backend server beside it.
type VM struct {
	Name, Service, Zone         string
	Outbound, Readiness, Admin  string // for clients, for readiness checks, for heartbeats
	App                         string // of the backend server
	d                           *Deployment
	settings                    string
	mu                          sync.Mutex
	daemon                      *exec.Cmd
	exited                      chan struct{}
	log                         *os.File
	peer, inbound, adminAddress string
}

// New starts the store with the operator's first configuration.
func New(root, dir string, config []byte, record *Record) (*Deployment, error) {
	d := &Deployment{Root: root, Dir: dir, Record: record}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	d.StoreURL = "http://" + address
	d.store = exec.Command(filepath.Join(root, "target", "review", "guavapoint-standin"), "kv", "--listen", address,
		"--writes", "400", "--reads", "2000", "--put", "op/config="+file)
	log, err := os.Create(filepath.Join(dir, "store.log"))
	if err != nil {
		return nil, err
	}
	d.store.Stdout, d.store.Stderr = log, log
	if err := d.store.Start(); err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	return d, await(5*time.Second, func() bool {
		resp, err := http.Get(d.StoreURL + "/kv-key?key=op/config")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// PutConfig writes a version of the operator's configuration. The store's response is the acknowledgement.
func (d *Deployment) PutConfig(config []byte) error {
	resp, err := http.Get(d.StoreURL + "/kv-key?key=op/config")
	if err != nil {
		return err
	}
	var item struct {
		Revision int64 `json:"revision"`
	}
	err = json.NewDecoder(resp.Body).Decode(&item)
	resp.Body.Close()
	if err != nil {
		return err
	}
	txn, err := json.Marshal(map[string]any{
		"expected": []any{map[string]any{"key": "op/config", "revision": item.Revision}},
		"writes":   []any{map[string]any{"key": "op/config", "value": config, "lease": 0}},
		"remove":   []string{},
	})
	if err != nil {
		return err
	}
	resp, err = http.Post(d.StoreURL+"/kv-txn", "application/json", bytes.NewReader(txn))
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	return nil
}

// AddVM reserves the addresses of a VM and writes the settings of its daemon.
func (d *Deployment) AddVM(name, service, zone, region string) (*VM, error) {
	v := &VM{Name: name, Service: service, Zone: zone, d: d}
	for _, to := range []*string{&v.Outbound, &v.Readiness, &v.Admin, &v.App, &v.peer, &v.inbound, &v.adminAddress} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*to = address
	}
	data, err := json.MarshalIndent(map[string]any{
		"name": name, "service": service, "region": region, "zone": zone,
		"peer_address": v.peer, "call_address": v.inbound, "admin_address": v.adminAddress,
		"ingress":   map[string]any{"address": v.Outbound, "ready_address": v.Readiness, "announce_address": v.Admin},
		"backend":   map[string]any{"url": "http://" + v.App, "announced": true},
		"platform":  map[string]any{"urls": []string{d.StoreURL}},
		"bounds":    map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"memory_mb": 284, "kill_after": grace.String(),
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(d.Dir, name+".json")
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(d.Dir, name+".log")); err != nil {
		return nil, err
	}
	d.VMs = append(d.VMs, v)
	return v, nil
}

// Start starts the daemon.
func (v *VM) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(filepath.Join(v.d.Root, "target", "guavapoint"), "daemon", "--settings", v.settings)
	cmd.Dir = v.d.Root
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start daemon %s: %w", v.Name, err)
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	v.daemon, v.exited = cmd, exited
	return nil
}

// Kill ends the daemon with SIGKILL and waits until it has ended.
func (v *VM) Kill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon == nil {
		return
	}
	_ = v.daemon.Process.Signal(syscall.SIGKILL)
	<-v.exited
	v.daemon = nil
}

// Stop sends SIGTERM, and SIGKILL after the grace time, and waits until the daemon has ended.
func (v *VM) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.daemon.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(grace):
		_ = v.daemon.Process.Signal(syscall.SIGKILL)
		<-v.exited
	}
	v.daemon = nil
}

// Ready reports whether the daemon passes its readiness check.
func (v *VM) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Readiness + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all daemons are ready.
func (d *Deployment) AwaitReady() error {
	return await(20*time.Second, func() bool {
		for _, v := range d.VMs {
			if !v.Ready() {
				return false
			}
		}
		return true
	})
}

// Close ends all processes.
func (d *Deployment) Close() {
	for _, v := range d.VMs {
		v.Kill()
	}
	if d.store != nil && d.store.Process != nil {
		_ = d.store.Process.Signal(syscall.SIGKILL)
		_ = d.store.Wait()
	}
}

func await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", limit)
}

// Ports are below the ephemeral ones, so that no outgoing connection takes the port of a daemon that is down.
const firstPort, lastPort = 15000, 29999

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*37%(lastPort-firstPort)
)

// FreeAddress returns a loopback address whose port is free at present.
func FreeAddress() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

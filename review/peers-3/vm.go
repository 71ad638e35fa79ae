package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is a machine: a daemon of the project as a process, beside a stand-in of a backend server in this process.
type vm struct {
	name, ip, zone, service string
	dir                     string
	store                   *kvStore
	rec                     *record
	memoryMB                int
	ports                   map[string]string
	server                  *server

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newVM(dir string, rec *record, store *kvStore, n int, zone, service string, memoryMB int) (*vm, error) {
	v := &vm{name: "vm-" + strconv.Itoa(n), ip: "127.0.0." + strconv.Itoa(20+n), zone: zone, service: service, dir: dir,
		store: store, rec: rec, memoryMB: 284, ports: map[string]string{}}
	if memoryMB != 0 {
		v.memoryMB = memoryMB
	}
	for _, p := range []string{"peer", "call", "admin", "ingress", "ready", "announce", "app"} {
		a, err := freeAddress(v.ip)
		if err != nil {
			return nil, err
		}
		v.ports[p] = a
	}
	settings := map[string]any{
		"name": v.name, "service": service, "region": "west", "zone": zone,
		"peer_address": v.ports["peer"], "call_address": v.ports["call"], "admin_address": v.ports["admin"],
		"ingress":    map[string]any{"address": v.ports["ingress"], "ready_address": v.ports["ready"], "announce_address": v.ports["announce"]},
		"backend":    map[string]any{"url": "http://" + v.ports["app"], "announced": true},
		"platform":   map[string]any{"urls": []string{"http://" + store.address}},
		"bounds":     map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"kill_after": "6s", "max_files": 4100, "memory_mb": v.memoryMB,
	}
	data, _ := json.MarshalIndent(settings, "", "  ")
	return v, os.WriteFile(v.settingsFile(), data, 0o644)
}

func (v *vm) settingsFile() string { return filepath.Join(v.dir, v.name+".json") }

// start starts the daemon with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/guavapoint", "daemon", "--settings", v.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "GUAVAPOINT_BOOT=" + v.settingsFile()}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = cmd, make(chan struct{})
	v.starts++
	go func(done chan struct{}) { cmd.Wait(); close(done) }(v.exited)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.cmd.Process.Signal(s)
	}
}

// running reports whether the daemon's process still runs.
func (v *vm) running() bool {
	v.mu.Lock()
	done := v.exited
	v.mu.Unlock()
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// stop kills the daemon and waits for its end.
func (v *vm) stop() {
	v.mu.Lock()
	cmd, done := v.cmd, v.exited
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// memory returns the anonymous memory of the daemon's process in MiB, without the program's file and without sockets.
func (v *vm) memory() int {
	v.mu.Lock()
	pid := v.cmd.Process.Pid
	v.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// ready reports whether the daemon's readiness check answers with 200.
func (v *vm) ready() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ports["ready"] + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func waitFor(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// answer is what a client gets for a request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var client = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one request of a client on this machine.
func (v *vm) send(method, path, id string, timeout time.Duration, body string) answer {
	req, err := http.NewRequest(method, "http://"+v.ports["ingress"]+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "site.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	v.rec.log("%s: client sends %s %s id %s", v.name, method, path, id)
	resp, err := client.Do(req)
	if err != nil {
		v.rec.log("%s: client gets no answer to %s: %v", v.name, id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	v.rec.log("%s: client gets %d to %s, signature %q, leaving %q, limit %q, %d bytes, %v", v.name, resp.StatusCode, id,
		resp.Header.Get("X-Response-Signature"), resp.Header.Get("Server-Leaving"), resp.Header.Get("Server-Limit"), len(data), err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// heartbeat sends one heartbeat or leave notice of the backend server and reports whether it was acknowledged.
func (v *vm) heartbeat(method, id string, body map[string]any) bool {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+v.ports["announce"]+"/instances/"+id, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// config returns a configuration with one idempotent, one non-idempotent and one upload route to a service.
func config(version int, services ...string) []byte {
	routes, svcs := map[string]any{}, map[string]any{}
	for _, s := range services {
		svcs[s] = map[string]any{"healthPath": "/health", "maxConnections": 652, "protocol": "h1", "tls": false}
		for _, k := range []string{"idempotent", "non_idempotent", "upload"} {
			routes[s+"-"+k] = map[string]any{"host": "site.example", "pathPrefix": "/" + s + "/" + k + "/", "kind": k, "timeout": "5000ms",
				"targetLatency": "2000ms", "priority": 1, "service": s, "maxAttempts": 2}
		}
	}
	data, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "routes": routes, "services": svcs,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}})
	return data
}

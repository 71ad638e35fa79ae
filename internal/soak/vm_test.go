package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/standin/proxy"
)

// killAfter is the time after SIGTERM at which a daemon that still runs is killed, as the platform does.
const killAfter = 6 * time.Second

// vm is a VM: a backend server, its daemon as a separate process, and proxies that stand for the network between the
// daemon and its peers, the backend server and the store.
type vm struct {
	t               testing.TB
	name            string
	service         string
	backend         *backend
	peerProxy       *proxy.Proxy // from other daemons to this one
	backendProxy    *proxy.Proxy // from the daemon to the backend server
	storeProxy      *proxy.Proxy // from the daemon to the store
	settings        string       // path of the daemon's settings file
	log             *os.File     // output of all processes of the daemon
	maxFiles        int          // limit of open descriptors of the daemon; 0 leaves that of this process
	ingressAddress  string       // for requests of callers
	readyAddress    string       // for readiness checks
	announceAddress string       // for heartbeats of the backend server

	mu           sync.Mutex    // guards the fields below
	daemon       *exec.Cmd     // nil while the daemon is down
	exited       chan struct{} // closed when the process of daemon has ended
	endRequested bool          // SIGTERM or SIGKILL was sent to the present process
	closed       bool          // the soak is over; start does nothing
	pausedAt     time.Time     // when the daemon was last paused or went on after a pause
}

func newVM(t testing.TB, dir, name, service, zone string, storeAddress string, checker *checker, limits processLimits) *vm {
	t.Helper()
	v := &vm{t: t, name: name, service: service, backend: newBackend(service, checker), maxFiles: limits.files}
	t.Cleanup(v.backend.Close)
	bind := freeAddress(t)
	v.peerProxy = newProxy(t, bind)
	v.backendProxy = newProxy(t, strings.TrimPrefix(v.backend.URL, "http://"))
	v.storeProxy = newProxy(t, storeAddress)
	v.ingressAddress, v.readyAddress, v.announceAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	values := map[string]any{
		"name": name, "service": service, "region": "region", "zone": zone,
		"peer_address": v.peerProxy.Address(), "peer_bind": bind,
		"call_address": freeAddress(t), "admin_address": freeAddress(t),
		"ingress": map[string]any{
			"address": v.ingressAddress, "ready_address": v.readyAddress, "announce_address": v.announceAddress,
		},
		"backend":    map[string]any{"url": "http://" + v.backendProxy.Address(), "announced": true},
		"platform":   map[string]any{"urls": []string{"http://" + v.storeProxy.Address()}},
		"bounds":     map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"kill_after": killAfter.String(),
		"log":        map[string]any{"level": "debug"},
	}
	if limits.memoryMB > 0 {
		values["memory_mb"] = limits.memoryMB
		values["log"] = map[string]any{"level": "info"}
	}
	data, err := json.Marshal(values)
	if err != nil {
		t.Fatalf("encode settings of daemon %s: %v", name, err)
	}
	v.settings = filepath.Join(dir, name+".json")
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		t.Fatalf("write settings of daemon %s: %v", name, err)
	}
	if v.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatalf("create log of daemon %s: %v", name, err)
	}
	t.Cleanup(func() { v.log.Close() })
	t.Cleanup(v.close)
	return v
}

// processLimits are limits of a daemon's process; 0 means none.
type processLimits struct {
	memoryMB int // as memory_mb of the settings
	files    int // open descriptors
}

func newProxy(t testing.TB, target string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.New("127.0.0.1:0", target)
	if err != nil {
		t.Fatalf("start proxy to %s: %v", target, err)
	}
	t.Cleanup(p.Close)
	return p
}

// Ports of the daemons. They are below the ephemeral ports, so that no outgoing connection takes the port of a daemon
// while it is down.
const (
	firstPort = 23000
	lastPort  = 26999
)

var nextPort atomic.Int64

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress(t testing.TB) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%(lastPort-firstPort)))
	for range lastPort - firstPort {
		port := nextPort.Add(1)
		if port > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err == nil {
			l.Close()
			return l.Addr().String()
		}
	}
	t.Fatalf("no free port from %d to %d", firstPort, lastPort)
	return ""
}

// start starts the daemon unless it runs already or the soak is over.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon != nil || v.closed {
		return
	}
	cmd := exec.Command(daemonProgram, "daemon", "--settings", v.settings)
	if v.maxFiles > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, v.maxFiles), daemonProgram, "daemon",
			"--settings", v.settings)
	}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		v.t.Errorf("start daemon %s: %v", v.name, err)
		return
	}
	exited := make(chan struct{})
	v.daemon, v.exited, v.endRequested = cmd, exited, false
	go v.waitForExit(cmd, exited)
}

// restartAfter is the delay before a daemon that exited without a signal is started again.
const restartAfter = 200 * time.Millisecond

// waitForExit waits until a process of the daemon ends and closes exited. An exit without SIGTERM or SIGKILL is a
// violation, after which the daemon is started again.
func (v *vm) waitForExit(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	v.daemon = nil
	expected := v.endRequested
	v.mu.Unlock()
	close(exited)
	if !expected {
		v.backend.checker.addViolation("EXIT: daemon %s exited without a signal to stop: %v", v.name, err)
		time.Sleep(restartAfter)
		v.start()
	}
}

// signal sends a signal to the daemon, if it runs, and returns a channel that is closed when its process has ended.
func (v *vm) signal(sig syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	v.endRequested = v.endRequested || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	if sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		v.pausedAt = time.Now()
	}
	_ = v.daemon.Process.Signal(sig) // fails if the process has just ended
	return v.exited
}

// pausedSince reports whether the daemon was paused, or went on after a pause, at a time or later.
func (v *vm) pausedSince(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.pausedAt.Before(at)
}

// stopAndRestart stops the daemon as the platform does, with SIGTERM and after killAfter with SIGKILL, and starts it
// again unless the soak is over. A daemon that was paused meanwhile may need the SIGKILL.
func (v *vm) stopAndRestart() {
	began := time.Now()
	exited := v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killAfter):
		if !v.pausedSince(began) {
			v.backend.checker.addViolation("STOP: daemon %s still ran %v after SIGTERM", v.name, killAfter)
		}
		<-v.signal(syscall.SIGKILL)
	}
	v.start()
}

// killAndRestart kills the daemon with SIGKILL and starts it again.
func (v *vm) killAndRestart() {
	<-v.signal(syscall.SIGKILL)
	v.start()
}

// close kills the daemon with SIGKILL and prevents further starts.
func (v *vm) close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	<-v.signal(syscall.SIGKILL)
}

// sendHeartbeats sends a heartbeat every heartbeatInterval until done is closed.
func (v *vm) sendHeartbeats(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		v.backend.sendHeartbeat(client, v.announceAddress, v.backendProxy.Address())
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// isReady reports whether the readiness check of the daemon succeeds.
func (v *vm) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + v.readyAddress + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

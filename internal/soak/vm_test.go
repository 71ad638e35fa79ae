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

// killAfter is the time after a SIGTERM at which a daemon is killed, as the platform does.
const killAfter = 6 * time.Second

// vm is a VM: a backend server, its daemon as a process, and the network between them and the rest.
type vm struct {
	t               testing.TB
	name            string
	service         string
	backend         *backend
	peerProxy       *proxy.Proxy // from other daemons
	backendProxy    *proxy.Proxy // to the backend server
	storeProxy      *proxy.Proxy // to the store
	settings        string
	log             *os.File
	ingressAddress  string
	readyAddress    string
	announceAddress string

	mu           sync.Mutex
	daemon       *exec.Cmd // nil while the daemon is down
	exited       chan struct{}
	endRequested bool // the daemon was told to end
	closed       bool // the soak is over, no daemon is started any more
}

func newVM(t testing.TB, dir, name, service, zone string, storeAddress string, checker *checker) *vm {
	t.Helper()
	v := &vm{t: t, name: name, service: service, backend: newBackend(service, checker)}
	t.Cleanup(v.backend.Close)
	bind := freeAddress(t)
	v.peerProxy = newProxy(t, bind)
	v.backendProxy = newProxy(t, strings.TrimPrefix(v.backend.URL, "http://"))
	v.storeProxy = newProxy(t, storeAddress)
	v.ingressAddress, v.readyAddress, v.announceAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	data, err := json.Marshal(map[string]any{
		"name": name, "service": service, "region": "region", "zone": zone,
		"peer_address": v.peerProxy.Address(), "peer_bind": bind,
		"call_address": freeAddress(t), "admin_address": freeAddress(t),
		"ingress":    map[string]any{"address": v.ingressAddress, "ready_address": v.readyAddress, "announce_address": v.announceAddress},
		"backend":    map[string]any{"url": "http://" + v.backendProxy.Address(), "announced": true},
		"platform":   map[string]any{"urls": []string{"http://" + v.storeProxy.Address()}},
		"bounds":     map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"kill_after": killAfter.String(),
		"log":        map[string]any{"level": "debug"},
	})
	if err != nil {
		t.Fatal(err)
	}
	v.settings = filepath.Join(dir, name+".json")
	if err := os.WriteFile(v.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if v.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { v.log.Close() })
	t.Cleanup(v.close)
	return v
}

func newProxy(t testing.TB, target string) *proxy.Proxy {
	t.Helper()
	p, err := proxy.New("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Ports of the daemons. They are below those that the system gives to outgoing connections, which would take a port while
// its daemon is down.
const (
	firstPort = 23000
	lastPort  = 26999
)

var nextPort atomic.Int64

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
	t.Fatal("found no free port")
	return ""
}

// start starts the daemon unless it runs.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon != nil || v.closed {
		return
	}
	cmd := exec.Command(daemonProgram, "daemon", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		v.t.Errorf("start of %s: %v", v.name, err)
		return
	}
	exited := make(chan struct{})
	v.daemon, v.exited, v.endRequested = cmd, exited, false
	go v.waitForExit(cmd, exited)
}

// restartAfter is the pause before a daemon that ended by itself is started again.
const restartAfter = 200 * time.Millisecond

// waitForExit notes the end of a daemon. One that ended by itself breaks a promise and is started again.
func (v *vm) waitForExit(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	v.daemon = nil
	expected := v.endRequested
	v.mu.Unlock()
	close(exited)
	if !expected {
		v.backend.checker.addViolation("EXIT: %s ended by itself: %v", v.name, err)
		time.Sleep(restartAfter)
		v.start()
	}
}

// signal sends a signal to the daemon, if it runs, and returns the channel that tells its end.
func (v *vm) signal(sig syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.daemon == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	v.endRequested = v.endRequested || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = v.daemon.Process.Signal(sig) // it may just have ended
	return v.exited
}

// stopAndRestart ends the daemon as the platform does, and starts it again unless the soak is over.
func (v *vm) stopAndRestart() {
	exited := v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(killAfter):
		v.backend.checker.addViolation("STOP: %s was still there %v after SIGTERM", v.name, killAfter)
		<-v.signal(syscall.SIGKILL)
	}
	v.start()
}

// killAndRestart ends the daemon at once and starts it again.
func (v *vm) killAndRestart() {
	<-v.signal(syscall.SIGKILL)
	v.start()
}

// close ends the daemon for good.
func (v *vm) close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	<-v.signal(syscall.SIGKILL)
}

// sendHeartbeats sends heartbeats until done is closed.
func (v *vm) sendHeartbeats(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		v.backend.sendHeartbeat(client, v.announceAddress)
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// isReady asks the readiness check.
func (v *vm) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + v.readyAddress + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

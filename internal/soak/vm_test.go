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

// node is a VM: a backend server, its daemon as a process, and the network between them and the rest.
type node struct {
	t        testing.TB
	name     string
	service  string
	backend  *backend
	peers    *proxy.Proxy // from other daemons
	work     *proxy.Proxy // to the backend server
	store    *proxy.Proxy // to the store
	settings string
	log      *os.File
	ingress  string
	ready    string
	announce string

	mu     sync.Mutex
	daemon *exec.Cmd // nil while the daemon is down
	ended  chan struct{}
	ending bool // the daemon was told to end
	closed bool // the soak is over, no daemon is started any more
}

func newNode(t testing.TB, dir, name, service, zone string, storeAddress string, l *ledger) *node {
	t.Helper()
	n := &node{t: t, name: name, service: service, backend: newBackend(service, l)}
	t.Cleanup(n.backend.Close)
	bind := freeAddress(t)
	n.peers = newProxy(t, bind)
	n.work = newProxy(t, strings.TrimPrefix(n.backend.URL, "http://"))
	n.store = newProxy(t, storeAddress)
	n.ingress, n.ready, n.announce = freeAddress(t), freeAddress(t), freeAddress(t)
	data, err := json.Marshal(map[string]any{
		"name": name, "service": service, "region": "region", "zone": zone,
		"peer_address": n.peers.Address(), "peer_bind": bind,
		"call_address": freeAddress(t), "admin_address": freeAddress(t),
		"ingress":    map[string]any{"address": n.ingress, "ready_address": n.ready, "announce_address": n.announce},
		"backend":    map[string]any{"url": "http://" + n.work.Address(), "announced": true},
		"platform":   map[string]any{"urls": []string{"http://" + n.store.Address()}},
		"bounds":     map[string]any{"retry_ratio": 0.2, "retry_slack": 48, "retry_window": "10s"},
		"kill_after": killAfter.String(),
		"log":        map[string]any{"level": "debug"},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.settings = filepath.Join(dir, name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.log.Close() })
	t.Cleanup(n.end)
	return n
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
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon != nil || n.closed {
		return
	}
	cmd := exec.Command(daemonProgram, "daemon", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		n.t.Errorf("start of %s: %v", n.name, err)
		return
	}
	ended := make(chan struct{})
	n.daemon, n.ended, n.ending = cmd, ended, false
	go n.await(cmd, ended)
}

// restartAfter is the pause before a daemon that ended by itself is started again.
const restartAfter = 200 * time.Millisecond

// await notes the end of a daemon. One that ended by itself breaks a promise and is started again.
func (n *node) await(cmd *exec.Cmd, ended chan<- struct{}) {
	err := cmd.Wait()
	n.mu.Lock()
	n.daemon = nil
	told := n.ending
	n.mu.Unlock()
	close(ended)
	if !told {
		n.backend.ledger.violation("EXIT: %s ended by itself: %v", n.name, err)
		time.Sleep(restartAfter)
		n.start()
	}
}

// signal sends a signal to the daemon, if it runs, and returns the channel that tells its end.
func (n *node) signal(sig syscall.Signal) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	n.ending = n.ending || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = n.daemon.Process.Signal(sig) // it may just have ended
	return n.ended
}

// stop ends the daemon as the platform does, and starts it again unless the soak is over.
func (n *node) stop() {
	ended := n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(killAfter):
		n.backend.ledger.violation("STOP: %s was still there %v after SIGTERM", n.name, killAfter)
		<-n.signal(syscall.SIGKILL)
	}
	n.start()
}

// kill ends the daemon at once and starts it again.
func (n *node) kill() {
	<-n.signal(syscall.SIGKILL)
	n.start()
}

// end ends the daemon for good.
func (n *node) end() {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	<-n.signal(syscall.SIGKILL)
}

// beats sends heartbeats until done is closed.
func (n *node) beats(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		n.backend.beat(client, n.announce)
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// isReady asks the readiness check.
func (n *node) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

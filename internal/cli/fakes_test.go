package cli

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/daemon"
	"guavapoint.example/guavapoint/internal/standin/kvstore"
	"guavapoint.example/guavapoint/internal/store"
	"guavapoint.example/guavapoint/platform"
)

// testPlatform is what one script talks to: the stand-in platform at $KV, and fake daemons.
type testPlatform struct {
	store  *kvstore.Store
	client *platform.Client // past the hooks
	saved  kvstore.Snapshot

	mu            sync.Mutex
	before, after func() // run once, around the next write
}

type testPlatformKey struct{}

// newTestPlatform starts the platform of a script and sets $KV.
func newTestPlatform(env *testscript.Env) error {
	p := &testPlatform{store: kvstore.New(time.Now, kvstore.Limits{})}
	direct, withHooks := httptest.NewServer(p.store), httptest.NewServer(p)
	env.Defer(direct.Close)
	env.Defer(withHooks.Close)
	var err error
	p.client, err = platform.NewClient([]string{direct.URL}, nil, 0)
	env.Setenv("KV", withHooks.URL)
	env.Setenv("GUAVAPOINT_OPERATOR", "alice")
	env.Values[testPlatformKey{}] = p
	return err
}

// ServeHTTP serves the platform with the hooks of the script.
func (p *testPlatform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.PathTxn {
		before, after := p.takeHooks()
		before()
		defer after() // also when the stand-in loses the response, which it does by a panic
	}
	p.store.ServeHTTP(rw, r)
}

func (p *testPlatform) setHooks(before, after func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.after = before, after
}

func (p *testPlatform) takeHooks() (before, after func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hooks := []func(){p.before, p.after}
	for i := range hooks {
		if hooks[i] == nil {
			hooks[i] = func() {}
		}
	}
	p.before, p.after = nil, nil
	return hooks[0], hooks[1]
}

// put writes a document as another operator does.
func (p *testPlatform) put(data []byte) error {
	kv, err := p.client.Get(context.Background(), control.ConfigKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = p.client.CompareAndSwap(context.Background(), control.ConfigKey, kv.Revision, data, 0)
	return err
}

// kv controls the platform: put FILE writes a document, race FILE does so just before the next write, lose N loses the
// responses of the next writes, lose-and-down loses the next response and starts an outage, down on|off, save and restore.
func kv(ts *testscript.TestScript, _ bool, args []string) {
	p := ts.Value(testPlatformKey{}).(*testPlatform)
	switch strings.Join(args[:1], "") {
	case "put":
		ts.Check(p.put([]byte(ts.ReadFile(args[1]))))
	case "race":
		data := []byte(ts.ReadFile(args[1]))
		p.setHooks(func() { _ = p.put(data) }, nil) // the script notices a write that failed
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		p.store.LoseResponses(n)
	case "lose-and-down":
		p.store.LoseResponses(1)
		p.setHooks(nil, func() { p.store.SetDown(true) })
	case "down":
		p.store.SetDown(args[1] == "on")
	case "save":
		p.saved = p.store.Snapshot()
	case "restore":
		p.store.Restore(p.saved)
	default:
		ts.Fatalf("unknown kv command %q", args)
	}
}

// fakeDaemon is an admin listener. Its configuration follows the platform and never reverts, unless it is frozen.
type fakeDaemon struct {
	platform *testPlatform
	holder   *config.Holder
	state    daemon.State
	frozen   bool
}

// fakedaemon VARIABLE [frozen] starts an admin listener with the content of state.json and sets VARIABLE to its address.
func fakedaemon(ts *testscript.TestScript, _ bool, args []string) {
	d := &fakeDaemon{platform: ts.Value(testPlatformKey{}).(*testPlatform), holder: config.NewHolder()}
	if data, err := os.ReadFile(ts.MkAbs("state.json")); err == nil {
		ts.Check(json.Unmarshal(data, &d.state))
	}
	d.syncConfig()
	d.frozen = len(args) > 1
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config", d.serveConfig)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, d.state) })
	mux.HandleFunc("POST /drain", d.serveDrain)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", d.serveLift)
	server := httptest.NewServer(mux)
	ts.Defer(server.Close)
	ts.Setenv(args[0], server.Listener.Addr().String())
}

func respond(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the program reports a response that breaks off
}

// syncConfig takes the platform's document.
func (d *fakeDaemon) syncConfig() {
	kv, err := d.platform.client.Get(context.Background(), control.ConfigKey)
	if err != nil || d.frozen {
		return
	}
	if doc, err := config.Parse(kv.Value); err == nil {
		_, _ = d.holder.Offer(config.Version{Epoch: doc.Epoch, Revision: uint64(kv.Revision)}, doc) // a lower version is ignored
	}
}

func (d *fakeDaemon) serveConfig(w http.ResponseWriter, _ *http.Request) {
	d.syncConfig()
	v, doc := d.holder.Current()
	respond(w, http.StatusOK, daemon.Config{Epoch: v.Epoch, Revision: v.Revision, Document: doc})
}

// serveDrain of a frozen daemon resets the connection instead of responding.
func (d *fakeDaemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	if d.frozen {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0) // without it, the connection is closed and not reset
			conn.Close()
		}
		return
	}
	respond(w, http.StatusAccepted, daemon.DrainAnswer{State: "leaving", InFlight: 2, Limit: "30s"})
}

func (d *fakeDaemon) serveLift(w http.ResponseWriter, r *http.Request) {
	for _, q := range d.state.Quarantine {
		if q.Fingerprint == r.PathValue("fingerprint") {
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	respond(w, http.StatusNotFound, map[string]string{"code": "unknown-fingerprint", "message": "no such fingerprint is quarantined"})
}

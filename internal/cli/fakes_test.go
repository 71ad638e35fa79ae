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

// testPlatform is the stand-in platform of one script, with hooks that run around a write. Its URL is in $KV.
type testPlatform struct {
	store  *kvstore.Store
	client *platform.Client // bypasses the hooks
	saved  kvstore.Snapshot // of the last kv save

	mu            sync.Mutex // guards the hooks
	before, after func()     // run once, before and after the next write; may be nil
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

// ServeHTTP passes the request to the platform and runs the hooks around a write.
func (p *testPlatform) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.PathTxn {
		before, after := p.takeHooks()
		before()
		defer after() // deferred, because the stand-in panics to lose a response
	}
	p.store.ServeHTTP(rw, r)
}

func (p *testPlatform) setHooks(before, after func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.after = before, after
}

// takeHooks returns the hooks and removes them, so that they run once. A hook that isn't set does nothing.
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

// put writes a document as another operator would, without running the hooks.
func (p *testPlatform) put(data []byte) error {
	kv, err := p.client.Get(context.Background(), control.ConfigKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = p.client.CompareAndSwap(context.Background(), control.ConfigKey, kv.Revision, data, 0)
	return err
}

// kv COMMAND controls the platform:
//   - put FILE writes a document.
//   - race FILE writes a document just before the next write.
//   - lose N drops the responses to the next N writes.
//   - lose-and-down drops the response to the next write and starts an outage.
//   - down on|off starts or ends an outage.
//   - save takes a snapshot of the content, and restore returns to it.
func kv(ts *testscript.TestScript, _ bool, args []string) {
	p := ts.Value(testPlatformKey{}).(*testPlatform)
	switch strings.Join(args[:1], "") {
	case "put":
		ts.Check(p.put([]byte(ts.ReadFile(args[1]))))
	case "race":
		data := []byte(ts.ReadFile(args[1]))
		p.setHooks(func() { _ = p.put(data) }, nil) // the script detects a failed write
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

// fakeDaemon serves the requests of an admin listener. It applies the platform's configuration if that has a higher
// version than its own. A frozen daemon keeps the configuration that it started with.
type fakeDaemon struct {
	platform *testPlatform
	holder   *config.Holder
	state    daemon.State
	frozen   bool
}

// fakedaemon VARIABLE [frozen] starts a fakeDaemon with the state in state.json, if that file exists, and sets VARIABLE
// to its address.
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
	_ = json.NewEncoder(w).Encode(v) // the program reports an incomplete response
}

// syncConfig applies the platform's document, unless the daemon is frozen or the document is missing or invalid.
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

// serveDrain reports a drain with two requests in flight. A frozen daemon resets the connection instead of responding.
func (d *fakeDaemon) serveDrain(w http.ResponseWriter, _ *http.Request) {
	if d.frozen {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0) // Close then resets the connection instead of shutting it down
			conn.Close()
		}
		return
	}
	respond(w, http.StatusAccepted, daemon.DrainResponse{State: "leaving", InFlight: 2, Limit: "30s"})
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

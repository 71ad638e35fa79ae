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

// world is what one script talks to: the stand-in platform at $KV, and fake daemons.
type world struct {
	store  *kvstore.Store
	client *platform.Client // past the hooks
	saved  kvstore.Snapshot

	mu            sync.Mutex
	before, after func() // run once, around the next write
}

type worldKey struct{}

// newWorld starts the platform of a script and sets $KV.
func newWorld(env *testscript.Env) error {
	w := &world{store: kvstore.New(time.Now, kvstore.Limits{})}
	direct, hooked := httptest.NewServer(w.store), httptest.NewServer(w)
	env.Defer(direct.Close)
	env.Defer(hooked.Close)
	var err error
	w.client, err = platform.NewClient([]string{direct.URL}, nil, 0)
	env.Setenv("KV", hooked.URL)
	env.Setenv("GUAVAPOINT_OPERATOR", "alice")
	env.Values[worldKey{}] = w
	return err
}

// ServeHTTP serves the platform with the hooks of the script.
func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.PathTxn {
		before, after := w.takeHooks()
		before()
		defer after() // also when the stand-in loses the response, which it does by a panic
	}
	w.store.ServeHTTP(rw, r)
}

func (w *world) setHooks(before, after func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before, w.after = before, after
}

func (w *world) takeHooks() (before, after func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	hooks := []func(){w.before, w.after}
	for i := range hooks {
		if hooks[i] == nil {
			hooks[i] = func() {}
		}
	}
	w.before, w.after = nil, nil
	return hooks[0], hooks[1]
}

// put writes a document as another operator does.
func (w *world) put(data []byte) error {
	kv, err := w.client.Get(context.Background(), control.ConfigKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = w.client.CompareAndSwap(context.Background(), control.ConfigKey, kv.Revision, data, 0)
	return err
}

// kv controls the platform: put FILE writes a document, race FILE does so just before the next write, lose N loses the
// responses of the next writes, vanish loses the next response and starts an outage, down on|off, save and restore.
func kv(ts *testscript.TestScript, _ bool, args []string) {
	w := ts.Value(worldKey{}).(*world)
	switch strings.Join(args[:1], "") {
	case "put":
		ts.Check(w.put([]byte(ts.ReadFile(args[1]))))
	case "race":
		data := []byte(ts.ReadFile(args[1]))
		w.setHooks(func() { _ = w.put(data) }, nil) // the script notices a write that failed
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		w.store.LoseResponses(n)
	case "vanish":
		w.store.LoseResponses(1)
		w.setHooks(nil, func() { w.store.SetDown(true) })
	case "down":
		w.store.SetDown(args[1] == "on")
	case "save":
		w.saved = w.store.Snapshot()
	case "restore":
		w.store.Restore(w.saved)
	default:
		ts.Fatalf("unknown kv command %q", args)
	}
}

// fakeDaemon is an admin listener. Its configuration follows the platform and never reverts, unless it is frozen.
type fakeDaemon struct {
	world  *world
	holder *config.Holder
	state  daemon.State
	frozen bool
}

// fakedaemon VARIABLE [frozen] starts an admin listener with the content of state.json and sets VARIABLE to its address.
func fakedaemon(ts *testscript.TestScript, _ bool, args []string) {
	d := &fakeDaemon{world: ts.Value(worldKey{}).(*world), holder: config.NewHolder()}
	if data, err := os.ReadFile(ts.MkAbs("state.json")); err == nil {
		ts.Check(json.Unmarshal(data, &d.state))
	}
	d.follow()
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

// follow takes the platform's document.
func (d *fakeDaemon) follow() {
	kv, err := d.world.client.Get(context.Background(), control.ConfigKey)
	if err != nil || d.frozen {
		return
	}
	if doc, err := config.Parse(kv.Value); err == nil {
		_, _ = d.holder.Offer(config.Version{Epoch: doc.Epoch, Revision: uint64(kv.Revision)}, doc) // a lower version is ignored
	}
}

func (d *fakeDaemon) serveConfig(w http.ResponseWriter, _ *http.Request) {
	d.follow()
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

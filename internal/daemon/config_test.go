package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"guavapoint.example/guavapoint/internal/control"
	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/standin/kvstore"
	"guavapoint.example/guavapoint/platform"
)

// withPlatform starts a stand-in key-value service for the cluster and publishes the cluster's document in it.
func (s *testCluster) withPlatform() (*kvstore.Store, *control.Publisher) {
	s.t.Helper()
	store := kvstore.New(time.Now, kvstore.Limits{})
	server := httptest.NewServer(store)
	s.t.Cleanup(server.Close)
	s.t.Cleanup(server.CloseClientConnections)
	s.platform = server.URL
	client, err := platform.NewClient([]string{server.URL}, nil, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	p := &control.Publisher{Store: client, NewID: randomID}
	s.publish(p, s.document)
	return store, p
}

// publish writes a document and returns its version.
func (s *testCluster) publish(p *control.Publisher, doc *config.Document) config.Version {
	s.t.Helper()
	base, err := p.Current(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	result, err := p.Publish(s.t.Context(), base, doc)
	if err != nil || result.Kind != control.Accepted {
		s.t.Fatalf("publish: %+v, %v", result, err)
	}
	return result.Version
}

// documentWithPreset returns a copy of the document with another active preset.
func (s *testCluster) documentWithPreset(name string) *config.Document {
	doc := s.document.Clone()
	doc.ActivePresetName = name
	return doc
}

// inEffect reports whether the version is in effect on all daemons.
func (s *testCluster) inEffect(v config.Version) bool {
	for _, n := range s.nodes {
		if current, _ := n.config.Current(); current != v {
			return false
		}
	}
	return true
}

// Guards against a configuration that doesn't reach all daemons, that reverts after the platform was restored from an
// older copy, or that a daemon doesn't get if it restarts during an outage of the platform.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	s := newTestCluster(t)
	store, publisher := s.withPlatform()
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for range 5 { // more daemons than relays
		s.add("lookup", ok)
	}
	s.ready()
	older := store.Snapshot()
	v := s.publish(publisher, s.documentWithPreset(config.PresetPeak))
	waitUntil(t, "the change is in effect everywhere", func() bool { return s.inEffect(v) })

	store.Restore(older)
	store.SetDown(true)
	last := s.nodes[len(s.nodes)-1]
	s.restart(last)
	waitUntil(t, "the restarted daemon has the configuration of its peers", func() bool {
		current, _ := last.config.Current()
		return current == v
	})
	store.SetDown(false)
	time.Sleep(time.Second) // the relays read the older copy in this time
	if !s.inEffect(v) {
		t.Error("a daemon reverted to the older copy")
	}
	if got := last.send(t, "GET", "lookup/x", ""); got.outcome() != "answered" {
		t.Errorf("call after the outage: %+v", got)
	}
}

// Guards against a zone that stops serving, or that a new daemon can't join, while the platform is down.
func TestPlatformOutageDoesNotStopTheZone(t *testing.T) {
	s := newTestCluster(t)
	store, _ := s.withPlatform()
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	s.add("lookup", ok)
	s.add("transfer", ok)
	s.ready()
	waitUntil(t, "both daemons have the configuration", func() bool {
		a, _ := s.nodes[0].config.Current()
		b, _ := s.nodes[1].config.Current()
		return !a.IsZero() && a == b
	})
	store.SetDown(true)
	joined := s.add("lookup", ok)
	s.ready()
	waitUntil(t, "the new daemon has a configuration", func() bool {
		v, _ := joined.config.Current()
		return !v.IsZero()
	})
	first := joined.send(t, "POST", "transfer/x", "x")
	if got := joined.send(t, "POST", "transfer/x", "x", headerToken,
		first.header.Get(headerToken)); got.outcome() != "answered" {
		t.Errorf("transfer through the new daemon: %+v", got)
	}
}

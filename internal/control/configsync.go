package control

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"guavapoint.example/guavapoint/internal/core/config"
	"guavapoint.example/guavapoint/internal/store"
	"guavapoint.example/guavapoint/internal/wire"
)

const (
	// maxNewerPeers bounds the peers remembered for a pull; one answer is enough.
	maxNewerPeers = 8
	// pullInterval spaces pulls, of which each may carry 1 MB.
	pullInterval = 250 * time.Millisecond
	// rejectedTTL is how long a document that failed validation isn't pulled again. Every heartbeat names its
	// version, and after an upgrade of the daemon it may be valid.
	rejectedTTL = time.Minute
)

// Errors of ConfigSync.
var (
	// ErrBadDocument reports a document that doesn't decompress or validate. The one in effect is kept.
	ErrBadDocument = errors.New("configuration document rejected")
	// ErrStoreBehind reports that the platform's configuration is below the one in effect, as after a restore from
	// an older copy. The one in effect is kept until an operator publishes again.
	ErrStoreBehind = errors.New("the platform's configuration is older than the one in effect")
)

// Puller asks a peer for its configuration document.
type Puller interface {
	PullConfig(ctx context.Context, address string) (*wire.ConfigDocument, error)
}

// ConfigSync feeds a Holder from the store (on relays), from versions heard in messages, and from pulls. It is safe for
// concurrent use.
type ConfigSync struct {
	holder   *config.Holder
	puller   Puller
	now      func() time.Time
	onChange func(config.Version, *config.Document)
	source   Source

	mu         sync.Mutex
	newerPeers map[string]config.Version // peers that named a version above the one in effect
	rejected   map[config.Version]time.Time
	nextPull   time.Time
	cached     *wire.ConfigDocument
}

// Source is where the configuration lies in the store.
type Source struct {
	Key string
	// Decode reads a document and its version. A zero revision stands for that of the key.
	Decode func(data []byte) (config.Version, *config.Document, error)
}

// DefaultSource is the project's own document, which the operator's commands write.
func DefaultSource() Source {
	return Source{Key: ConfigKey, Decode: func(data []byte) (config.Version, *config.Document, error) {
		doc, err := config.Parse(data)
		if err != nil {
			return config.Version{}, nil, err
		}
		return config.Version{Epoch: doc.Epoch}, doc, nil
	}}
}

// NewConfigSync returns a ConfigSync. onChange, which may be nil, is called after each change, by which the daemon
// tells its acquaintances; it must not call ConfigSync.
func NewConfigSync(holder *config.Holder, puller Puller, now func() time.Time,
	onChange func(config.Version, *config.Document)) *ConfigSync {
	return &ConfigSync{
		holder: holder, puller: puller, now: now, onChange: onChange, source: DefaultSource(),
		newerPeers: make(map[string]config.Version), rejected: make(map[config.Version]time.Time),
	}
}

// SetSource replaces the place in the store. It must be called before the first use.
func (s *ConfigSync) SetSource(source Source) {
	s.source = source
}

// Key returns the key of the configuration in the store.
func (s *ConfigSync) Key() string {
	return s.source.Key
}

// HasConfig reports whether a configuration is in effect.
func (s *ConfigSync) HasConfig() bool {
	_, doc := s.holder.Current()
	return doc != nil
}

// Version returns the version in effect for the messages that the daemon sends.
func (s *ConfigSync) Version() wire.ConfigVersion {
	v, _ := s.holder.Current()
	return wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
}

// RecordPeerVersion notes the version that a message from a peer carried.
func (s *ConfigSync) RecordPeerVersion(from string, wv wire.ConfigVersion) {
	v := config.Version{Epoch: wv.Epoch, Revision: wv.Revision}
	current, _ := s.holder.Current()
	if !current.Less(v) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.newerPeers) < maxNewerPeers || !s.newerPeers[from].IsZero() {
		s.newerPeers[from] = v
		return
	}
	for address, known := range s.newerPeers {
		if known.Less(v) {
			delete(s.newerPeers, address)
			s.newerPeers[from] = v
			return
		}
	}
}

// PullNewer pulls once if a peer has a higher version. It returns the error of the pull; another peer is asked next time.
func (s *ConfigSync) PullNewer(ctx context.Context) error {
	from, ok := s.takeNewestPeer()
	if !ok {
		return nil
	}
	doc, err := s.puller.PullConfig(ctx, from)
	if err != nil {
		return fmt.Errorf("pull configuration from %s: %w", from, err)
	}
	if err := s.ApplyFromPeer(doc); err != nil && !errors.Is(err, config.ErrStale) {
		return fmt.Errorf("configuration from %s: %w", from, err)
	}
	return nil
}

// takeNewestPeer takes the peer with the highest version off the list, so that a failing peer isn't asked until it names its
// version again.
func (s *ConfigSync) takeNewestPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Before(s.nextPull) {
		return "", false
	}
	current, _ := s.holder.Current()
	best := ""
	for address, v := range s.newerPeers {
		if !current.Less(v) || s.isRejected(now, v) {
			delete(s.newerPeers, address)
			continue
		}
		if best == "" || s.newerPeers[best].Less(v) || (s.newerPeers[best] == v && address < best) {
			best = address
		}
	}
	if best == "" {
		return "", false
	}
	delete(s.newerPeers, best)
	s.nextPull = now.Add(pullInterval)
	return best, true
}

func (s *ConfigSync) isRejected(now time.Time, v config.Version) bool {
	until, ok := s.rejected[v]
	if ok && !now.Before(until) {
		delete(s.rejected, v)
		return false
	}
	return ok
}

// ApplyFromPeer offers a document from a peer after decompressing and validating it. Errors are ErrBadDocument and those of
// config.Holder.
func (s *ConfigSync) ApplyFromPeer(wd *wire.ConfigDocument) error {
	v := config.Version{Epoch: wd.Version.Epoch, Revision: wd.Version.Revision}
	if current, _ := s.holder.Current(); v.Less(current) {
		return config.ErrStale
	}
	data, err := Decompress(wd.Compressed)
	if err != nil {
		return s.reject(v, err)
	}
	return s.parseAndOffer(v, data)
}

// ApplyFromStore offers the document that a relay read from the store. Errors are ErrStoreBehind, ErrBadDocument and those
// of config.Holder.
func (s *ConfigSync) ApplyFromStore(kv store.KV) error {
	if kv.Deleted {
		return nil
	}
	v, doc, err := s.source.Decode(kv.Value)
	if err != nil {
		return s.reject(config.Version{Revision: uint64(kv.Revision)}, err)
	}
	if v.Revision == 0 {
		v.Revision = uint64(kv.Revision)
	}
	if err := s.offerDocument(v, doc); errors.Is(err, config.ErrStale) {
		current, _ := s.holder.Current()
		return fmt.Errorf("%w: %v, in effect is %v", ErrStoreBehind, v, current)
	} else if err != nil {
		return err
	}
	return nil
}

func (s *ConfigSync) parseAndOffer(v config.Version, data []byte) error {
	doc, err := config.Parse(data)
	if err != nil {
		return s.reject(v, err)
	}
	if doc.Epoch != v.Epoch {
		return s.reject(v, config.ErrEpochMismatch)
	}
	return s.offerDocument(v, doc)
}

func (s *ConfigSync) offerDocument(v config.Version, doc *config.Document) error {
	changed, err := s.holder.Offer(v, doc)
	if changed && s.onChange != nil {
		s.onChange(v, doc)
	}
	return err
}

func (s *ConfigSync) reject(v config.Version, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[v] = s.now().Add(rejectedTTL)
	return fmt.Errorf("%w: version %v: %v", ErrBadDocument, v, cause)
}

// Document returns the document in effect for a peer's pull, compressed, or nil before the first.
func (s *ConfigSync) Document() (*wire.ConfigDocument, error) {
	v, doc := s.holder.Current()
	if doc == nil {
		return nil, nil
	}
	wv := wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached != nil && s.cached.Version == wv {
		return s.cached, nil
	}
	data, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	compressed, err := Compress(data)
	if err != nil {
		return nil, err
	}
	s.cached = &wire.ConfigDocument{Version: wv, Compressed: compressed}
	return s.cached, nil
}

// Compress returns data compressed with DEFLATE at the best ratio: it is done once for each version and daemon, while
// the result is sent several times over links that are billed by volume.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decompress reverses Compress. It returns config.ErrTooLarge if the result exceeds config.MaxSize.
func Decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), config.MaxSize+1))
	if err != nil {
		return nil, err
	}
	if len(out) > config.MaxSize {
		return nil, config.ErrTooLarge
	}
	return out, nil
}

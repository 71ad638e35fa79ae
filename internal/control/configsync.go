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
	// maxNewerPeers bounds the peers that are kept as candidates for a pull; one reply is enough.
	maxNewerPeers = 8
	// pullInterval is the minimum interval between pulls, each of which may transfer 1 MB.
	pullInterval = 250 * time.Millisecond
	// rejectedTTL is the time for which a version whose document failed validation isn't pulled again. Every heartbeat
	// carries the version, so without this limit each would cause a pull. The rejection expires because the document may
	// be valid after an upgrade of the daemon.
	rejectedTTL = time.Minute
)

// Errors of ConfigSync.
var (
	// ErrBadDocument reports a document that can't be decompressed or is invalid. The configuration in effect is kept.
	ErrBadDocument = errors.New("configuration document rejected")
	// ErrStoreBehind reports that the version in the store is below the version in effect, as after a restore of the
	// platform from an older copy. The configuration in effect is kept until an operator publishes again.
	ErrStoreBehind = errors.New("the platform's configuration is older than the one in effect")
)

// Puller requests configuration documents from peers.
type Puller interface {
	// PullConfig returns the document that the peer at an address has in effect.
	PullConfig(ctx context.Context, address string) (*wire.ConfigDocument, error)
}

// ConfigSync keeps the configuration in a Holder up to date. Documents come from the store, where this daemon reads it,
// and from pulls from peers whose messages carry a higher version. It is safe for concurrent use.
type ConfigSync struct {
	holder   *config.Holder
	puller   Puller
	now      func() time.Time
	onChange func(config.Version, *config.Document)
	source   Source

	mu         sync.Mutex
	newerPeers map[string]config.Version    // by address, of peers that sent a version above the one in effect
	rejected   map[config.Version]time.Time // end of the rejection, by version
	nextPull   time.Time
	cached     map[bool]*wire.ConfigDocument // results of Document for the version in effect, by its argument
	// sourceData is the document of sourceVersion as it was read from the store or pulled from a peer.
	sourceData    []byte
	sourceVersion config.Version
}

// Source is the location and the encoding of the configuration in the store.
type Source struct {
	// Key is the key under which the store holds the configuration.
	Key string
	// Decode decodes a value of the key. If the returned version has revision 0, the revision of the key is used.
	Decode func(data []byte) (config.Version, *config.Document, error)
}

// DefaultSource returns the source for the document under ConfigKey, which the operator's commands write.
func DefaultSource() Source {
	return Source{Key: ConfigKey, Decode: func(data []byte) (config.Version, *config.Document, error) {
		doc, err := config.Parse(data)
		if err != nil {
			return config.Version{}, nil, err
		}
		return config.Version{Epoch: doc.Epoch}, doc, nil
	}}
}

// NewConfigSync returns a ConfigSync that reads DefaultSource. onChange, which may be nil, is called after each change
// of the configuration in effect, so that the daemon can notify its gossip targets. It must not call the ConfigSync.
func NewConfigSync(holder *config.Holder, puller Puller, now func() time.Time,
	onChange func(config.Version, *config.Document)) *ConfigSync {
	return &ConfigSync{
		holder: holder, puller: puller, now: now, onChange: onChange, source: DefaultSource(),
		newerPeers: make(map[string]config.Version), rejected: make(map[config.Version]time.Time),
		cached: make(map[bool]*wire.ConfigDocument),
	}
}

// SetSource replaces the source. It must be called before any other method.
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

// Version returns the version in effect in its wire form, for the messages that the daemon sends.
func (s *ConfigSync) Version() wire.ConfigVersion {
	v, _ := s.holder.Current()
	return wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
}

// RecordPeerVersion records the version that a message from the peer at an address carried. Versions that aren't above
// the one in effect are ignored. If maxNewerPeers peers are recorded, the peer replaces one with a lower version.
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

// PullNewer pulls the configuration from one peer that has a higher version, if there is one and pullInterval has
// passed. It returns the error of the pull or of the document; the next call then asks another peer. A document that
// has become stale in the meantime is no error.
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
		return fmt.Errorf("apply configuration from %s: %w", from, err)
	}
	return nil
}

// takeNewestPeer returns the peer with the highest version, the lowest address among equals. It removes the peer from
// newerPeers, so that a failing peer isn't asked again until another of its messages carries the version.
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

// isRejected reports whether a version was rejected within the last rejectedTTL. The caller holds s.mu.
func (s *ConfigSync) isRejected(now time.Time, v config.Version) bool {
	until, ok := s.rejected[v]
	if ok && !now.Before(until) {
		delete(s.rejected, v)
		return false
	}
	return ok
}

// ApplyFromPeer decompresses and validates a document from a peer and offers it to the Holder. Errors are
// ErrBadDocument and those of config.Holder.
func (s *ConfigSync) ApplyFromPeer(wd *wire.ConfigDocument) error {
	v := config.Version{Epoch: wd.Version.Epoch, Revision: wd.Version.Revision}
	if current, _ := s.holder.Current(); v.Less(current) {
		return config.ErrStale
	}
	data, err := Decompress(wd.Compressed)
	if err != nil {
		return s.reject(v, fmt.Errorf("decompress: %w", err))
	}
	if wd.Source {
		return s.decodeAndOffer(v, data)
	}
	return s.parseAndOffer(v, data)
}

// decodeAndOffer decodes a store's value that a peer has passed on. The version in it, if any, must be the one that it was
// sent under.
func (s *ConfigSync) decodeAndOffer(v config.Version, data []byte) error {
	decoded, doc, err := s.source.Decode(data)
	if err != nil {
		return s.reject(v, err)
	}
	if decoded.Revision == 0 {
		decoded.Revision = v.Revision
	}
	if decoded != v {
		return s.reject(v, config.ErrEpochMismatch)
	}
	return s.offerSource(v, doc, data)
}

// offerSource is offerDocument for a document of which the store's value is known.
func (s *ConfigSync) offerSource(v config.Version, doc *config.Document, data []byte) error {
	s.mu.Lock()
	if s.sourceVersion.Less(v) {
		s.sourceVersion, s.sourceData = v, data
	}
	s.mu.Unlock()
	return s.offerDocument(v, doc)
}

// ApplyFromStore decodes a document that this daemon read from the store and offers it to the Holder. A deleted key is
// ignored. Errors are ErrStoreBehind, ErrBadDocument and those of config.Holder.
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
	if err := s.offerSource(v, doc, kv.Value); errors.Is(err, config.ErrStale) {
		current, _ := s.holder.Current()
		return fmt.Errorf("%w: version %v is in the store, version %v is in effect", ErrStoreBehind, v, current)
	} else if err != nil {
		return err
	}
	return nil
}

// parseAndOffer parses a document from a peer, whose epoch must be that of the version it was sent under.
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

// offerDocument offers a valid document to the Holder and calls onChange if it is now in effect.
func (s *ConfigSync) offerDocument(v config.Version, doc *config.Document) error {
	changed, err := s.holder.Offer(v, doc)
	if changed && s.onChange != nil {
		s.onChange(v, doc)
	}
	return err
}

// reject excludes a version from pulls for rejectedTTL and returns an ErrBadDocument with the cause.
func (s *ConfigSync) reject(v config.Version, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[v] = s.now().Add(rejectedTTL)
	return fmt.Errorf("%w: version %v: %v", ErrBadDocument, v, cause)
}

// Document returns the document in effect, compressed, as the reply to a peer's pull. If the peer accepts the store's value,
// that is passed on as it is: the project's own encoding of it may be larger than a document may be. It returns nil if no
// configuration is in effect yet.
func (s *ConfigSync) Document(acceptsSource bool) (*wire.ConfigDocument, error) {
	v, doc := s.holder.Current()
	if doc == nil {
		return nil, nil
	}
	wv := wire.ConfigVersion{Epoch: v.Epoch, Revision: v.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	source := acceptsSource && s.sourceVersion == v
	if cached := s.cached[source]; cached != nil && cached.Version == wv {
		return cached, nil
	}
	data := s.sourceData
	if !source {
		var err error
		if data, err = doc.Encode(); err != nil {
			return nil, fmt.Errorf("encode configuration version %v: %w", v, err)
		}
	}
	compressed, err := Compress(data)
	if err != nil {
		return nil, fmt.Errorf("compress configuration version %v: %w", v, err)
	}
	s.cached[source] = &wire.ConfigDocument{Version: wv, Compressed: compressed, Source: source}
	return s.cached[source], nil
}

// Compress compresses data with DEFLATE at the best ratio. A daemon compresses each version once and sends the result
// several times, over links that are billed by volume.
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

// Decompress reverses Compress. It returns config.ErrTooLarge if the result exceeds config.MaxSize bytes, or the error
// of the decoder.
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

package kvstore

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"guavapoint.example/guavapoint/platform"
)

const (
	// maxValue is the service's limit for a value in bytes.
	maxValue = 1 << 20
	// pageItems is the most items of one page.
	pageItems = 500
	// minTTL and maxTTL are the limits of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxWait is the longest wait of a watch.
	maxWait = 30 * time.Second
	// maxEntries bounds the entries of one transaction.
	maxEntries = 32
	// expiryPoll is how often a pending watch looks for leases that expired while no call came.
	expiryPoll = 50 * time.Millisecond
)

// failure is an answer without success. A failed transaction also has the items as they are.
type failure struct {
	status  int
	message string
	items   []platform.Item
}

var (
	errUnavailable = &failure{status: http.StatusServiceUnavailable, message: "unavailable, nothing was done"}
	errRate        = &failure{status: http.StatusTooManyRequests, message: "too many calls"}
	errMissing     = &failure{status: http.StatusNotFound, message: "no such key or lease"}
	errRequest     = &failure{status: http.StatusBadRequest, message: "invalid request"}
	errPath        = &failure{status: http.StatusNotFound, message: "unknown path"}
	errCompacted   = &failure{status: http.StatusGone, message: "history is no longer kept"}
)

// route names a call without the parts of its path that vary, as Calls counts it.
func route(path string) string {
	for _, prefix := range []string{platform.PathLeaseKeepAlive, platform.PathLeaseEnd} {
		if strings.HasPrefix(path, prefix) {
			return prefix
		}
	}
	return path
}

// isWrite tells which rate a call counts for. A lease renewal counts as a read.
func isWrite(route string) bool {
	return route == platform.PathTxn || route == platform.PathLease || route == platform.PathLeaseEnd
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http notices that the caller has left only after the body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*maxValue))
	if err != nil {
		respond(w, nil, errRequest)
		return
	}
	if !s.wait(r) {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == platform.PathWatch {
		s.watch(w, r)
		return
	}
	answer, fail, lost := s.process(r, body)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	respond(w, answer, fail)
}

// wait applies the injected delay; it returns false if the caller gave up.
func (s *Store) wait(r *http.Request) bool {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

func respond(w http.ResponseWriter, answer any, fail *failure) {
	w.Header().Set("Content-Type", "application/json")
	if fail != nil {
		w.WriteHeader(fail.status)
		answer = map[string]any{"error": fail.message, "items": fail.items}
	}
	_ = json.NewEncoder(w).Encode(answer) // the caller is gone if this fails
}

// process runs one call and reports whether its response is to be lost.
func (s *Store) process(r *http.Request, body []byte) (answer any, fail *failure, lost bool) {
	name := route(r.URL.Path)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fail := s.begin(name); fail != nil {
		return nil, fail, false
	}
	answer, fail = s.dispatch(r.Method+" "+name, r.URL, json.NewDecoder(bytes.NewReader(body)))
	changes := name != platform.PathKey && name != platform.PathRange
	if changes && fail == nil && s.lose > 0 {
		s.lose--
		return nil, nil, true
	}
	return answer, fail, false
}

// begin counts a call and refuses it in an outage or above the rates. The caller holds the mutex.
func (s *Store) begin(name string) *failure {
	s.calls[name]++
	if s.down {
		return errUnavailable
	}
	if !s.admit(isWrite(name)) {
		return errRate
	}
	s.expire()
	return nil
}

func (s *Store) dispatch(call string, target *url.URL, body *json.Decoder) (any, *failure) {
	query := target.Query()
	switch call {
	case "GET " + platform.PathKey:
		return s.key(query.Get("key"))
	case "GET " + platform.PathRange:
		return s.page(query.Get("pathPrefix"), query.Get("after")), nil
	case "POST " + platform.PathTxn:
		var txn platform.Txn
		if body.Decode(&txn) != nil {
			return nil, errRequest
		}
		return s.txn(txn)
	case "POST " + platform.PathLease:
		var l platform.Lease
		if body.Decode(&l) != nil {
			return nil, errRequest
		}
		return s.grant(time.Duration(l.TTL))
	case "POST " + platform.PathLeaseKeepAlive:
		return s.keepAlive(strings.TrimPrefix(target.Path, platform.PathLeaseKeepAlive))
	case "DELETE " + platform.PathLeaseEnd:
		return s.endLease(strings.TrimPrefix(target.Path, platform.PathLeaseEnd))
	default:
		return nil, errPath
	}
}

func encode(key string, it item) platform.Item {
	return platform.Item{Key: key, Value: it.value, Created: it.created, Revision: it.modified, Lease: it.lease}
}

func (s *Store) key(key string) (any, *failure) {
	it, ok := s.state.items[key]
	if !ok {
		return nil, errMissing
	}
	return platform.KeyResponse{Item: encode(key, it), StoreRevision: s.state.revision}, nil
}

func (s *Store) page(prefix, after string) platform.RangeResponse {
	answer := platform.RangeResponse{Items: []platform.Item{}, StoreRevision: s.state.revision}
	for _, k := range s.withPrefix(prefix) {
		if k <= after {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, encode(k, s.state.items[k]))
	}
	return answer
}

// txn applies a transaction if all its expectations hold and its leases exist.
func (s *Store) txn(t platform.Txn) (any, *failure) {
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxEntries {
		return nil, errRequest
	}
	if fail := s.check(t.Expected); fail != nil {
		return nil, fail
	}
	for _, w := range t.Writes {
		if len(w.Value) > maxValue {
			return nil, errRequest
		}
		if _, ok := s.state.leases[w.Lease]; w.Lease != 0 && !ok {
			return nil, errMissing
		}
	}
	s.state.revision++
	for _, w := range t.Writes {
		s.put(w.Key, w.Value, w.Lease)
	}
	s.remove(t.Remove)
	return platform.TxnResponse{Revision: s.state.revision}, nil
}

// check compares the revisions of keys and returns the items as they are if one differs.
func (s *Store) check(expected []platform.Precondition) *failure {
	ok := true
	items := []platform.Item{}
	for _, e := range expected {
		it, exists := s.state.items[e.Key]
		ok = ok && it.modified == e.Revision
		if exists {
			items = append(items, encode(e.Key, it))
		}
	}
	if ok {
		return nil
	}
	return &failure{status: http.StatusPreconditionFailed, message: "a key has another revision", items: items}
}

func (s *Store) grant(ttl time.Duration) (any, *failure) {
	if ttl < minTTL || ttl > maxTTL {
		return nil, errRequest
	}
	s.nextID++
	s.state.leases[s.nextID] = lease{ttl: ttl, expiry: s.now().Add(ttl)}
	return platform.Lease{ID: s.nextID, TTL: platform.Duration(ttl)}, nil
}

func (s *Store) keepAlive(text string) (any, *failure) {
	id, l, ok := s.lease(text)
	if !ok {
		return nil, errMissing
	}
	l.expiry = s.now().Add(l.ttl)
	s.state.leases[id] = l
	return platform.Lease{TTL: platform.Duration(l.ttl)}, nil
}

func (s *Store) endLease(text string) (any, *failure) {
	id, l, ok := s.lease(text)
	if !ok {
		return nil, errMissing
	}
	l.expiry = s.now()
	s.state.leases[id] = l
	s.expire()
	return struct{}{}, nil
}

func (s *Store) lease(text string) (int64, lease, bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, lease{}, false
	}
	l, ok := s.state.leases[id]
	return id, l, ok
}

// watch answers as soon as there are changes after a revision, or when the wait is over. An outage or a restore cuts it.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > maxWait.Milliseconds() {
		respond(w, nil, errRequest)
		return
	}
	s.mu.Lock()
	fail := s.begin(platform.PathWatch)
	if fail == nil && after < s.state.compacted {
		fail = errCompacted
	}
	epoch, revision := s.epoch, s.state.revision
	s.mu.Unlock()
	if after > revision {
		panic(http.ErrAbortHandler) // the watch comes from before a restore and is cut
	}
	if fail != nil {
		respond(w, nil, fail)
		return
	}
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		answer, changed := s.changesAfter(after, query.Get("pathPrefix"))
		if len(answer.Events) > 0 {
			respond(w, answer, nil)
			return
		}
		select {
		case <-changed:
		case <-time.After(expiryPoll):
		case <-timeout.C:
			respond(w, answer, nil)
			return
		case <-epoch:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the history of a prefix after a revision, and a channel that is closed with the next change.
func (s *Store) changesAfter(after int64, prefix string) (platform.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	answer := platform.WatchResponse{Events: []platform.Item{}, StoreRevision: max(after, s.state.revision)}
	for _, c := range s.state.history {
		if c.item.modified <= after || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		e := encode(c.key, c.item)
		e.Deleted = c.deleted
		answer.Events = append(answer.Events, e)
	}
	return answer, s.changed
}

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
	// maxValueSize is the service's limit for a value in bytes.
	maxValueSize = 1 << 20
	// maxPageItems is the most items of one page.
	maxPageItems = 500
	// minTTL and maxTTL are the limits of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxWait is the longest wait of a watch.
	maxWait = 30 * time.Second
	// maxTxnEntries bounds the entries of one transaction.
	maxTxnEntries = 32
	// expiryPoll is how often a pending watch looks for leases that expired while no call came.
	expiryPoll = 50 * time.Millisecond
)

// errorResponse is an answer without success. A failed transaction also has the items as they are.
type errorResponse struct {
	status  int
	message string
	items   []platform.Item
}

var (
	errUnavailable    = &errorResponse{status: http.StatusServiceUnavailable, message: "unavailable, nothing was done"}
	errRateLimited    = &errorResponse{status: http.StatusTooManyRequests, message: "too many calls"}
	errNotFound       = &errorResponse{status: http.StatusNotFound, message: "no such key or lease"}
	errInvalidRequest = &errorResponse{status: http.StatusBadRequest, message: "invalid request"}
	errUnknownPath    = &errorResponse{status: http.StatusNotFound, message: "unknown path"}
	errCompacted      = &errorResponse{status: http.StatusGone, message: "history is no longer kept"}
)

// endpoint names a call without the parts of its path that vary, as Calls counts it.
func endpoint(path string) string {
	for _, prefix := range []string{platform.PathLeaseKeepAlive, platform.PathLeaseEnd} {
		if strings.HasPrefix(path, prefix) {
			return prefix
		}
	}
	return path
}

// isWrite tells which rate a call counts for. A lease renewal counts as a read.
func isWrite(endpoint string) bool {
	return endpoint == platform.PathTxn || endpoint == platform.PathLease || endpoint == platform.PathLeaseEnd
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http notices that the caller has left only after the body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*maxValueSize))
	if err != nil {
		respond(w, nil, errInvalidRequest)
		return
	}
	if !s.waitDelay(r) {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == platform.PathWatch {
		s.serveWatch(w, r)
		return
	}
	resp, errResp, loseResponse := s.handleCall(r, body)
	if loseResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	respond(w, resp, errResp)
}

// waitDelay applies the injected delay; it returns false if the caller gave up.
func (s *Store) waitDelay(r *http.Request) bool {
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

func respond(w http.ResponseWriter, resp any, errResp *errorResponse) {
	w.Header().Set("Content-Type", "application/json")
	if errResp != nil {
		w.WriteHeader(errResp.status)
		resp = map[string]any{"error": errResp.message, "items": errResp.items}
	}
	_ = json.NewEncoder(w).Encode(resp) // the caller is gone if this fails
}

// handleCall runs one call and reports whether its response is to be lost.
func (s *Store) handleCall(r *http.Request, body []byte) (resp any, errResp *errorResponse, loseResponse bool) {
	name := endpoint(r.URL.Path)
	s.mu.Lock()
	defer s.mu.Unlock()
	if errResp := s.admitCall(name); errResp != nil {
		return nil, errResp, false
	}
	resp, errResp = s.dispatch(r.Method+" "+name, r.URL, json.NewDecoder(bytes.NewReader(body)))
	changes := name != platform.PathKey && name != platform.PathRange
	if changes && errResp == nil && s.responsesToLose > 0 {
		s.responsesToLose--
		return nil, nil, true
	}
	return resp, errResp, false
}

// admitCall counts a call and refuses it in an outage or above the rates. The caller holds the mutex.
func (s *Store) admitCall(name string) *errorResponse {
	s.calls[name]++
	if s.down {
		return errUnavailable
	}
	if !s.withinRateLimit(isWrite(name)) {
		return errRateLimited
	}
	s.expireLeases()
	return nil
}

func (s *Store) dispatch(call string, target *url.URL, body *json.Decoder) (any, *errorResponse) {
	query := target.Query()
	switch call {
	case "GET " + platform.PathKey:
		return s.getKey(query.Get("key"))
	case "GET " + platform.PathRange:
		return s.listPage(query.Get("pathPrefix"), query.Get("after")), nil
	case "POST " + platform.PathTxn:
		var txn platform.Txn
		if body.Decode(&txn) != nil {
			return nil, errInvalidRequest
		}
		return s.applyTxn(txn)
	case "POST " + platform.PathLease:
		var l platform.Lease
		if body.Decode(&l) != nil {
			return nil, errInvalidRequest
		}
		return s.grantLease(time.Duration(l.TTL))
	case "POST " + platform.PathLeaseKeepAlive:
		return s.keepAlive(strings.TrimPrefix(target.Path, platform.PathLeaseKeepAlive))
	case "DELETE " + platform.PathLeaseEnd:
		return s.endLease(strings.TrimPrefix(target.Path, platform.PathLeaseEnd))
	default:
		return nil, errUnknownPath
	}
}

func toPlatformItem(key string, it item) platform.Item {
	return platform.Item{Key: key, Value: it.value, Created: it.created, Revision: it.modified, Lease: it.lease}
}

func (s *Store) getKey(key string) (any, *errorResponse) {
	it, ok := s.contents.items[key]
	if !ok {
		return nil, errNotFound
	}
	return platform.KeyResponse{Item: toPlatformItem(key, it), StoreRevision: s.contents.revision}, nil
}

func (s *Store) listPage(prefix, after string) platform.RangeResponse {
	resp := platform.RangeResponse{Items: []platform.Item{}, StoreRevision: s.contents.revision}
	for _, k := range s.keysWithPrefix(prefix) {
		if k <= after {
			continue
		}
		if len(resp.Items) == maxPageItems {
			resp.More = true
			break
		}
		resp.Items = append(resp.Items, toPlatformItem(k, s.contents.items[k]))
	}
	return resp
}

// applyTxn applies a transaction if all its expectations hold and its leases exist.
func (s *Store) applyTxn(t platform.Txn) (any, *errorResponse) {
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		return nil, errInvalidRequest
	}
	if errResp := s.checkExpectations(t.Expected); errResp != nil {
		return nil, errResp
	}
	for _, w := range t.Writes {
		if len(w.Value) > maxValueSize {
			return nil, errInvalidRequest
		}
		if _, ok := s.contents.leases[w.Lease]; w.Lease != 0 && !ok {
			return nil, errNotFound
		}
	}
	s.contents.revision++
	for _, w := range t.Writes {
		s.put(w.Key, w.Value, w.Lease)
	}
	s.remove(t.Remove)
	return platform.TxnResponse{Revision: s.contents.revision}, nil
}

// checkExpectations compares the revisions of keys and returns the items as they are if one differs.
func (s *Store) checkExpectations(expected []platform.Precondition) *errorResponse {
	ok := true
	items := []platform.Item{}
	for _, e := range expected {
		it, exists := s.contents.items[e.Key]
		ok = ok && it.modified == e.Revision
		if exists {
			items = append(items, toPlatformItem(e.Key, it))
		}
	}
	if ok {
		return nil
	}
	return &errorResponse{status: http.StatusPreconditionFailed, message: "a key has another revision", items: items}
}

func (s *Store) grantLease(ttl time.Duration) (any, *errorResponse) {
	if ttl < minTTL || ttl > maxTTL {
		return nil, errInvalidRequest
	}
	s.lastLeaseID++
	s.contents.leases[s.lastLeaseID] = lease{ttl: ttl, expiry: s.now().Add(ttl)}
	return platform.Lease{ID: s.lastLeaseID, TTL: platform.Duration(ttl)}, nil
}

func (s *Store) keepAlive(text string) (any, *errorResponse) {
	id, l, ok := s.findLease(text)
	if !ok {
		return nil, errNotFound
	}
	l.expiry = s.now().Add(l.ttl)
	s.contents.leases[id] = l
	return platform.Lease{TTL: platform.Duration(l.ttl)}, nil
}

func (s *Store) endLease(text string) (any, *errorResponse) {
	id, l, ok := s.findLease(text)
	if !ok {
		return nil, errNotFound
	}
	l.expiry = s.now()
	s.contents.leases[id] = l
	s.expireLeases()
	return struct{}{}, nil
}

func (s *Store) findLease(text string) (int64, lease, bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, lease{}, false
	}
	l, ok := s.contents.leases[id]
	return id, l, ok
}

// serveWatch answers as soon as there are changes after a revision, or when the wait is over. An outage or a restore
// cuts it.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil || waitMs < 0 || waitMs > maxWait.Milliseconds() {
		respond(w, nil, errInvalidRequest)
		return
	}
	s.mu.Lock()
	errResp := s.admitCall(platform.PathWatch)
	if errResp == nil && after < s.contents.compacted {
		errResp = errCompacted
	}
	watchesEnded, revision := s.watchesEnded, s.contents.revision
	s.mu.Unlock()
	if after > revision {
		panic(http.ErrAbortHandler) // the watch comes from before a restore and is cut
	}
	if errResp != nil {
		respond(w, nil, errResp)
		return
	}
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		resp, changed := s.changesAfter(after, query.Get("pathPrefix"))
		if len(resp.Events) > 0 {
			respond(w, resp, nil)
			return
		}
		select {
		case <-changed:
		case <-time.After(expiryPoll):
		case <-timeout.C:
			respond(w, resp, nil)
			return
		case <-watchesEnded:
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
	s.expireLeases()
	resp := platform.WatchResponse{Events: []platform.Item{}, StoreRevision: max(after, s.contents.revision)}
	for _, e := range s.contents.history {
		if e.item.modified <= after || !strings.HasPrefix(e.key, prefix) {
			continue
		}
		event := toPlatformItem(e.key, e.item)
		event.Deleted = e.deleted
		resp.Events = append(resp.Events, event)
	}
	return resp, s.changed
}

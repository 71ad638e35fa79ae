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
	// maxValueSize is the service's limit for a value, in bytes.
	maxValueSize = 1 << 20
	// maxPageItems is the largest number of items in one page of a range read.
	maxPageItems = 500
	// minTTL and maxTTL are the limits of the time to live of a lease.
	minTTL = time.Second
	maxTTL = 10 * time.Minute
	// maxWait is the longest time that a watch may wait for changes.
	maxWait = 30 * time.Second
	// maxTxnEntries is the largest number of preconditions, writes and removals in one transaction, taken together.
	maxTxnEntries = 32
	// expiryPoll is the interval at which a pending watch checks for expired leases. Other calls also do so, but there
	// may be none.
	expiryPoll = 50 * time.Millisecond
)

// errorResponse is the response to a call that failed. That of a transaction whose preconditions don't hold also has the
// current items.
type errorResponse struct {
	status  int
	message string
	items   []platform.Item
}

var (
	errUnavailable    = &errorResponse{status: http.StatusServiceUnavailable, message: "unavailable, call not executed"}
	errRateLimited    = &errorResponse{status: http.StatusTooManyRequests, message: "rate limit exceeded"}
	errNotFound       = &errorResponse{status: http.StatusNotFound, message: "no such key or lease"}
	errInvalidRequest = &errorResponse{status: http.StatusBadRequest, message: "invalid request"}
	errUnknownPath    = &errorResponse{status: http.StatusNotFound, message: "unknown method or path"}
	errCompacted      = &errorResponse{status: http.StatusGone, message: "the history after the revision was compacted"}
)

// endpoint returns the path of a call without the lease ID, as Calls counts it.
func endpoint(path string) string {
	for _, prefix := range []string{platform.PathLeaseKeepAlive, platform.PathLeaseEnd} {
		if strings.HasPrefix(path, prefix) {
			return prefix
		}
	}
	return path
}

// isWrite reports whether a call counts towards the limit for writes. A lease renewal counts as a read.
func isWrite(endpoint string) bool {
	return endpoint == platform.PathTxn || endpoint == platform.PathLease || endpoint == platform.PathLeaseEnd
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	platform.SetStoreEra(w.Header(), s.currentEra())
	// net/http cancels the request's context on a disconnect only after the body has been read, so it is read first.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*maxValueSize))
	if err != nil {
		respond(w, nil, errInvalidRequest)
		return
	}
	if !s.waitDelay(r) {
		panic(http.ErrAbortHandler) // the caller has disconnected
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

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// waitDelay waits for the injected delay. It returns false if the caller disconnected meanwhile.
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

// respond writes errResp if it is not nil, and otherwise resp.
func respond(w http.ResponseWriter, resp any, errResp *errorResponse) {
	w.Header().Set("Content-Type", "application/json")
	if errResp != nil {
		w.WriteHeader(errResp.status)
		resp = map[string]any{"error": errResp.message, "items": errResp.items}
	}
	_ = json.NewEncoder(w).Encode(resp) // fails only if the caller has disconnected
}

// handleCall processes one call other than a watch. With loseResponse, the call took effect, but its response must not
// be sent.
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

// admitCall counts a call and returns an error response during an outage or above the rate limits. For an admitted call
// it first removes expired leases. The caller holds the mutex.
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

// dispatch processes a call, which is "METHOD endpoint". The caller holds the mutex.
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

// listPage returns the first items with a prefix whose keys come after the given key.
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

// applyTxn applies a transaction at one new revision if all its preconditions hold and its leases exist.
func (s *Store) applyTxn(t platform.Txn) (any, *errorResponse) {
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxTxnEntries {
		return nil, errInvalidRequest
	}
	if errResp := s.checkPreconditions(t.Expected); errResp != nil {
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

// checkPreconditions returns nil if all keys have the expected revisions, and otherwise an error response with the
// current items. A key that doesn't exist has revision 0.
func (s *Store) checkPreconditions(expected []platform.Precondition) *errorResponse {
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
	return &errorResponse{
		status: http.StatusPreconditionFailed, message: "a key has an unexpected revision", items: items,
	}
}

// grantLease creates a lease with the given time to live.
func (s *Store) grantLease(ttl time.Duration) (any, *errorResponse) {
	if ttl < minTTL || ttl > maxTTL {
		return nil, errInvalidRequest
	}
	s.lastLeaseID++
	s.contents.leases[s.lastLeaseID] = lease{ttl: ttl, expiry: s.now().Add(ttl)}
	return platform.Lease{ID: s.lastLeaseID, TTL: platform.Duration(ttl)}, nil
}

// keepAlive renews a lease, so that it expires a full time to live from now.
func (s *Store) keepAlive(text string) (any, *errorResponse) {
	id, l, ok := s.findLease(text)
	if !ok {
		return nil, errNotFound
	}
	l.expiry = s.now().Add(l.ttl)
	s.contents.leases[id] = l
	return platform.Lease{TTL: platform.Duration(l.ttl)}, nil
}

// endLease ends a lease at once and removes its keys.
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

// findLease returns the lease whose ID is the given decimal text.
func (s *Store) findLease(text string) (int64, lease, bool) {
	id, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, lease{}, false
	}
	l, ok := s.contents.leases[id]
	return id, l, ok
}

// serveWatch responds as soon as there are changes after a revision, or without changes when the wait is over. If an
// outage begins or ends, or on a restore or a compaction, it closes the connection without a response.
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
	if errResp == nil && (after < s.contents.compacted || after > s.contents.revision) {
		errResp = errCompacted // also for a revision from before a restore
	}
	watchesEnded := s.watchesEnded
	s.mu.Unlock()
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
			if s.lacksRevision(after) {
				respond(w, nil, errCompacted)
				return
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// lacksRevision reports whether a revision is above the present one, as after a restore.
func (s *Store) lacksRevision(revision int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return revision > s.contents.revision
}

// changesAfter returns the changes after a revision of keys with a prefix, and a channel that is closed on the next
// change of any key.
func (s *Store) changesAfter(after int64, prefix string) (platform.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	resp := platform.WatchResponse{Events: []platform.Item{}, StoreRevision: s.contents.revision}
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

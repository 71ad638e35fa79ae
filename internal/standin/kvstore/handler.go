package kvstore

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// maxValue is the service's limit for a value in bytes.
const maxValue = 1 << 20

// expiryPoll is how often a pending watch looks for leases that expired while no call came.
const expiryPoll = 50 * time.Millisecond

// Request and response bodies. Bytes are base64 in JSON; "string" makes numbers decimal strings.
type (
	request struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		TTL      int64  `json:"TTL,string"`
		ID       int64  `json:"ID,string"`
		Compare  []struct {
			Key         []byte `json:"key"`
			Target      string `json:"target"`
			Result      string `json:"result"`
			ModRevision int64  `json:"mod_revision,string"`
		} `json:"compare"`
		Success []struct {
			RequestPut *struct {
				Key   []byte `json:"key"`
				Value []byte `json:"value"`
				Lease int64  `json:"lease,string"`
			} `json:"request_put"`
		} `json:"success"`
		CreateRequest struct {
			Key           []byte `json:"key"`
			RangeEnd      []byte `json:"range_end"`
			StartRevision int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	keyValue struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value,omitempty"`
		CreateRevision int64  `json:"create_revision,string,omitempty"`
		ModRevision    int64  `json:"mod_revision,string"`
		Lease          int64  `json:"lease,string,omitempty"`
	}
	event struct {
		Type string   `json:"type,omitempty"`
		KV   keyValue `json:"kv"`
	}
	object map[string]any
)

// failure is an answer with an error, by gRPC code and HTTP status.
type failure struct {
	status, code int
	message      string
}

var (
	errUnavailable = &failure{http.StatusServiceUnavailable, 14, "etcdserver: no leader"}
	errRate        = &failure{http.StatusTooManyRequests, 8, "etcdserver: too many requests"}
	errNoLease     = &failure{http.StatusNotFound, 5, "etcdserver: requested lease not found"}
	errRequest     = &failure{http.StatusBadRequest, 3, "invalid request"}
	errPath        = &failure{http.StatusNotFound, 12, "unknown path"}
)

func isWrite(path string) bool {
	return path != "/v3/kv/range" && path != "/v3/watch"
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValue)).Decode(&req); err != nil {
		answer(w, nil, errRequest)
		return
	}
	if !s.wait(r) {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v3/watch" {
		s.watch(w, r, req)
		return
	}
	resp, fail, lost := s.process(r.URL.Path, req)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	answer(w, resp, fail)
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

func answer(w http.ResponseWriter, resp object, fail *failure) {
	w.Header().Set("Content-Type", "application/json")
	if fail != nil {
		w.WriteHeader(fail.status)
		resp = object{"code": fail.code, "message": fail.message, "error": fail.message}
	}
	_ = json.NewEncoder(w).Encode(resp) // the caller is gone if this fails
}

// process runs one call and reports whether its response is to be lost.
func (s *Store) process(path string, req request) (resp object, fail *failure, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[path]++
	if s.down {
		return nil, errUnavailable, false
	}
	if !s.admit(isWrite(path)) {
		return nil, errRate, false
	}
	s.expire()
	resp, fail = s.dispatch(path, req)
	if isWrite(path) && fail == nil && s.lose > 0 {
		s.lose--
		return nil, nil, true
	}
	return resp, fail, false
}

func (s *Store) dispatch(path string, req request) (object, *failure) {
	switch path {
	case "/v3/kv/range":
		return s.rangeKeys(req), nil
	case "/v3/kv/txn":
		return s.txn(req)
	case "/v3/kv/deleterange":
		s.remove(s.inRange(string(req.Key), string(req.RangeEnd)))
		return object{"header": s.header()}, nil
	case "/v3/lease/grant":
		s.nextID++
		l := lease{ttl: time.Duration(req.TTL) * time.Second}
		l.expiry = s.now().Add(l.ttl)
		s.state.leases[s.nextID] = l
		return object{"header": s.header(), "ID": fmt.Sprint(s.nextID), "TTL": fmt.Sprint(req.TTL)}, nil
	case "/v3/lease/keepalive":
		return s.keepAlive(req.ID), nil
	default:
		return nil, errPath
	}
}

func (s *Store) header() object {
	return object{"revision": fmt.Sprint(s.state.revision)}
}

func (s *Store) rangeKeys(req request) object {
	kvs := []keyValue{}
	for _, k := range s.inRange(string(req.Key), string(req.RangeEnd)) {
		kvs = append(kvs, encode(k, s.state.items[k]))
	}
	return object{"header": s.header(), "kvs": kvs, "count": fmt.Sprint(len(kvs))}
}

func encode(key string, it item) keyValue {
	return keyValue{
		Key: []byte(key), Value: it.value, CreateRevision: it.created, ModRevision: it.modified, Lease: it.lease,
	}
}

func (s *Store) txn(req request) (object, *failure) {
	for _, c := range req.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return nil, errRequest
		}
		if s.state.items[string(c.Key)].modified != c.ModRevision {
			return object{"header": s.header()}, nil
		}
	}
	for _, op := range req.Success {
		put := op.RequestPut
		if put == nil || len(put.Value) > maxValue {
			return nil, errRequest
		}
		if _, ok := s.state.leases[put.Lease]; put.Lease != 0 && !ok {
			return nil, errNoLease
		}
		s.put(string(put.Key), put.Value, put.Lease)
	}
	return object{"header": s.header(), "succeeded": true}, nil
}

func (s *Store) keepAlive(id int64) object {
	l, ok := s.state.leases[id]
	if !ok {
		return object{"result": object{"header": s.header(), "ID": fmt.Sprint(id)}}
	}
	l.expiry = s.now().Add(l.ttl)
	s.state.leases[id] = l
	ttl := int64(l.ttl / time.Second)
	return object{"result": object{"header": s.header(), "ID": fmt.Sprint(id), "TTL": fmt.Sprint(ttl)}}
}

// watch streams changes until the caller goes away, an outage or a restore.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, req request) {
	create := req.CreateRequest
	s.mu.Lock()
	s.calls[r.URL.Path]++
	if s.down || !s.admit(false) {
		s.mu.Unlock()
		answer(w, nil, errUnavailable)
		return
	}
	next := create.StartRevision
	if next == 0 {
		next = s.state.revision + 1
	}
	epoch := s.epoch
	first := object{"result": object{"header": s.header(), "created": true}}
	s.mu.Unlock()
	if !stream(w, first) {
		return
	}
	for {
		s.mu.Lock()
		s.expire()
		events := s.eventsFrom(next, string(create.Key), string(create.RangeEnd))
		next = max(next, s.state.revision+1)
		header, changed := s.header(), s.changed
		s.mu.Unlock()
		if len(events) > 0 && !stream(w, object{"result": object{"header": header, "events": events}}) {
			return
		}
		select {
		case <-changed:
		case <-time.After(expiryPoll):
		case <-epoch:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsFrom(revision int64, key, end string) []event {
	var events []event
	for _, c := range s.state.history {
		if c.item.modified < revision || !contains(key, end, c.key) {
			continue
		}
		e := event{KV: encode(c.key, c.item)}
		if c.deleted {
			e.Type = "DELETE"
		}
		events = append(events, e)
	}
	return events
}

func stream(w http.ResponseWriter, v object) bool {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

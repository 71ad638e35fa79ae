package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// DefaultTimeout bounds one call; the service answers in milliseconds.
	DefaultTimeout = 2 * time.Second
	// maxResponse bounds an answer. The largest is the summaries of 11 zones with 3 relays each, below 1 MB.
	maxResponse = 16 << 20
)

// Client is a Store over the JSON gateway of the etcd v3 API.
type Client struct {
	urls    []string
	http    *http.Client
	timeout time.Duration
	current atomic.Uint32 // index of the endpoint that answered last
}

var _ Store = (*Client)(nil)

// NewClient returns a client for endpoints such as "http://10.0.0.1:2379", which are tried in turn. A nil client
// stands for a new one, a zero timeout for DefaultTimeout.
func NewClient(urls []string, client *http.Client, timeout time.Duration) (*Client, error) {
	if len(urls) == 0 {
		return nil, errors.New("platform: no endpoint URLs")
	}
	if client == nil {
		client = newHTTPClient()
	}
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	c := &Client{http: client, timeout: timeout}
	for _, u := range urls {
		c.urls = append(c.urls, strings.TrimSuffix(u, "/"))
	}
	return c, nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (KV, error) {
	var resp rangeResponse
	if err := c.read(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return KV{}, err
	}
	if len(resp.KVs) == 0 {
		return KV{}, ErrNotFound
	}
	return resp.KVs[0].kv(), nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	var resp rangeResponse
	req := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.read(ctx, "/v3/kv/range", req, &resp); err != nil {
		return nil, 0, err
	}
	kvs := make([]KV, 0, len(resp.KVs))
	for _, k := range resp.KVs {
		kvs = append(kvs, k.kv())
	}
	return kvs, int64(resp.Header.Revision), nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, lease LeaseID) (int64, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: number(rev)}},
		Success: []operation{{RequestPut: &putRequest{Key: []byte(key), Value: value, Lease: number(lease)}}},
	}
	var resp txnResponse
	if err := c.write(ctx, "/v3/kv/txn", req, &resp); err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		return 0, ErrConflict
	}
	return int64(resp.Header.Revision), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string) error {
	var resp struct{}
	return c.write(ctx, "/v3/kv/deleterange", rangeRequest{Key: []byte(key)}, &resp)
}

// Grant implements Store. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var resp leaseResponse
	seconds := (ttl + time.Second - 1) / time.Second
	if err := c.write(ctx, "/v3/lease/grant", leaseRequest{TTL: number(seconds)}, &resp); err != nil {
		return 0, err
	}
	return LeaseID(resp.ID), nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	var resp keepAliveResponse
	if err := c.write(ctx, "/v3/lease/keepalive", leaseRequest{ID: number(id)}, &resp); err != nil {
		return err
	}
	if resp.Result.TTL <= 0 {
		return ErrLeaseLost
	}
	return nil
}

// read performs a call without effect, so every failure is ErrUnavailable. Its text must not mention a write that may have
// taken effect, since operators read it.
func (c *Client) read(ctx context.Context, path string, req, resp any) error {
	err := c.call(ctx, path, req, resp, true)
	if errors.Is(err, ErrUnknown) {
		return fmt.Errorf("%w: %s", ErrUnavailable, strings.TrimPrefix(err.Error(), ErrUnknown.Error()+": "))
	}
	return err
}

func (c *Client) write(ctx context.Context, path string, req, resp any) error {
	return c.call(ctx, path, req, resp, false)
}

// call tries the endpoints in turn. A write moves on to the next endpoint only if the last one can't have received it.
func (c *Client) call(ctx context.Context, path string, req, resp any, repeat bool) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	first := c.current.Load()
	for i := range c.urls {
		endpoint := (first + uint32(i)) % uint32(len(c.urls))
		err = c.post(ctx, c.urls[endpoint]+path, body, resp, repeat)
		if err == nil || errors.Is(err, ErrLeaseLost) {
			c.current.Store(endpoint)
			return err
		}
		if ctx.Err() != nil || (errors.Is(err, ErrUnknown) && !repeat) {
			return err
		}
	}
	return err
}

func (c *Client) post(ctx context.Context, url string, body []byte, resp any, repeat bool) error {
	r, err := c.open(ctx, url, body, repeat)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	// Streaming calls such as keepalive may not end after the first answer, so only that one is read.
	if err := json.NewDecoder(io.LimitReader(r.Body, maxResponse)).Decode(resp); err != nil {
		return fmt.Errorf("%w: answer of %s: %v", ErrUnknown, url, err)
	}
	return nil
}

// open sends a request and returns the response if its status is 200.
func (c *Client) open(ctx context.Context, url string, body []byte, repeat bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if !repeat {
		// Without GetBody the transport never sends a request a second time by itself, which would hide a write
		// that took effect behind the conflict of its repetition.
		req.GetBody = nil
	}
	r, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", classifyTransport(err), err)
	}
	if r.StatusCode == http.StatusOK {
		return r, nil
	}
	defer r.Body.Close()
	var e errorBody
	_ = json.NewDecoder(io.LimitReader(r.Body, maxResponse)).Decode(&e) // without a body, the status decides
	return nil, fmt.Errorf("%w: %s: status %d, code %d %s", classifyStatus(r.StatusCode, e.Code), url, r.StatusCode, e.Code, e.Message)
}

// classifyTransport separates requests that never left from those that may have arrived.
func classifyTransport(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrUnknown
}

func classifyStatus(status, code int) error {
	switch {
	case code == codeNotFound:
		return ErrLeaseLost // only leases are reported as not found
	case code == codeResourceExhausted, code == codeInvalidArgument,
		status == http.StatusTooManyRequests, status == http.StatusBadRequest:
		return ErrUnavailable
	default:
		return ErrUnknown
	}
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, fromRev int64, f func([]KV) error) error {
	body, err := json.Marshal(watchRequest{Create: watchCreate{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: number(fromRev),
	}})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The stream has no end, so only the confirmation that it was created is subject to the timeout.
	created := time.AfterFunc(c.timeout, cancel)
	defer created.Stop()
	endpoint := c.current.Load()
	r, err := c.open(ctx, c.urls[endpoint]+"/v3/watch", body, true)
	if err != nil {
		c.current.CompareAndSwap(endpoint, (endpoint+1)%uint32(len(c.urls)))
		if caller.Err() != nil {
			return caller.Err()
		}
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer r.Body.Close()
	dec := json.NewDecoder(r.Body)
	for {
		var m watchResponse
		if err := dec.Decode(&m); err != nil {
			if caller.Err() != nil {
				return caller.Err()
			}
			return fmt.Errorf("%w: watch ended: %v", ErrUnavailable, err)
		}
		if m.Result.Created {
			created.Stop()
		}
		if err := deliver(m, f); err != nil {
			return err
		}
	}
}

func deliver(m watchResponse, f func([]KV) error) error {
	switch {
	case m.Error != nil:
		return fmt.Errorf("%w: watch: %s", ErrUnavailable, m.Error.Message)
	case m.Result.CompactRevision > 0:
		return ErrCompacted
	case m.Result.Canceled:
		return fmt.Errorf("%w: watch canceled", ErrUnavailable)
	case len(m.Result.Events) == 0:
		return nil
	}
	kvs := make([]KV, 0, len(m.Result.Events))
	for _, e := range m.Result.Events {
		kv := e.KV.kv()
		kv.Deleted = e.Type == "DELETE"
		kvs = append(kvs, kv)
	}
	return f(kvs)
}

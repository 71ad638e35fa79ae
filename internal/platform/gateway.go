package platform

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// The gateway encodes 64-bit numbers as decimal strings, bytes as base64, and leaves out fields that are zero.

// number reads a decimal string or a JSON number and writes a decimal string.
type number int64

// MarshalJSON implements json.Marshaler.
func (n number) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON implements json.Unmarshaler.
func (n *number) UnmarshalJSON(b []byte) error {
	if len(b) >= 2 && b[0] == '"' {
		b = b[1 : len(b)-1]
	}
	v, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return fmt.Errorf("number %q: %w", b, err)
	}
	*n = number(v)
	return nil
}

type header struct {
	Revision number `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Lease          number `json:"lease"`
}

func (k keyValue) kv() KV {
	return KV{
		Key: string(k.Key), Value: k.Value, Revision: int64(k.ModRevision),
		CreateRevision: int64(k.CreateRevision), Lease: LeaseID(k.Lease),
	}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision number `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type operation struct {
	RequestPut *putRequest `json:"request_put,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseRequest struct {
	TTL number `json:"TTL,omitempty"`
	ID  number `json:"ID,omitempty"`
}

type leaseResponse struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision number `json:"start_revision,omitempty"`
}

type watchResponse struct {
	Result struct {
		Header          header  `json:"header"`
		Created         bool    `json:"created"`
		Canceled        bool    `json:"canceled"`
		CompactRevision number  `json:"compact_revision"`
		Events          []event `json:"events"`
	} `json:"result"`
	Error *errorBody `json:"error"`
}

type event struct {
	Type string   `json:"type"` // empty for PUT
	KV   keyValue `json:"kv"`
}

type errorBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes that prove that a write did not take effect. Unavailable (14) isn't among them: the service also
// returns it when a request that it had accepted timed out.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // all keys
}

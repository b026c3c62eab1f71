// Package etcd holds the messages of the JSON gateway of the etcd v3 API, as
// far as the system uses them. Bytes are base64 and 64-bit integers are
// strings, as the JSON mapping of protocol buffers has it.
package etcd

// The paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// Header stands in every response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one entry.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest asks for the entries from Key up to RangeEnd, or for Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition on a key's revision.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// The words of a Compare.
const (
	ResultEqual = "EQUAL"
	TargetMod   = "MOD"
)

// PutRequest writes one entry.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put *PutRequest `json:"request_put,omitempty"`
}

// TxnRequest carries out Success if all of Compare hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// GrantRequest makes a lease of TTL seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// GrantResponse answers a GrantRequest.
type GrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse answers a KeepAliveRequest; a TTL of 0 means that the lease is gone.
type KeepAliveResponse struct {
	Result GrantResponse `json:"result"`
}

// WatchRequest opens a stream of WatchResponse.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the keys to watch and the first revision of interest.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchResponse is one line of the stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the changes since the last line.
type WatchResult struct {
	Header Header  `json:"header"`
	Events []Event `json:"events,omitempty"`
}

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

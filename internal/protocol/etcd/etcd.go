// Package etcd defines the messages of the JSON gateway of the etcd v3 API that
// the system uses. As in the JSON mapping of protocol buffers, bytes are base64
// and 64-bit integers are strings.
package etcd

// The paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// Header is part of every response. Revision is the store's.
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

	// Serializable allows the answer of one server that may lag behind the others.
	Serializable bool `json:"serializable,omitempty"`
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

// Values of Compare.Result and Compare.Target.
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

// TxnRequest carries out the operations in Success if all conditions in Compare hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// GrantRequest asks for a lease of TTL seconds.
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

// KeepAliveResponse answers a KeepAliveRequest; a TTL of 0 means that the lease has lapsed.
type KeepAliveResponse struct {
	Result GrantResponse `json:"result"`
}

// WatchRequest opens a stream of WatchResponse messages, one a line.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names the key to watch and the revision from which to report changes.
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

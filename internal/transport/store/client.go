// Package store is a client of the platform's key-value store, over the JSON
// gateway of the etcd v3 API.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
)

const (
	maxResponse = 8 << 20 // bytes
	callTimeout = 2 * time.Second

	// minWatchPeriod and maxWatchPeriod bound the time after which a watch without a change
	// ends and another one begins. The API sends nothing meanwhile, so a watch that the
	// store has lost looks the same as one without a change.
	minWatchPeriod = 2 * time.Second
	maxWatchPeriod = 4 * time.Second
)

// errUnchanged reports that a watch has ended without a change.
var errUnchanged = errors.New("no change")

// Client is a coriandershift.Store. It is safe for concurrent use.
type Client struct {
	endpoint string
	http     *http.Client
	observe  func(path string, err error)
}

var _ coriandershift.Store = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithObserver has observe called after each call to the store, with the path of
// the call and its error.
func WithObserver(observe func(path string, err error)) Option {
	return func(c *Client) { c.observe = observe }
}

// WithTransport makes the Client send all calls through a transport instead of TCP.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// New returns a Client of the store at an endpoint such as http://192.0.2.1:2379.
func New(endpoint string, options ...Option) *Client {
	c := &Client{endpoint: endpoint, http: &http.Client{}, observe: func(string, error) {}}
	for _, option := range options {
		option(c)
	}
	return c
}

// ObserveEra returns 0: the API has no eras. After a restore from a snapshot, balancers
// write the configuration in force back; see commit.Committer.Restore.
func (c *Client) ObserveEra(uint64) uint64 {
	return 0
}

// Get returns one entry, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (coriandershift.Entry, error) {
	return c.get(ctx, etcd.RangeRequest{Key: []byte(key)})
}

// GetStale is a Get that any server of the store answers from what it has.
func (c *Client) GetStale(ctx context.Context, key string) (coriandershift.Entry, error) {
	return c.get(ctx, etcd.RangeRequest{Key: []byte(key), Serializable: true})
}

func (c *Client) get(ctx context.Context, request etcd.RangeRequest) (coriandershift.Entry, error) {
	entries, err := c.getRange(ctx, request)
	if err != nil {
		return coriandershift.Entry{}, err
	}
	if len(entries) == 0 {
		return coriandershift.Entry{}, errors.WithMessagef(coriandershift.ErrNotFound, "key %q", request.Key)
	}
	return entries[0], nil
}

// List returns the entries whose keys start with a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]coriandershift.Entry, error) {
	return c.getRange(ctx, etcd.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// CompareAndSwap writes a value if the key's revision is still the given one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision int64, lease coriandershift.Lease) error {
	request := etcd.TxnRequest{
		Compare: []etcd.Compare{{Result: etcd.ResultEqual, Target: etcd.TargetMod, Key: []byte(key), ModRevision: revision}},
		Success: []etcd.RequestOp{{Put: &etcd.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}}},
	}

	var response etcd.TxnResponse
	if err := c.call(ctx, etcd.PathTxn, request, &response); err != nil {
		return errors.WithMessagef(coriandershift.ErrUnknownOutcome, "write %q: %v", key, err)
	}
	if !response.Succeeded {
		return errors.WithMessagef(coriandershift.ErrConflict, "key %q", key)
	}
	return nil
}

// Watch waits until a key's entry is no longer that of a revision, 0 for none, and returns
// the entry. It may be an earlier one, or ErrNotFound, if the store came back from a copy.
func (c *Client) Watch(ctx context.Context, key string, after int64) (coriandershift.Entry, error) {
	for {
		entry, err := c.watchOnce(ctx, key, after)
		if errors.Is(err, errUnchanged) {
			c.observe(etcd.PathWatch, nil)
			continue
		}
		c.observe(etcd.PathWatch, err)
		return entry, err
	}
}

// watchOnce is a Watch that ends with errUnchanged after a random time between
// minWatchPeriod and maxWatchPeriod, and fails if it has not begun within callTimeout.
func (c *Client) watchOnce(ctx context.Context, key string, after int64) (coriandershift.Entry, error) {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(callTimeout, cancel)
	defer limit.Stop()

	begun := false
	entry, err := c.waitForEvent(limited, key, after, func() {
		begun = true
		limit.Reset(minWatchPeriod + rand.N(maxWatchPeriod-minWatchPeriod))
	})
	if err != nil && begun && limited.Err() != nil && ctx.Err() == nil {
		return entry, errUnchanged
	}
	return entry, err
}

// GrantLease creates a lease. The ttl is rounded down to whole seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (coriandershift.Lease, error) {
	var response etcd.GrantResponse
	err := c.call(ctx, etcd.PathGrant, etcd.GrantRequest{TTL: int64(ttl / time.Second)}, &response)
	return coriandershift.Lease(response.ID), err
}

// RenewLease keeps a lease alive, or returns ErrLeaseLost.
func (c *Client) RenewLease(ctx context.Context, lease coriandershift.Lease) error {
	var response etcd.KeepAliveResponse
	if err := c.call(ctx, etcd.PathKeepAlive, etcd.KeepAliveRequest{ID: int64(lease)}, &response); err != nil {
		return err
	}
	if response.Result.TTL == 0 {
		return coriandershift.ErrLeaseLost
	}
	return nil
}

func (c *Client) getRange(ctx context.Context, request etcd.RangeRequest) ([]coriandershift.Entry, error) {
	var response etcd.RangeResponse
	if err := c.call(ctx, etcd.PathRange, request, &response); err != nil {
		return nil, err
	}

	entries := make([]coriandershift.Entry, 0, len(response.KVs))
	for _, kv := range response.KVs {
		entries = append(entries, entryOf(kv))
	}
	return entries, nil
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	err := c.roundTrip(ctx, path, request, response)
	c.observe(path, err)
	return err
}

func (c *Client) roundTrip(ctx context.Context, path string, request, response any) error {
	httpResponse, err := c.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer httpResponse.Body.Close()

	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponse))
	if err != nil {
		return errors.Wrapf(err, "read response of %s", path)
	}
	return errors.Wrapf(json.Unmarshal(body, response), "decode response of %s", path)
}

func (c *Client) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", path)
	}

	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", path)
	}

	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", path)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errors.Errorf("call %s: store answered %s", path, response.Status)
	}
	return response, nil
}

// waitForEvent reads messages of the watch until one contains events, and returns the
// entry of its last event. A watch reports no change up to its revision, which a store
// that came back from a copy before the watch began has yet to reach; hence the entry is
// read once the watch has begun. It calls onBegin after that.
func (c *Client) waitForEvent(ctx context.Context, key string, after int64, onBegin func()) (coriandershift.Entry, error) {
	request := etcd.WatchRequest{Create: etcd.WatchCreate{Key: []byte(key), StartRevision: after + 1}}
	response, err := c.post(ctx, etcd.PathWatch, request)
	if err != nil {
		return coriandershift.Entry{}, err
	}
	defer response.Body.Close()

	messages := json.NewDecoder(response.Body)
	var begun etcd.WatchResponse
	if err := messages.Decode(&begun); err != nil {
		return coriandershift.Entry{}, errors.Wrapf(err, "watch %q", key)
	}
	if count := len(begun.Result.Events); count > 0 {
		return entryOf(begun.Result.Events[count-1].KV), nil
	}
	if after > 0 {
		entry, err := c.Get(ctx, key)
		if err != nil || entry.Revision < after {
			return entry, err
		}
	}
	onBegin()

	for {
		var message etcd.WatchResponse
		if err := messages.Decode(&message); err != nil {
			return coriandershift.Entry{}, errors.Wrapf(err, "watch %q", key)
		}
		if count := len(message.Result.Events); count > 0 {
			return entryOf(message.Result.Events[count-1].KV), nil
		}
	}
}

func entryOf(kv etcd.KeyValue) coriandershift.Entry {
	return coriandershift.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the first key after all keys with a prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // no end, in the etcd API
}

package store_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coriandershift/coriandershift/internal/protocol/etcd"
	"github.com/coriandershift/coriandershift/internal/transport/store"
)

// silentWatches is a transport to a store with one key that leaves watches silent: those
// before begins are not answered, those before sees begin and report no change.
type silentWatches struct {
	begins, sees time.Time
}

const (
	unchangedBody = `{"result":{"header":{"revision":"5"}}}` + "\n"
	changedBody   = `{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"aw==","value":"bmV3","mod_revision":"7"}}]}}` + "\n"
	rangeBody     = `{"header":{"revision":"5"},"kvs":[{"key":"aw==","value":"b2xk","mod_revision":"5"}]}`
)

func (s *silentWatches) RoundTrip(r *http.Request) (*http.Response, error) {
	now := time.Now()
	if now.Before(s.begins) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body := rangeBody
	switch {
	case r.URL.Path == etcd.PathWatch && now.Before(s.sees):
		return &http.Response{StatusCode: http.StatusOK, Body: &stalledBody{ctx: r.Context(), data: strings.NewReader(unchangedBody)}}, nil
	case r.URL.Path == etcd.PathWatch:
		body = changedBody
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}, nil
}

// stalledBody yields its data and then nothing until the context ends.
type stalledBody struct {
	ctx  context.Context
	data *strings.Reader
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.data.Len() > 0 {
		return b.data.Read(p)
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *stalledBody) Close() error { return nil }

// Guards against watches that a silent store has lost and that were waited for without a
// limit, as in case 1 of the review: changes were in force only after a restart.
func TestAWatchOfASilentStoreEnds(t *testing.T) {
	const silence, bound = 4500 * time.Millisecond, 7 * time.Second // a change must be in force within 7 s
	tests := map[string]struct{ begins, sees time.Duration }{
		"not answered":                {silence, silence},
		"begun, then silent for good": {0, silence},
		"both":                        {silence / 2, silence},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				server := &silentWatches{begins: start.Add(test.begins), sees: start.Add(test.sees)}
				client := store.New("http://store", store.WithTransport(server))
				ctx, stop := context.WithTimeout(t.Context(), silence+bound)
				defer stop()
				for ctx.Err() == nil {
					entry, err := client.Watch(ctx, "k", 5)
					if err == nil && string(entry.Value) == "new" {
						return
					}
					time.Sleep(time.Second) // as ctrl waits after a failed watch
				}
				t.Errorf("the change is not seen %v after the silence", bound)
			})
		})
	}
}

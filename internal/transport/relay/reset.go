package relay

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"hash"
	"sync"

	"golang.org/x/time/rate"

	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

const (
	resetsPerSecond = 2000
	resetBurst      = 200

	// resetLength is that of a stateless reset, and minTrigger the shortest
	// datagram that gets one, so that two ends cannot reset each other in
	// turns (RFC 9000, section 10.3.3).
	resetLength = 40
	minTrigger  = resetLength + 2

	tokenLength  = 16
	shortFlags   = 0x40
	shortMask    = 0x3f
	resetPurpose = "stateless reset"
)

// resetter makes stateless resets (RFC 9000, section 10.3) with the key that all agents share.
type resetter struct {
	limit *rate.Limiter

	mu  sync.Mutex
	mac hash.Hash
}

func newResetter(keys keyset.Set) *resetter {
	return &resetter{
		limit: rate.NewLimiter(resetsPerSecond, resetBurst),
		mac:   hmac.New(sha256.New, StatelessResetKey(keys)),
	}
}

// StatelessResetKey returns the key of stateless resets, of 32 bytes.
func StatelessResetKey(keys keyset.Set) []byte {
	return keyset.DeriveKey(keys.ClusterKey, resetPurpose, 32)
}

// make returns the reset for a connection ID, or nil if the datagram that
// asks for it is too short or there are too many.
func (r *resetter) make(id []byte, triggerLength int) []byte {
	if triggerLength < minTrigger || !r.limit.Allow() {
		return nil
	}

	answer := make([]byte, resetLength)
	if _, err := rand.Read(answer[:resetLength-tokenLength]); err != nil {
		return nil
	}
	answer[0] = answer[0]&shortMask | shortFlags

	r.mu.Lock()
	defer r.mu.Unlock()
	r.mac.Reset()
	r.mac.Write(id)
	copy(answer[resetLength-tokenLength:], r.mac.Sum(nil))
	return answer
}

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

	// resetLength is the length of a stateless reset, and minTriggerLength that of
	// the shortest datagram answered with one, in bytes. A reset is shorter than its
	// trigger, so that two endpoints cannot keep resetting each other (RFC 9000,
	// section 10.3.3).
	resetLength      = 40
	minTriggerLength = resetLength + 2

	tokenLength       = 16   // bytes
	fixedBit          = 0x40 // in the first byte, as in a short header
	unpredictableBits = 0x3f // in the first byte
	resetPurpose      = "stateless reset"
)

// resetter builds stateless resets (RFC 9000, section 10.3) with the key that all
// agents share.
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

// StatelessResetKey derives the 32-byte key of stateless resets.
func StatelessResetKey(keys keyset.Set) []byte {
	return keyset.DeriveKey(keys.ClusterKey, resetPurpose, 32)
}

// build returns the reset for a connection ID, or nil if the triggering datagram
// is too short or the rate limit is reached.
func (r *resetter) build(id []byte, triggerLength int) []byte {
	if triggerLength < minTriggerLength || !r.limit.Allow() {
		return nil
	}

	packet := make([]byte, resetLength)
	if _, err := rand.Read(packet[:resetLength-tokenLength]); err != nil {
		return nil
	}
	packet[0] = packet[0]&unpredictableBits | fixedBit

	r.mu.Lock()
	defer r.mu.Unlock()
	r.mac.Reset()
	r.mac.Write(id)
	copy(packet[resetLength-tokenLength:], r.mac.Sum(nil))
	return packet
}

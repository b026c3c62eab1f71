// Package gossip seals and opens the control messages between the system's processes.
//
// A datagram is one kind byte (encap.Control), a random nonce of 12 bytes and the
// message, encoded in CBOR and sealed with AES-256-GCM under a key derived from the
// cluster's; the kind byte is authenticated too.
package gossip

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/coordination/member"
	"github.com/coriandershift/coriandershift/internal/protocol/encap"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

// MaxDatagram is the length of the longest control datagram, in bytes.
const MaxDatagram = 4096

const (
	nonceLength  = 12
	prefixLength = 1 + nonceLength

	// maxElements limits the elements of any list or map in a message.
	maxElements = 64
)

// Sentinel errors of Open.
var (
	ErrTruncated = errors.New("control datagram is truncated")
	ErrForged    = errors.New("control datagram fails authentication")
	ErrMalformed = errors.New("control message is malformed")
)

// Codec seals and opens messages. It is safe for concurrent use.
type Codec struct {
	aead   cipher.AEAD
	decode cbor.DecMode
}

// New returns a Codec for a set of keys.
func New(set keyset.Set) *Codec {
	block, err := aes.NewCipher(keyset.DeriveKey(set.ClusterKey, "control messages", 32))
	if err != nil {
		panic(err) // fails only for a wrong key length
	}

	aead, err := cipher.NewGCM(block)
	if err != nil {
		panic(err) // fails only for a wrong block size
	}

	decode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return &Codec{aead: aead, decode: decode}
}

// Seal returns the datagram for a message.
func (c *Codec) Seal(m *member.Message) ([]byte, error) {
	plain, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode control message")
	}

	datagram := make([]byte, prefixLength, prefixLength+len(plain)+c.aead.Overhead())
	datagram[0] = byte(encap.Control)
	if _, err := rand.Read(datagram[1:prefixLength]); err != nil {
		return nil, errors.Wrap(err, "make nonce")
	}
	return c.aead.Seal(datagram, datagram[1:prefixLength], plain, datagram[:1]), nil
}

// Open reads the message in a datagram. It returns ErrTruncated, ErrForged or ErrMalformed.
func (c *Codec) Open(datagram []byte) (member.Message, error) {
	if len(datagram) < prefixLength+c.aead.Overhead() {
		return member.Message{}, ErrTruncated
	}

	plain, err := c.aead.Open(nil, datagram[1:prefixLength], datagram[prefixLength:], datagram[:1])
	if err != nil {
		return member.Message{}, ErrForged
	}

	var m member.Message
	if err := c.decode.Unmarshal(plain, &m); err != nil {
		return member.Message{}, errors.WithMessage(ErrMalformed, err.Error())
	}
	return m, nil
}

// Package connid encodes the agent and service of a flow in its QUIC connection ID.
//
// The layout follows the idea of QUIC-LB (draft-ietf-quic-load-balancers): the
// server's identity is encrypted into the connection ID, so that any balancer
// that has the key can route a datagram without state.
//
//	byte 0      key phase (2 bits), low bits of the nonce (6 bits)
//	bytes 1-16  one AES block: domain, service, agent address, incarnation, nonce
//	bytes 17-19 SipHash check over bytes 0-16
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/dchest/siphash"
	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

const (
	// Length is the length of every connection ID in bytes, the longest that QUIC version 1 allows.
	Length = 20

	// MaxServiceNumber is the highest service number that fits.
	MaxServiceNumber = 1<<24 - 1

	blockStart = 1
	checkStart = blockStart + aes.BlockSize
	phaseShift = 6
)

// Sentinel errors of Open.
var (
	ErrWrongLength  = errors.New("connection ID has the wrong length")
	ErrUnknownPhase = errors.New("connection ID names an unknown key phase")
	ErrForged       = errors.New("connection ID fails its check")
)

// Target is the destination that a connection ID encodes.
type Target struct {
	// DomainNumber is the number of the agent's failure domain.
	DomainNumber uint8

	// ServiceNumber is the number of the service, at most MaxServiceNumber.
	ServiceNumber uint32

	// Agent is the IPv4 address and port of the agent that terminates the flow.
	Agent netip.AddrPort

	// Incarnation distinguishes one start of the agent from the next.
	Incarnation uint16
}

// Codec seals and opens connection IDs. It is safe for concurrent use.
type Codec struct {
	keys atomic.Pointer[keyRing]
}

type keyRing struct {
	current uint8
	phases  [keyset.PhaseCount]*phaseKey
}

type phaseKey struct {
	block                cipher.Block
	checkKey0, checkKey1 uint64
}

// blockPool saves an allocation in Open: a block passed to a cipher.Block escapes to the heap.
var blockPool = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

// New returns a Codec with the keys of a set.
func New(set keyset.Set) *Codec {
	c := &Codec{}
	c.ReplaceKeys(set)
	return c
}

// ReplaceKeys replaces the set of keys. IDs of phases whose keys are also in the new
// set stay valid.
func (c *Codec) ReplaceKeys(set keyset.Set) {
	keys := &keyRing{current: set.CurrentPhase}
	for phase, master := range set.ConnectionIDKeys {
		keys.phases[phase] = newPhaseKey(master)
	}
	c.keys.Store(keys)
}

// Seal returns an encrypted connection ID. The nonce makes IDs of the same target differ.
func (c *Codec) Seal(target Target, nonce uint32) [Length]byte {
	keys := c.keys.Load()
	key := keys.phases[keys.current]

	var id [Length]byte
	id[0] = keys.current<<phaseShift | byte(nonce)&(1<<phaseShift-1)

	block := id[blockStart:checkStart]
	block[0] = target.DomainNumber
	block[1] = byte(target.ServiceNumber >> 16)
	binary.BigEndian.PutUint16(block[2:], uint16(target.ServiceNumber))
	address := target.Agent.Addr().As4()
	copy(block[4:8], address[:])
	binary.BigEndian.PutUint16(block[8:], target.Agent.Port())
	binary.BigEndian.PutUint16(block[10:], target.Incarnation)
	binary.BigEndian.PutUint32(block[12:], nonce)
	key.block.Encrypt(block, block)

	check := key.check(id[:checkStart])
	copy(id[checkStart:], check[:])
	return id
}

// Open decrypts a connection ID. It returns ErrWrongLength, ErrUnknownPhase or ErrForged for one that Seal did not make.
func (c *Codec) Open(id []byte) (Target, error) {
	if len(id) != Length {
		return Target{}, ErrWrongLength
	}

	key := c.keys.Load().phases[id[0]>>phaseShift]
	if key == nil {
		return Target{}, ErrUnknownPhase
	}

	if check := key.check(id[:checkStart]); check != [Length - checkStart]byte(id[checkStart:]) {
		return Target{}, ErrForged
	}

	block := blockPool.Get().(*[aes.BlockSize]byte)
	defer blockPool.Put(block)
	key.block.Decrypt(block[:], id[blockStart:checkStart])
	return Target{
		DomainNumber:  block[0],
		ServiceNumber: uint32(block[1])<<16 | uint32(binary.BigEndian.Uint16(block[2:])),
		Agent:         netip.AddrPortFrom(netip.AddrFrom4([4]byte(block[4:8])), binary.BigEndian.Uint16(block[8:])),
		Incarnation:   binary.BigEndian.Uint16(block[10:]),
	}, nil
}

func newPhaseKey(master []byte) *phaseKey {
	block, err := aes.NewCipher(keyset.DeriveKey(master, "connection ID block", 16))
	if err != nil {
		panic(err) // fails only for a wrong key length
	}

	check := keyset.DeriveKey(master, "connection ID check", 16)
	return &phaseKey{
		block:     block,
		checkKey0: binary.LittleEndian.Uint64(check),
		checkKey1: binary.LittleEndian.Uint64(check[8:]),
	}
}

func (k *phaseKey) check(data []byte) [Length - checkStart]byte {
	sum := siphash.Hash(k.checkKey0, k.checkKey1, data)
	return [Length - checkStart]byte{byte(sum), byte(sum >> 8), byte(sum >> 16)}
}

// Package keyset loads the secret keys that all balancers and agents share and
// derives keys for single purposes from them.
package keyset

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

const (
	// KeyLength is the length of every master key, in bytes.
	KeyLength = 32

	// PhaseCount is the number of key phases; a connection ID has 2 bits for its phase.
	PhaseCount = 4
)

// ErrInvalid reports a key file that cannot be used.
var ErrInvalid = errors.New("invalid key file")

// Set holds the keys in use: one cluster key and up to PhaseCount connection ID keys.
type Set struct {
	// CurrentPhase is the phase whose key encrypts new connection IDs; 0 to 3.
	CurrentPhase uint8

	// ConnectionIDKeys maps a phase to its master key of KeyLength bytes. It always holds CurrentPhase.
	ConnectionIDKeys map[uint8][]byte

	// ClusterKey is the master key for messages between balancers and agents; KeyLength bytes.
	ClusterKey []byte
}

type file struct {
	Current       uint8            `json:"current"`
	ConnectionIDs map[uint8]string `json:"connectionIds"`
	Cluster       string           `json:"cluster"`
}

// Load reads a Set from a file of JSON with comments. It returns ErrInvalid for a malformed file.
func Load(path string) (Set, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Set{}, errors.Wrap(err, "read key file")
	}

	set, err := Parse(data)
	return set, errors.WithMessagef(err, "key file %q", path)
}

// Parse reads a Set from JSON with comments. It returns ErrInvalid for malformed data.
func Parse(data []byte) (Set, error) {
	standard, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return Set{}, errors.WithMessage(ErrInvalid, err.Error())
	}

	var f file
	if err := json.Unmarshal(standard, &f); err != nil {
		return Set{}, errors.WithMessage(ErrInvalid, err.Error())
	}

	return f.set()
}

// DeriveKey returns a key of length bytes for one purpose, by HKDF (RFC 5869).
func DeriveKey(master []byte, purpose string, length int) []byte {
	key, err := hkdf.Key(sha256.New, master, nil, "coriandershift "+purpose, length)
	if err != nil {
		panic(err) // fails only for a length over 255*sha256.Size
	}
	return key
}

func (f file) set() (Set, error) {
	cluster, err := decodeKey("cluster", f.Cluster)
	if err != nil {
		return Set{}, err
	}

	set := Set{CurrentPhase: f.Current, ConnectionIDKeys: map[uint8][]byte{}, ClusterKey: cluster}
	for phase, text := range f.ConnectionIDs {
		if phase >= PhaseCount {
			return Set{}, errors.WithMessagef(ErrInvalid, "connectionIds: phase %d is above the highest phase, %d", phase, PhaseCount-1)
		}

		key, err := decodeKey("connectionIds", text)
		if err != nil {
			return Set{}, err
		}
		set.ConnectionIDKeys[phase] = key
	}

	if _, ok := set.ConnectionIDKeys[f.Current]; !ok {
		return Set{}, errors.WithMessagef(ErrInvalid, "current: phase %d has no key", f.Current)
	}
	return set, nil
}

func decodeKey(field, text string) ([]byte, error) {
	key, err := hex.DecodeString(text)
	if err != nil {
		return nil, errors.WithMessagef(ErrInvalid, "%s: not hexadecimal", field)
	}

	if len(key) != KeyLength {
		return nil, errors.WithMessagef(ErrInvalid, "%s: key has %d bytes, want %d", field, len(key), KeyLength)
	}
	return key, nil
}

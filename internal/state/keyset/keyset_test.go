package keyset_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/coriandershift/coriandershift/internal/state/keyset"
)

func TestParse(t *testing.T) {
	key := strings.Repeat("ab", keyset.KeyLength)
	tests := map[string]struct {
		text string
		want error
	}{
		"good":            {fmt.Sprintf(`{"current": 1, "connectionIds": {"0": %q, "1": %q}, "cluster": %q} // comment`, key, key, key) + "\n", nil},
		"no current key":  {fmt.Sprintf(`{"current": 2, "connectionIds": {"0": %q}, "cluster": %q}`, key, key), keyset.ErrInvalid},
		"phase too high":  {fmt.Sprintf(`{"current": 4, "connectionIds": {"4": %q}, "cluster": %q}`, key, key), keyset.ErrInvalid},
		"short key":       {fmt.Sprintf(`{"current": 0, "connectionIds": {"0": "ab"}, "cluster": %q}`, key), keyset.ErrInvalid},
		"not hexadecimal": {`{"current": 0, "cluster": "zz"}`, keyset.ErrInvalid},
		"not JSON":        {`current`, keyset.ErrInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := keyset.Parse([]byte(test.text)); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

func TestDerivedKeysDiffer(t *testing.T) {
	master := bytes.Repeat([]byte{1}, keyset.KeyLength)
	if bytes.Equal(keyset.DeriveKey(master, "a", 16), keyset.DeriveKey(master, "b", 16)) {
		t.Error("two purposes have the same key")
	}
}

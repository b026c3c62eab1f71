package setup

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrMissingUnit reports a duration or size that has no unit or cannot be parsed.
var ErrMissingUnit = errors.New("value needs a unit")

// Duration is a time span written with its unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON decodes a duration. It returns ErrMissingUnit for a bare number or malformed text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithMessagef(ErrMissingUnit, "duration %s: write it as in \"250ms\"", data)
	}

	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.WithMessagef(ErrMissingUnit, "duration %q: write it as in \"250ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// Size is a number of bytes written with its unit, such as "16MiB".
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalJSON decodes a size. It returns ErrMissingUnit for a bare number or malformed text.
func (s *Size) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.WithMessagef(ErrMissingUnit, "size %s: write it as in \"16MiB\"", data)
	}

	for _, unit := range sizeUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(number, 10, 64)
		if err != nil || count < 0 || count > (1<<62)/unit.bytes {
			break
		}
		*s = Size(count * unit.bytes)
		return nil
	}
	return errors.WithMessagef(ErrMissingUnit, "size %q: write it as in \"16MiB\"", text)
}

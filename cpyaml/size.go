package cpyaml

import (
	"errors"
	"strconv"
	"strings"
)

// Size is a number of bytes that is written with a unit, such as 64KiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"kB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// errInvalidSize describes the allowed form of a size. Decode reports the text of an UnmarshalText error as what is
// allowed.
var errInvalidSize = errors.New("a size with its unit (B, kB, MB, GB, KiB, MiB, GiB), such as 64KiB")

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.bytes {
			return errInvalidSize
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return errInvalidSize
}

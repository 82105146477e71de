package api

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"jaylink/internal/strictyaml"
)

// Duration is a time.Duration whose text form has a unit, for example "20s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration with its units.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative
// values.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return fmt.Errorf("%q is not a duration; write a number with a unit, for example 250ms, 20s or 5m", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error { return unmarshalNode(n, d) }

// ByteSize is a number of bytes whose text form has a unit, for example "64MiB".
type ByteSize int64

var byteUnits = []struct {
	suffix string
	size   int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// String formats the size with the largest unit that divides it.
func (b ByteSize) String() string {
	for _, u := range byteUnits {
		if int64(b)%u.size == 0 && int64(b) >= u.size {
			return strconv.FormatInt(int64(b)/u.size, 10) + u.suffix
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b ByteSize) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative values.
func (b *ByteSize) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || v < 0 || v > (1<<62)/u.size {
			break
		}
		*b = ByteSize(v * u.size)
		return nil
	}
	return fmt.Errorf("%q is not a size; write a whole number with B, KiB, MiB or GiB, for example 64MiB", text)
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (b *ByteSize) UnmarshalYAML(n *yaml.Node) error { return unmarshalNode(n, b) }

// UnmarshalYAML implements yaml.Unmarshaler.
func (s *Selector) UnmarshalYAML(n *yaml.Node) error { return unmarshalNode(n, s) }

func unmarshalNode(n *yaml.Node, out interface{ UnmarshalText([]byte) error }) error {
	if n.Kind != yaml.ScalarNode {
		return strictyaml.LineError(n, fmt.Errorf("want a single value, found a list or mapping"))
	}
	if err := out.UnmarshalText([]byte(n.Value)); err != nil {
		return strictyaml.LineError(n, err)
	}
	return nil
}

package main

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	"github.com/samber/oops"
	"github.com/stretchr/testify/require"
)

func TestErrorsAreLoggedWithStepAndPeerWithoutStackTrace(t *testing.T) {
	failed := oops.In("peer").Code("refused").With("step", "probe", "peer", "127.0.0.1:9", "other", 1).Wrap(errors.New("no route"))
	cases := []struct {
		name string
		args []any
		want string
	}{
		{"plain error", []any{"err", errors.New("boom")}, "level=WARN msg=m entry=one err=boom\n"},
		{"error with step and peer", []any{"err", failed}, "level=WARN msg=m entry=one err=\"no route\" step=probe peer=127.0.0.1:9\n"},
		{"peer of the line overrides that of the error", []any{"peer", "two", "err", failed}, "level=WARN msg=m entry=one peer=two err=\"no route\" step=probe\n"},
		{"no error", []any{"reason", "x"}, "level=WARN msg=m entry=one reason=x\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b bytes.Buffer
			noTime := func(_ []string, a slog.Attr) slog.Attr {
				if a.Key == slog.TimeKey {
					return slog.Attr{}
				}
				return a
			}
			h := errorHandler{slog.NewTextHandler(&b, &slog.HandlerOptions{ReplaceAttr: noTime})}
			slog.New(h).With("entry", "one").Warn("m", c.args...)
			require.Equal(t, c.want, b.String())
		})
	}
}

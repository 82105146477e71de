package logsink_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/logsink"
)

// blocked is a writer that blocks until it is released.
type blocked struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}

// A log reader that stops reading does not block the process, and the lines that it
// misses are counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	sink := logsink.New(out, 10)
	for range 100 {
		_, err := sink.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, sink.Dropped(), int64(89))
	close(out.release)
	sink.Close()
	require.Contains(t, out.String(), `"msg":"log lines dropped"`)
}

// The lines of one kind are limited per second. A summary line counts the omitted
// lines, and other kinds are not affected.
func TestLinesOfAKindAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		limiter := logsink.NewLimiter(slog.NewJSONHandler(&out, nil), []string{"outcome"}, func(kind string) int {
			if kind == "request/answered" {
				return 5
			}
			return 50
		})
		log := slog.New(limiter).With("entry", "e")
		for range 40 {
			log.Info("request", "outcome", "answered")
			log.Info("request", "outcome", "refused")
		}
		time.Sleep(time.Second)
		log.Info("stopped")
		require.EqualValues(t, 35, limiter.LeftOut())
		require.Equal(t, 5, strings.Count(out.String(), `"outcome":"answered"`))
		require.Equal(t, 40, strings.Count(out.String(), `"outcome":"refused"`))
		var summary struct {
			Msg, Kind, Entry string
			Count            int
		}
		for _, line := range strings.Split(out.String(), "\n") {
			if strings.Contains(line, "left out") {
				require.NoError(t, json.Unmarshal([]byte(line), &summary))
			}
		}
		require.Equal(t, "request/answered", summary.Kind)
		require.Equal(t, "e", summary.Entry)
		require.Equal(t, 35, summary.Count)
	})
}

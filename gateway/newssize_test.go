package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/poison"
)

// maxUDPPayload is the largest payload of a UDP datagram over IPv4, in bytes.
const maxUDPPayload = 65_507

// News that do not fit into a datagram would never arrive. Many upstreams crash while they run
// prompts of hundreds of parts that no other request has, and hundreds of them were answered.
func TestNewsOfManyDeepPromptsExceedADatagram(t *testing.T) {
	now := time.UnixMilli(1788699736267)
	tracker := poison.NewTracker()
	var answered []uint64
	for crash := range uint64(40) {
		for request := range uint64(40) {
			var parts []uint64
			for part := range uint64(250) {
				parts = append(parts, crash<<40+request<<20+part)
			}
			tracker.Add(now, poison.Crash{Fingerprint: crash<<8 + request, Upstream: fmt.Sprintf("i-%08x", crash), At: now.Add(time.Duration(crash) * time.Millisecond), Parts: parts})
			answered = append(answered, parts[:20]...)
		}
	}
	tracker.SoundParts(now, now.Add(time.Minute), answered)
	m := testMessage(0, 0, false)
	m.Crashes, m.Verdicts = tracker.Updates(now)
	require.NotEmpty(t, m.Crashes)
	require.NotEmpty(t, m.Verdicts)
	data := m.encode()
	t.Logf("%d bytes", len(data))
	require.Less(t, len(data), maxUDPPayload*9/10)
	got, err := decodeMessage(data)
	require.NoError(t, err)
	require.Len(t, got.Crashes, len(m.Crashes))
	require.Len(t, got.Verdicts, len(m.Verdicts))
}

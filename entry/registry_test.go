package entry

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func endedRecord(r *registry, id string, size int, accepted bool) {
	rec := newRecord(id, Call{Body: make([]byte, size)}, time.Now())
	rec.accepted = accepted
	r.add(rec)
	rec.finish(time.Now(), nil)
	r.ended(rec)
}

// Ended requests are kept up to a number of bytes; the newest one always is.
func TestRegistryIsBounded(t *testing.T) {
	r := newRegistry(1000)
	for i := range 100 {
		endedRecord(r, strconv.Itoa(i), 300, true)
		require.LessOrEqual(t, len(r.records), 3)
	}
	require.NotNil(t, r.get("99"))
	require.Nil(t, r.get("96"))
	endedRecord(r, "large", 5000, true)
	require.Len(t, r.records, 1)
	require.NotNil(t, r.get("large"))
	r.forget(time.Now().Add(time.Second))
	require.Empty(t, r.records)
	require.Zero(t, r.keptSize)
	require.Empty(t, r.kept)
}

// Refused requests are not kept.
func TestRegistryDropsWhatWasRefused(t *testing.T) {
	r := newRegistry(1000)
	endedRecord(r, "refused", 10, false)
	require.Empty(t, r.records)
	n, _ := r.inFlight()
	require.Zero(t, n)
}

package entry

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func addEndedRecord(r *registry, id string, size int, accepted bool) {
	rec := newRecord(id, Call{Body: make([]byte, size)}, time.Now())
	rec.accepted = accepted
	r.add(rec)
	rec.finish(time.Now(), nil)
	r.markEnded(rec)
}

// Ended records are retained up to a total size; the newest one is always
// retained.
func TestRegistryIsBounded(t *testing.T) {
	r := newRegistry(1000)
	for i := range 100 {
		addEndedRecord(r, strconv.Itoa(i), 300, true)
		require.LessOrEqual(t, len(r.records), 3)
	}
	require.NotNil(t, r.get("99"))
	require.Nil(t, r.get("96"))
	addEndedRecord(r, "large", 5000, true)
	require.Len(t, r.records, 1)
	require.NotNil(t, r.get("large"))
	r.expire(time.Now().Add(time.Second))
	require.Empty(t, r.records)
	require.Zero(t, r.retainedBytes)
	require.Empty(t, r.retained)
}

// Records of refused requests are not retained.
func TestRegistryDropsRefusedRequests(t *testing.T) {
	r := newRegistry(1000)
	addEndedRecord(r, "refused", 10, false)
	require.Empty(t, r.records)
	n, _ := r.inFlight()
	require.Zero(t, n)
}

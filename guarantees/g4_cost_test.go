package guarantees

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/objects"
)

// claimCalls returns the numbers of reads and writes of claims that the platform got.
func claimCalls(f *claimFleet) (reads, writes int) {
	var calls map[string]int
	f.Read("http://"+f.Platform+"/v1/calls", &calls)
	for label, n := range calls {
		switch {
		case !strings.HasSuffix(label, " "+kindClaimPage):
		case strings.HasPrefix(label, "get"):
			reads += n
		default:
			writes += n
		}
	}
	return reads, writes
}

// storedClaimBytes returns the total size of the stored claim pages.
func storedClaimBytes(f *claimFleet) int {
	var list objects.RecordList
	f.Read("http://"+f.Platform+"/v1/objects/"+kindClaimPage, &list)
	n := 0
	for _, rec := range list.Items {
		n += len(rec.Value)
	}
	return n
}

// A claim costs one read and two writes, regardless of the number of concurrent
// claims.
func TestPlatformCallsPerClaim(t *testing.T) {
	t.Parallel()
	const claims, callers = 400, 16
	f := newClaimFleet(t, false)
	var work sync.WaitGroup
	for caller := range callers {
		work.Go(func() {
			for i := caller; i < claims; i += callers {
				f.one.Book(fmt.Sprintf("cost-%d", i), "{}")
			}
		})
	}
	work.Wait()
	require.NoError(t, procs.Await("the outcomes to be stored", func() bool {
		_, writes := claimCalls(f)
		return writes >= 2*claims
	}))
	reads, writes := claimCalls(f)
	testfleet.Figure("platform_reads_per_claim", float64(reads)/claims, "calls")
	testfleet.Figure("platform_writes_per_claim", float64(writes)/claims, "calls")
	testfleet.Figure("platform_calls_per_claim", float64(reads+writes)/claims, "calls")
	testfleet.Figure("claim_stored_bytes", float64(storedClaimBytes(f))/claims, "bytes")
	require.LessOrEqual(t, reads, claims)
	// Concurrent writes to one page conflict; each conflict costs at most two calls.
	require.LessOrEqual(t, writes, 2*claims+claims/100)
	f.Stop()
}

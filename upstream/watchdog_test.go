package upstream

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A silent call goes on until it is certain that another one is made in its place.
func TestWatchdogEndsACallWithoutAnAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mayEnd atomic.Bool
		w := newWatchdog(t.Context(), time.Second, mayEnd.Load)
		defer w.stop()
		time.Sleep(time.Minute)
		require.False(t, w.expired())
		require.NoError(t, w.ctx.Err())
		w.reset(time.Second)
		mayEnd.Store(true)
		time.Sleep(time.Second - time.Nanosecond)
		require.False(t, w.expired(), "data has come")
		time.Sleep(time.Nanosecond + silencePoll)
		synctest.Wait()
		require.True(t, w.expired())
		require.Error(t, w.ctx.Err())
	})
}

// Data that comes while the watchdog asks keeps the call alive.
func TestWatchdogEndsACallWhoseDataHasJustCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current atomic.Pointer[watchdog]
		var asked atomic.Int32
		w := newWatchdog(t.Context(), time.Second, func() bool {
			if asked.Add(1) == 1 {
				current.Load().reset(time.Second)
			}
			return true
		})
		current.Store(w)
		defer w.stop()
		time.Sleep(2*time.Second - time.Nanosecond)
		synctest.Wait()
		require.False(t, w.expired())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		require.True(t, w.expired())
	})
}

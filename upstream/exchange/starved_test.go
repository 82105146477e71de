package exchange_test

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/upstream/exchange"
)

const (
	// dialAddress is the variable with the address to which the process of
	// TestDialsUntilKilled connects again and again.
	dialAddress = "JAYLINK_TEST_DIAL"
	// freezes is how often that process is stopped, each time for longer than the dial timeout.
	freezes    = 8
	freezeTime = 600 * time.Millisecond
)

// TestDialsUntilKilled is the process of TestStarvedProcessGivesUpOpenConnections.
func TestDialsUntilKilled(t *testing.T) {
	address := os.Getenv(dialAddress)
	for n := 0; address != ""; n++ {
		if err := exchange.DialAndReset(t.Context(), address); err != nil {
			fmt.Println("dial failed:", err)
		}
		if n == 0 {
			fmt.Println("connected")
		}
	}
}

// A process is stopped while it connects. The kernel has connected meanwhile, so that the connection
// is used.
func TestStarvedProcessGivesUpOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	defer func() {
		require.NoError(t, l.Close())
		<-done
	}()
	t.Setenv(dialAddress, l.Addr().String())
	group := procs.NewGroup(os.Args[0])
	defer group.Kill()
	p, err := group.Start("dialing", "-test.run=^TestDialsUntilKilled$")
	require.NoError(t, err)
	require.NoError(t, procs.Await("the first connection", func() bool { return p.Log() != "" }))
	for range freezes {
		require.NoError(t, p.Freeze())
		time.Sleep(freezeTime)
		require.NoError(t, p.Signal(syscall.SIGCONT))
		// It connects some more before it is stopped again.
		time.Sleep(20 * time.Millisecond)
	}
	require.NotContains(t, p.Log(), "failed")
}

func TestStepsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, ended := time.Now(), time.Time{}
		exchange.AfterSteps(10, time.Second, func() { ended = time.Now() })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 10*time.Second, ended.Sub(began))

		called := false
		stop := exchange.AfterSteps(10, time.Second, func() { called = true })
		time.Sleep(9500 * time.Millisecond)
		stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.False(t, called)
	})
}

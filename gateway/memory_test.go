package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// startSmallEntry starts a gateway with little memory for bodies.
func (d *deployment) startSmallEntry(name string) *entry {
	e := d.newEntryWith(name, 8)
	require.NoError(d.t, e.Start(d.t.Context()))
	d.t.Cleanup(func() { e.stop(d.t) })
	eventually(d.t, func() bool { return e.ready() })
	return e
}

// smallBudget is the memory for bodies, and also for answers, of an entry with 8 MB.
const smallBudget = 1 << 20

// An upstream answers many requests with bytes without end. Together they must not take more
// memory than an entry has for answers, and requests to a sound service beside must be served.
func TestAnswersWithoutEndUseUpTheMemory(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{"body": upstream.EndlessBody, "event": upstream.EndlessEvent} {
		t.Run(name, func(t *testing.T) {
			const requests = 40
			d := newDeployment(t)
			d.configure()
			endlessService, soundService := counterService, engineService
			call, sound := plainCall("order", ""), streamCall("once", "")
			if fault == upstream.EndlessEvent {
				endlessService, soundService = engineService, counterService
				call, sound = streamCall("once", ""), plainCall("order", "")
			}
			d.upstream("i-endless", endlessService).SetFault(fault)
			d.upstream("i-sound", soundService)
			e := d.startSmallEntry("entry-1")
			var endless sync.WaitGroup
			for n := range requests {
				endless.Go(func() {
					c := call
					c.ID, c.Deadline = fmt.Sprintf("e-%d", n), time.Second
					a := e.send(t, c)
					require.True(t, a.err != nil || a.status != http.StatusOK, "a cut answer looks whole")
				})
			}
			for n := range requests {
				c := sound
				c.ID = fmt.Sprintf("s-%d", n)
				a := e.send(t, c)
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
				require.LessOrEqual(t, e.AnswerMemory(), int64(smallBudget))
			}
			endless.Wait()
			eventually(t, func() bool { return e.AnswerMemory() == 0 })
		})
	}
}

// slowBody is a body that never ends after its first bytes.
type slowBody struct {
	io.Reader
	end chan struct{}
}

// inStep is an empty reader that ends once all others have been reached.
type inStep struct{ reached *sync.WaitGroup }

func (s inStep) Read([]byte) (int, error) {
	s.reached.Done()
	s.reached.Wait()
	return 0, io.EOF
}

func (b *slowBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.end
	return 0, io.EOF
}

// Callers send large bodies slowly and in step, so that these take all memory for bodies. A
// further large one is refused as not run, at once; small ones are served.
func TestSlowBodiesUseUpTheMemory(t *testing.T) {
	d := newDeployment(t)
	d.maxBody, d.timeout = 400<<10, time.Minute
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startSmallEntry("entry-1")
	end := make(chan struct{})
	var slow, middle sync.WaitGroup
	middle.Add(8)
	for n := range 8 {
		slow.Go(func() {
			c := plainCall("order", fmt.Sprintf("slow-%d", n))
			c.Deadline = time.Minute
			req, err := c.Request(t.Context(), e.settings.Front)
			require.NoError(t, err)
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", 120<<10)), inStep{&middle}, strings.NewReader(strings.Repeat("x", 80<<10)))
			req.Body, req.ContentLength = io.NopCloser(&slowBody{body, end}), -1
			resp, err := e.client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	eventually(t, func() bool { return e.BodyMemory() > smallBudget/2 })
	large := plainCall("order", "large")
	large.Body = strings.Repeat("x", 390<<10)
	eventually(t, func() bool {
		large.ID += "+"
		a := e.send(t, large)
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && strings.Contains(a.body, "memory_full")
	})
	require.LessOrEqual(t, e.BodyMemory(), int64(smallBudget))
	for n := range 10 {
		require.Equal(t, http.StatusOK, e.send(t, plainCall("order", fmt.Sprintf("small-%d", n))).status)
	}
	close(end)
	slow.Wait()
	eventually(t, func() bool { return e.BodyMemory() == 0 })
}

package plannedstop

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
)

var (
	entryCount     = flag.Int("entries", 3, "number of gateways")
	callerCount    = flag.Int("callers", 12, "number of callers, each of which sends one request at a time")
	length         = flag.Duration("length", 12*time.Second, "how long requests are sent")
	seed           = flag.Uint64("seed", 1, "seed of the schedule")
	maxPause       = flag.Duration("pause", 100*time.Millisecond, "longest pause of a caller between two requests")
	stopGap        = flag.Duration("gap", 700*time.Millisecond, "time between two stops")
	maxFreeze      = flag.Duration("freeze", 0, "longest time for which entries get no processor time, again and again; 0 means never")
	keptInRotation = flag.Duration("rotation", 2500*time.Millisecond, "how long callers use an entry after SIGTERM")
)

const (
	grace = 8 * time.Second
	// lossSlack is the time after which a request that was sent in full and closed without an
	// answer counts as lost, whether it has run or not.
	lossSlack = 200 * time.Millisecond
	// stoppedTogether is how many entries are stopped at once.
	stoppedTogether = 2
	// longestIdle is the longest idle time after which callers use a connection again: four
	// fifths of the idle timeout in the configuration of the stand-in.
	longestIdle = 12 * time.Second
)

// member is an entry of the fleet and what is done to it.
type member struct {
	*gatewayProcess
	mu sync.Mutex
	// signalled holds the times of SIGTERM.
	signalled []time.Time
	isOut     bool
	process   int
}

func (m *member) takeOut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isOut = true
}

// current returns the number of the member's process, and whether callers use it.
func (m *member) current() (process int, inRotation bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process, !m.isOut
}

// running returns the current process.
func (m *member) running() *procs.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Process
}

// renew brings the member back into rotation with a new process.
func (m *member) renew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process++
	m.isOut = false
}

// sinceStop returns how long after the latest SIGTERM before it a moment is; negative if there
// was none.
func (m *member) sinceStop(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.signalled) - 1; i >= 0; i-- {
		if d := at.Sub(m.signalled[i]); d >= 0 {
			return d
		}
	}
	return -1
}

// exchange is what a caller saw of a request.
type exchange struct {
	id       string
	to       *member
	err      error
	wasKept  bool
	manner   manner
	sent     time.Time
	ended    time.Time
	finished int
}

// send sends requests until the time is over.
func send(name string, rng *rand.Rand, members []*member, until time.Time) []exchange {
	var seen []exchange
	kept := map[*member]*connection{}
	// process and lastUsed are those of each connection that is kept.
	process, lastUsed := map[*member]int{}, map[*member]time.Time{}
	defer func() {
		for _, c := range kept {
			_ = c.Close()
		}
	}()
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(*maxPause))))
		m := members[rng.IntN(len(members))]
		p, inRotation := m.current()
		if !inRotation {
			continue
		}
		c, wasKept := kept[m], true
		if c != nil && (process[m] != p || time.Since(lastUsed[m]) > longestIdle) {
			// The caller has seen the end of the connection, or may see it soon.
			_ = c.Close()
			c = nil
		}
		if c == nil {
			var err error
			if c, err = dial(m.front()); err != nil {
				continue
			}
			wasKept = false
		}
		delete(kept, m)
		e := exchange{id: fmt.Sprintf("%s-%d", name, n), to: m, wasKept: wasKept, manner: manner(n) % manners}
		route := []string{"order", "status", "once"}[rng.IntN(3)]
		size := []int{0, 2 << 10, 8 << 10, 60 << 10}[rng.IntN(4)]
		req, err := c.request(route, e.id, size)
		if err == nil {
			err = c.sendAs(e.manner, req)
		}
		if err != nil {
			// The request crossed the close of the connection.
			_ = c.Close()
			continue
		}
		e.sent = time.Now()
		var isKept bool
		e.finished, isKept, e.err = c.answer()
		e.ended = time.Now()
		seen = append(seen, e)
		if e.err == nil && isKept {
			kept[m], process[m], lastUsed[m] = c, p, e.ended
			continue
		}
		_ = c.Close()
	}
	return seen
}

// roll stops entries and starts them again, sends SIGHUP to others, and writes configurations.
func roll(t *testing.T, s *site, members []*member, until time.Time) {
	var restarts sync.WaitGroup
	for next := 0; time.Now().Before(until); next += stoppedTogether {
		s.replaceUpstream(next / stoppedTogether)
		for i := range stoppedTogether {
			m := members[(next+i)%len(members)]
			if _, inRotation := m.current(); !inRotation || !m.isReady() {
				continue
			}
			restarts.Go(func() { restart(t, s, m) })
			hangup := members[(next+i+len(members)/2)%len(members)]
			if hangup != m && hangup.isReady() {
				_ = hangup.Signal(syscall.SIGHUP)
			}
		}
		s.configure()
		time.Sleep(*stopGap)
	}
	restarts.Wait()
}

// restart stops an entry as planned and starts it again.
func restart(t *testing.T, s *site, m *member) {
	m.mu.Lock()
	if m.isOut {
		m.mu.Unlock()
		return
	}
	m.signalled = append(m.signalled, time.Now())
	m.mu.Unlock()
	if err := m.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
	time.Sleep(*keptInRotation)
	m.takeOut()
	<-m.Done()
	m.mu.Lock()
	err := s.start(m.gatewayProcess)
	m.mu.Unlock()
	if err != nil {
		t.Errorf("start: %v", err)
	}
	for !m.isReady() {
		time.Sleep(20 * time.Millisecond)
	}
	m.renew()
}

// starve takes an entry's processor time away for a while, again and again.
func starve(rng *rand.Rand, m *member, until time.Time) {
	for *maxFreeze > 0 && time.Now().Before(until) {
		time.Sleep(time.Duration(rng.Int64N(int64(*maxFreeze))))
		p := m.running()
		// The process may have ended already; that is not an error here.
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rng.Int64N(int64(*maxFreeze))))
		_ = p.Signal(syscall.SIGCONT)
	}
}

// Entries are stopped in turn and started again, get SIGHUP and configurations, while callers
// send on connections that they keep. No request that an upstream has run is closed without
// its whole answer.
func TestRollingStopsCutOffWhatWasPassedOn(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1")
	s := newSite(t)
	for n := range max(4, *entryCount/4) {
		s.upstream(t, engineService, time.Duration(50+100*(n%4))*time.Millisecond)
		s.upstream(t, plainService, 30*time.Millisecond)
	}
	var members []*member
	for range *entryCount {
		members = append(members, &member{gatewayProcess: s.gateway(t)})
	}
	for _, m := range members {
		m.awaitReady(t)
	}
	until := time.Now().Add(*length)
	var mu sync.Mutex
	var all []exchange
	var callers sync.WaitGroup
	for n := range *callerCount {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(*seed, uint64(n)))
			seen := send(fmt.Sprintf("c%d", n), rng, members, until)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, seen...)
		})
	}
	var starving sync.WaitGroup
	for n, m := range members {
		starving.Go(func() { starve(rand.New(rand.NewPCG(*seed, uint64(*callerCount+n))), m, until) })
	}
	roll(t, s, members, until)
	callers.Wait()
	starving.Wait()
	judge(t, s, all)
}

// judge fails the test for requests that ran and were closed without an answer, except for those
// that were cut off at the end of the grace time, and logs what else was closed.
func judge(t *testing.T, s *site, all []exchange) {
	t.Helper()
	ran := map[string]bool{}
	for _, up := range s.ups {
		for _, r := range up.Runs() {
			ran[r.RequestID] = true
		}
	}
	var lost []string
	crossed, late, statuses := 0, 0, map[int]int{}
	var times []time.Duration
	for _, e := range all {
		times = append(times, e.ended.Sub(e.sent))
		if e.err == nil {
			statuses[e.finished]++
			continue
		}
		took, stop := e.ended.Sub(e.sent), e.to.sinceStop(e.sent)
		what := fmt.Sprintf("%s (%v) kept=%v ran=%v sent %v after SIGTERM, closed after %v: %v", e.id, e.manner, e.wasKept, ran[e.id], stop, took, e.err)
		switch {
		case ran[e.id] && stop >= 0 && stop <= 3*time.Second && stop+took >= grace*5/6:
			t.Log("at the end of the grace time: ", what)
		case ran[e.id]:
			lost = append(lost, what)
		case took > lossSlack:
			late++
			t.Log("late: ", what)
		default:
			crossed++
			t.Log("crossed: ", what)
		}
	}
	t.Logf("%d requests, statuses %v, closed without an answer: %d ran, %d had not run and were closed late, %d crossed the close; times %s",
		len(all), statuses, len(lost), late, crossed, quantiles(times))
	require.Empty(t, lost)
	require.Positive(t, statuses[http.StatusOK])
}

// quantiles describes how long answers took.
func quantiles(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	slices.Sort(d)
	at := func(q int) time.Duration { return d[(len(d)-1)*q/100].Round(time.Millisecond) }
	return fmt.Sprintf("median %v, 95%% %v, longest %v", at(50), at(95), at(100))
}

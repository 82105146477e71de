package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"jaylink/decision/claim"
	"jaylink/hosting"
	"jaylink/objects"
)

// kindClaimPage is the object kind of claim pages.
const kindClaimPage = "ClaimPage"

// claimCallTimeout bounds one call to the platform for a claim page.
const claimCallTimeout = 2 * time.Second

// claimStore runs the state machines of the claim pages that this entry is
// working on. It makes their calls to the platform and reports the results to
// the requests.
type claimStore struct {
	platform *hosting.Client
	log      *slog.Logger
	ctx      context.Context
	work     *sync.WaitGroup

	mu        sync.Mutex
	pages     map[string]*claimPage
	callbacks map[string]func(claim.SettleAction) // by operation ID
	// pending is the number of operations that are not stored yet; idle is
	// closed while it is 0.
	pending int
	idle    chan struct{}
}

type claimPage struct {
	name   string
	writer *claim.Writer
	timer  *time.Timer
}

func newClaimStore(ctx context.Context, work *sync.WaitGroup, platform *hosting.Client, log *slog.Logger) *claimStore {
	s := &claimStore{
		platform: platform, log: log, ctx: ctx, work: work,
		pages: map[string]*claimPage{}, callbacks: map[string]func(claim.SettleAction){}, idle: make(chan struct{}),
	}
	close(s.idle)
	return s
}

// submit starts an operation and returns at once. done is called with the
// result from another goroutine.
func (s *claimStore) submit(id string, op claim.Op, done func(claim.SettleAction)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callbacks[id] = done
	name := claim.PageName(op.Claim.Key)
	p := s.pages[name]
	if p == nil {
		p = &claimPage{name: name, writer: claim.NewWriter()}
		s.pages[name] = p
	}
	s.step(p, claim.Submit{ID: id, Op: op})
}

// pendingOps returns the number of operations that are not stored yet and a
// channel that is closed once there are none.
func (s *claimStore) pendingOps() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending, s.idle
}

func (s *claimStore) handleEvent(p *claimPage, ev claim.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(p, ev)
}

// step passes an event to the state machine of a page and executes the
// resulting actions. The caller must hold s.mu.
func (s *claimStore) step(p *claimPage, ev claim.Event) {
	before := p.writer.Pending()
	now := time.Now()
	for _, a := range p.writer.Step(now, ev) {
		s.execute(p, a)
	}
	s.addPending(p.writer.Pending() - before)
	if p.writer.Idle() {
		delete(s.pages, p.name)
	}
	if wake, ok := p.writer.NextWake(); ok {
		s.scheduleTick(p, max(wake.Sub(now), time.Millisecond))
	}
}

func (s *claimStore) addPending(delta int) {
	was := s.pending
	s.pending += delta
	switch {
	case was == 0 && s.pending > 0:
		s.idle = make(chan struct{})
	case was > 0 && s.pending == 0:
		close(s.idle)
	}
}

func (s *claimStore) scheduleTick(p *claimPage, wait time.Duration) {
	if p.timer != nil {
		p.timer.Reset(wait)
		return
	}
	p.timer = time.AfterFunc(wait, func() {
		if s.ctx.Err() == nil {
			s.handleEvent(p, claim.Tick{})
		}
	})
}

func (s *claimStore) execute(p *claimPage, a claim.Action) {
	switch a := a.(type) {
	case claim.ReadAction:
		s.work.Go(func() { s.handleEvent(p, s.readPage(p.name)) })
	case claim.WriteAction:
		s.work.Go(func() { s.handleEvent(p, s.writePage(p.name, a)) })
	case claim.SettleAction:
		done := s.callbacks[a.ID]
		delete(s.callbacks, a.ID)
		if done != nil {
			s.work.Go(func() { done(a) })
		}
	}
}

func (s *claimStore) readPage(name string) claim.Answer {
	ctx, cancel := context.WithTimeout(s.ctx, claimCallTimeout)
	defer cancel()
	rec, err := s.platform.Get(ctx, kindClaimPage, name)
	if errors.Is(err, objects.ErrNotFound) {
		return claim.Answer{Kind: claim.Found}
	}
	if err != nil {
		return s.callFailed("claim_read", name, err)
	}
	return s.decodePage(claim.Found, rec)
}

func (s *claimStore) writePage(name string, a claim.WriteAction) claim.Answer {
	value, err := json.Marshal(a.Page)
	if err != nil || len(value) > claim.MaxPage {
		s.log.Error("claim page can't be stored", "page", name, "step", "claim_write", "bytes", len(value), "err", err)
		return claim.Answer{Kind: claim.Refused}
	}
	ctx, cancel := context.WithTimeout(s.ctx, claimCallTimeout)
	defer cancel()
	var rec objects.Record
	if a.Base == 0 {
		rec, err = s.platform.Create(ctx, kindClaimPage, name, json.RawMessage(value))
	} else {
		rec, err = s.platform.Update(ctx, kindClaimPage, name, a.Base, json.RawMessage(value))
	}
	if current, ok := conflictingRecord(err); ok {
		return s.decodePage(claim.Conflict, current)
	}
	if err != nil {
		return s.callFailed("claim_write", name, err)
	}
	return claim.Answer{Kind: claim.Written, Version: rec.Version}
}

func (s *claimStore) callFailed(step, name string, err error) claim.Answer {
	s.log.Warn("platform call for claim page failed", "page", name, "step", step, "err", err)
	if errors.Is(err, objects.ErrUnavailable) {
		return claim.Answer{Kind: claim.Lost}
	}
	return claim.Answer{Kind: claim.Refused}
}

// decodePage decodes a stored page. A page that can't be decoded is not
// overwritten: requests with its keys are refused until the page has been
// repaired.
func (s *claimStore) decodePage(kind claim.AnswerKind, rec objects.Record) claim.Answer {
	a := claim.Answer{Kind: kind, Version: rec.Version}
	if rec.Version == 0 {
		return a
	}
	if err := json.Unmarshal(rec.Value, &a.Page); err != nil {
		s.log.Error("claim page can't be decoded", "page", rec.Name, "err", err)
		return claim.Answer{Kind: claim.Refused}
	}
	return a
}

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

// kindClaimPage is the kind of the objects that hold claims.
const kindClaimPage = "ClaimPage"

// claimCallTimeout bounds one call of the platform for a claim.
const claimCallTimeout = 2 * time.Second

// claimBook drives the pages of claims that this entry works on: it carries
// out their calls of the platform and tells the requests what came of them.
type claimBook struct {
	store *hosting.Client
	log   *slog.Logger
	ctx   context.Context
	work  *sync.WaitGroup

	mu      sync.Mutex
	pages   map[string]*claimPage
	waiting map[string]func(claim.SettleAction)
	// pending counts operations that are not stored; idle is closed while
	// there are none.
	pending int
	idle    chan struct{}
}

type claimPage struct {
	name   string
	writer *claim.Writer
	timer  *time.Timer
}

func newClaimBook(ctx context.Context, work *sync.WaitGroup, store *hosting.Client, log *slog.Logger) *claimBook {
	b := &claimBook{
		store: store, log: log, ctx: ctx, work: work,
		pages: map[string]*claimPage{}, waiting: map[string]func(claim.SettleAction){}, idle: make(chan struct{}),
	}
	close(b.idle)
	return b
}

// submit starts an operation and returns at once; done is called from another
// goroutine.
func (b *claimBook) submit(id string, op claim.Op, done func(claim.SettleAction)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[id] = done
	name := claim.PageName(op.Claim.Key)
	p := b.pages[name]
	if p == nil {
		p = &claimPage{name: name, writer: claim.NewWriter()}
		b.pages[name] = p
	}
	b.step(p, claim.Submit{ID: id, Op: op})
}

// stored returns the number of operations that are not stored yet and a
// channel that is closed once there are none.
func (b *claimBook) stored() (int, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending, b.idle
}

func (b *claimBook) event(p *claimPage, ev claim.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.step(p, ev)
}

// step passes an event to a page; the caller holds the lock.
func (b *claimBook) step(p *claimPage, ev claim.Event) {
	before := p.writer.Pending()
	now := time.Now()
	for _, a := range p.writer.Step(now, ev) {
		b.carryOut(p, a)
	}
	b.count(p.writer.Pending() - before)
	if p.writer.Idle() {
		delete(b.pages, p.name)
	}
	if wake, ok := p.writer.NextWake(); ok {
		b.schedule(p, max(wake.Sub(now), time.Millisecond))
	}
}

func (b *claimBook) count(delta int) {
	was := b.pending
	b.pending += delta
	switch {
	case was == 0 && b.pending > 0:
		b.idle = make(chan struct{})
	case was > 0 && b.pending == 0:
		close(b.idle)
	}
}

func (b *claimBook) schedule(p *claimPage, wait time.Duration) {
	if p.timer != nil {
		p.timer.Reset(wait)
		return
	}
	p.timer = time.AfterFunc(wait, func() {
		if b.ctx.Err() == nil {
			b.event(p, claim.Tick{})
		}
	})
}

func (b *claimBook) carryOut(p *claimPage, a claim.Action) {
	switch a := a.(type) {
	case claim.ReadAction:
		b.work.Go(func() { b.event(p, b.read(p.name)) })
	case claim.WriteAction:
		b.work.Go(func() { b.event(p, b.write(p.name, a)) })
	case claim.SettleAction:
		done := b.waiting[a.ID]
		delete(b.waiting, a.ID)
		if done != nil {
			b.work.Go(func() { done(a) })
		}
	}
}

func (b *claimBook) read(name string) claim.Answer {
	ctx, cancel := context.WithTimeout(b.ctx, claimCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, kindClaimPage, name)
	if errors.Is(err, objects.ErrNotFound) {
		return claim.Answer{Kind: claim.Found}
	}
	if err != nil {
		return b.failed("claim_read", name, err)
	}
	return b.decoded(claim.Found, rec)
}

func (b *claimBook) write(name string, a claim.WriteAction) claim.Answer {
	value, err := json.Marshal(a.Page)
	if err != nil || len(value) > claim.MaxPage {
		b.log.Error("claim page can't be stored", "page", name, "step", "claim_write", "bytes", len(value), "err", err)
		return claim.Answer{Kind: claim.Refused}
	}
	ctx, cancel := context.WithTimeout(b.ctx, claimCallTimeout)
	defer cancel()
	var rec objects.Record
	if a.Base == 0 {
		rec, err = b.store.Create(ctx, kindClaimPage, name, json.RawMessage(value))
	} else {
		rec, err = b.store.Update(ctx, kindClaimPage, name, a.Base, json.RawMessage(value))
	}
	if current, ok := errConflict(err); ok {
		return b.decoded(claim.Conflict, current)
	}
	if err != nil {
		return b.failed("claim_write", name, err)
	}
	return claim.Answer{Kind: claim.Written, Version: rec.Version}
}

func (b *claimBook) failed(step, name string, err error) claim.Answer {
	b.log.Warn("claim page can't be reached", "page", name, "step", step, "err", err)
	if errors.Is(err, objects.ErrUnavailable) {
		return claim.Answer{Kind: claim.Lost}
	}
	return claim.Answer{Kind: claim.Refused}
}

// decoded turns a stored page into an answer. A page that can't be read is left
// alone: its keys are refused until someone has looked at it.
func (b *claimBook) decoded(kind claim.AnswerKind, rec objects.Record) claim.Answer {
	a := claim.Answer{Kind: kind, Version: rec.Version}
	if rec.Version == 0 {
		return a
	}
	if err := json.Unmarshal(rec.Value, &a.Page); err != nil {
		b.log.Error("claim page can't be decoded", "page", rec.Name, "err", err)
		return claim.Answer{Kind: claim.Refused}
	}
	return a
}

package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

// modelStore models one page of the platform's store.
type modelStore struct {
	version uint64
	page    Page
}

// call is a call that an entry made to the store. A write may take effect at any time,
// even after its answer was lost or its entry was killed.
type call struct {
	entry    *modelEntry // nil once answered, or after the entry was killed
	write    *WriteAction
	executed bool
	answer   Answer
}

type modelEntry struct {
	name   string
	writer *Writer
	// won holds the requests that hold their key and were not dispatched; ran
	// holds those that were dispatched and have no recorded outcome.
	won, ran map[string]Claim
}

// claimSchedule runs several entries against one store with random faults, and
// checks that the request with each key runs at most once.
type claimSchedule struct {
	t         *rapid.T
	now       time.Time
	store     modelStore
	entries   []*modelEntry
	calls     []*call
	submitted int
	runs      map[string]string // maps a key to the request that ran
	failed    map[string]bool   // requests whose callers were told that they did not run
	killed    map[string]bool   // requests whose entry was killed while an operation was pending
}

func newSchedule(t *rapid.T) *claimSchedule {
	s := &claimSchedule{t: t, now: start, runs: map[string]string{}, failed: map[string]bool{}, killed: map[string]bool{}}
	for i := range 3 {
		s.entries = append(s.entries, newModelEntry(i))
	}
	return s
}

func newModelEntry(i int) *modelEntry {
	return &modelEntry{name: fmt.Sprintf("e%d", i), writer: NewWriter(), won: map[string]Claim{}, ran: map[string]Claim{}}
}

func (s *claimSchedule) entry() *modelEntry { return rapid.SampledFrom(s.entries).Draw(s.t, "entry") }

func (s *claimSchedule) step(e *modelEntry, ev Event) {
	for _, a := range e.writer.Step(s.now, ev) {
		switch a := a.(type) {
		case ReadAction:
			s.calls = append(s.calls, &call{entry: e})
		case WriteAction:
			s.calls = append(s.calls, &call{entry: e, write: &a})
		case SettleAction:
			s.handleSettled(e, a)
		}
	}
}

func (s *claimSchedule) handleSettled(e *modelEntry, a SettleAction) {
	c, ok := e.won[a.ID]
	if !ok {
		return // a record or release was settled
	}
	if a.Result != Won {
		delete(e.won, a.ID)
	}
	switch a.Result {
	case Won:
		c.Outcome = &Outcome{} // marks the claim as won for pick
		e.won[a.ID] = c
		if ran := s.runs[c.Key]; ran != "" {
			s.t.Fatalf("%s won key %s, which ran as %s", a.ID, c.Key, ran)
		}
	case Failed:
		s.failed[a.ID] = true
	case Done:
		if a.Claim.RequestID != s.runs[c.Key] {
			s.t.Fatalf("%s got the outcome of %s; the work ran as %s", a.ID, a.Claim.RequestID, s.runs[c.Key])
		}
	}
}

func (s *claimSchedule) submitClaim(*rapid.T) {
	e := s.entry()
	s.submitted++
	id := fmt.Sprintf("r%d", s.submitted)
	c := Claim{
		Key: rapid.SampledFrom([]string{"k1", "k2"}).Draw(s.t, "key"), RequestID: id, Fingerprint: 1,
		Holder: e.name, Deadline: s.now.Add(time.Minute), Expires: s.now.Add(time.Hour),
	}
	e.won[id] = c
	s.step(e, Submit{ID: id, Op: Op{Kind: OpClaim, Claim: c}})
}

// pick chooses one of the requests whose claim was won, or, if won is false, not
// won yet. It returns "" if there is none.
func (s *claimSchedule) pick(requests map[string]Claim, won bool) string {
	var ids []string
	for i := range s.submitted {
		id := fmt.Sprintf("r%d", i+1)
		if c, ok := requests[id]; ok && (c.Outcome != nil) == won {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(s.t, "request")
}

func (s *claimSchedule) dispatch(*rapid.T) {
	e := s.entry()
	id := s.pick(e.won, true)
	if id == "" {
		return
	}
	c := e.won[id]
	if ran := s.runs[c.Key]; ran != "" {
		s.t.Fatalf("key %s ran as %s and as %s", c.Key, ran, id)
	}
	s.runs[c.Key] = id
	delete(e.won, id)
	e.ran[id] = c
}

func (s *claimSchedule) record(*rapid.T) {
	e := s.entry()
	id := s.pick(e.ran, true)
	if id == "" {
		return
	}
	c := e.ran[id]
	delete(e.ran, id)
	s.step(e, Submit{ID: id + "/end", Op: Op{Kind: OpRecord, Claim: c}})
}

func (s *claimSchedule) release(*rapid.T) {
	e := s.entry()
	id := s.pick(e.won, true)
	if id == "" {
		return
	}
	c := e.won[id]
	delete(e.won, id)
	s.step(e, Submit{ID: id + "/end", Op: Op{Kind: OpRelease, Claim: c}})
}

func (s *claimSchedule) killEntry(*rapid.T) {
	i := rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "killed")
	// If an entry is killed before it releases a failed claim, the key remains
	// taken.
	for _, p := range s.entries[i].writer.ops {
		s.killed[p.id] = true
	}
	for _, c := range s.calls {
		if c.entry == s.entries[i] {
			c.entry = nil
		}
	}
	s.entries[i] = newModelEntry(i)
}

func (s *claimSchedule) pickCall(want func(*call) bool) *call {
	var list []*call
	for _, c := range s.calls {
		if want(c) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(s.t, "call")]
}

// execute runs a call on the store.
func (s *claimSchedule) execute(c *call) {
	c.executed = true
	switch {
	case c.write == nil:
		c.answer = Answer{Kind: Found, Version: s.store.version, Page: s.store.page.clone()}
	case c.write.Base == s.store.version:
		s.store = modelStore{version: s.store.version + 1, page: c.write.Page.clone()}
		c.answer = Answer{Kind: Written, Version: s.store.version}
	default:
		c.answer = Answer{Kind: Conflict, Version: s.store.version, Page: s.store.page.clone()}
	}
}

func (s *claimSchedule) executeCall(*rapid.T) {
	if c := s.pickCall(func(c *call) bool { return !c.executed }); c != nil {
		s.execute(c)
	}
}

func (s *claimSchedule) deliverAnswer(*rapid.T) {
	if c := s.pickCall(func(c *call) bool { return c.executed && c.entry != nil }); c != nil {
		e := c.entry
		c.entry = nil
		s.step(e, c.answer)
	}
}

func (s *claimSchedule) loseAnswer(*rapid.T) {
	if c := s.pickCall(func(c *call) bool { return c.entry != nil }); c != nil {
		e := c.entry
		c.entry = nil
		s.step(e, Answer{Kind: Lost})
	}
}

func (s *claimSchedule) advanceTime(*rapid.T) {
	s.now = s.now.Add(time.Second)
	for _, e := range s.entries {
		s.step(e, Tick{})
	}
}

// settleAll runs and answers all calls without further faults, until no
// operation is pending.
func (s *claimSchedule) settleAll() {
	for range 1000 {
		for _, c := range s.calls {
			if !c.executed {
				s.execute(c)
			}
			if e := c.entry; e != nil {
				c.entry = nil
				s.step(e, c.answer)
			}
		}
		s.advanceTime(s.t)
		idle := true
		for _, e := range s.entries {
			idle = idle && e.writer.Pending() == 0 && !e.writer.inFlight
		}
		if idle {
			return
		}
	}
	s.t.Fatal("operations are not settled although every call is answered")
}

// checkSettled checks the invariants that hold when no operation is pending.
func (s *claimSchedule) checkSettled() {
	for _, c := range s.store.page.Claims {
		if s.failed[c.RequestID] && !s.killed[c.RequestID] {
			s.t.Fatalf("the key of %s, which failed, is still taken", c.RequestID)
		}
	}
	for key, id := range s.runs {
		found := false
		for _, c := range s.store.page.Claims {
			found = found || c.Key == key && c.RequestID == id
		}
		if !found {
			s.t.Fatalf("the claim of %s, which ran, is gone", id)
		}
	}
}

func TestSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	schedule.Check(t, 4, "random_store_schedules", func(t *rapid.T) {
		s := newSchedule(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim": s.submitClaim, "dispatch": s.dispatch, "record": s.record, "release": s.release,
			"execute": s.executeCall, "execute2": s.executeCall, "answer": s.deliverAnswer, "answer2": s.deliverAnswer,
			"lose": s.loseAnswer, "pass": s.advanceTime, "kill": s.killEntry,
		})
		s.settleAll()
		s.checkSettled()
	})
}

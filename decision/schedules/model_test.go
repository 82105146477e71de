package schedules

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/claim"
	"jaylink/decision/config"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
	"jaylink/kernel"
	"jaylink/plugin/standard"
)

const objects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10s, queue_length: 4}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true, max_attempts: 4}
---
kind: Upstream
name: u1
labels: {pool: desk}
spec: {address: "127.0.0.1:1", protocol: http, availability_zone: a, region: r, slots: 2}
---
kind: Upstream
name: u2
labels: {pool: desk}
spec: {address: "127.0.0.1:2", protocol: http, availability_zone: b, region: r, slots: 2}
`

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// poisonPrint is the fingerprint of the request that crashes its upstreams.
const poisonPrint = 666

// request is what the model knows about one request.
type request struct {
	id, key    string
	print      uint64
	idempotent bool
	entry      *entry
	// runs counts executions; told is the final action, nil so far.
	runs int
	told decision.Action
}

// attempt is one dispatch. An upstream that was given it may run it at any
// later time, unless it refused it.
type attempt struct {
	action decision.DispatchAction
	entry  *entry // nil once its end was told, or the entry died
	given  bool
	ran    bool
	closed bool // it will never run any more
}

// entry is one entry process of the model.
type entry struct {
	number   int
	core     *decision.Core
	writer   *claim.Writer
	config   *config.State
	draining bool
	leaving  map[string]bool
	// inForce is the version of each object in force.
	inForce map[api.Key]uint64
	// crashes are those of the poison request that the entry was told of.
	crashes map[string]bool
}

// storeCall is a call of the store for the page of claims.
type storeCall struct {
	entry    *entry // nil once answered, or the entry died
	write    *claim.WriteAction
	executed bool
	answer   claim.Answer
}

// fleet is the whole model: entries, their store and upstreams.
type fleet struct {
	t        *rapid.T
	now      time.Time
	entries  []*entry
	requests map[string]*request
	order    []*request
	attempts []*attempt

	page    claim.Page
	version uint64
	calls   []*storeCall

	// history has every version of the configuration's objects.
	history []*api.Object
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: start, requests: map[string]*request{}}
	sources, err := api.DecodeYAML("objects.yaml", []byte(objects))
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range sources {
		s.Object.Version = uint64(i + 1)
		f.history = append(f.history, s.Object)
	}
	for i := range 3 {
		f.entries = append(f.entries, f.newEntry(i))
	}
	return f
}

func (f *fleet) newEntry(number int) *entry {
	cfg := decision.Config{Zone: "a", Region: "r"}
	for _, id := range standard.Order {
		m, err := kernel.Load(id, nil)
		if err == nil {
			err = standard.Add(&cfg, m)
		}
		if err != nil {
			f.t.Fatal(err)
		}
	}
	e := &entry{
		number: number, core: decision.New(cfg), writer: claim.NewWriter(), config: config.New(),
		leaving: map[string]bool{}, inForce: map[api.Key]uint64{}, crashes: map[string]bool{},
	}
	for _, o := range f.history[:5] {
		f.learn(e, o)
	}
	return e
}

// learn gives an entry one version of an object, in whatever order they come.
func (f *fleet) learn(e *entry, o *api.Object) {
	e.config.Put(o)
	catalog := api.NewCatalog(e.config.Objects())
	for _, in := range e.config.Objects() {
		if in.Version < e.inForce[in.Key()] {
			f.t.Fatalf("guarantee 7: %s went back from version %d to %d", in.Key(), e.inForce[in.Key()], in.Version)
		}
		e.inForce[in.Key()] = in.Version
	}
	var leaving []string
	for name, yes := range e.leaving {
		if yes {
			leaving = append(leaving, name)
		}
	}
	f.step(e, decision.ConfigEvent{Catalog: catalog, Leaving: leaving})
}

func (f *fleet) step(e *entry, ev decision.Event) {
	for _, a := range e.core.Step(f.now, ev) {
		f.carryOut(e, a)
	}
}

func (f *fleet) carryOut(e *entry, a decision.Action) {
	switch a := a.(type) {
	case decision.ClaimAction:
		f.claim(e, f.requests[a.ID])
	case decision.DispatchAction:
		f.dispatched(e, a)
	case decision.CancelAction:
		f.canceled(e, a.ID)
	case decision.CrashAction:
		for _, other := range f.entries {
			if a.Crash.Fingerprint == poisonPrint {
				other.crashes[fmt.Sprint(a.Crash.Upstream, a.Crash.At)] = true
			}
			if other != e {
				f.step(other, decision.CrashEvent(a))
			}
		}
	case decision.FinishAction:
		f.final(a.ID, a)
		f.endClaim(e, f.requests[a.ID], claim.OpRecord)
	case decision.ReplayAction:
		f.final(a.ID, a)
	case decision.RefuseAction:
		f.final(a.ID, a)
		kind := claim.OpRecord
		if a.Ran == reason.RanNo {
			kind = claim.OpRelease
		}
		f.endClaim(e, f.requests[a.ID], kind)
	}
}

func (f *fleet) final(id string, a decision.Action) {
	r := f.requests[id]
	if r.told != nil {
		f.t.Fatalf("guarantee 2: %s got two final actions: %#v and %#v", id, r.told, a)
	}
	r.told = a
	f.judge(r)
}

// judge compares what a caller was told with what ran.
func (f *fleet) judge(r *request) {
	switch a := r.told.(type) {
	case decision.FinishAction:
		if r.runs == 0 {
			f.t.Fatalf("guarantee 2: %s was answered and never ran", r.id)
		}
	case decision.RefuseAction:
		if a.Ran == reason.RanNo && r.runs > 0 {
			f.t.Fatalf("guarantee 3: %s was told that it did not run (%s), but it did", r.id, a.Reason)
		}
		own := a.Reason != reason.OutcomeNotKept // which is about an earlier request
		if a.Ran == reason.RanYes && own && r.runs == 0 {
			f.t.Fatalf("guarantee 3: %s was told that it ran (%s), but it did not", r.id, a.Reason)
		}
	}
}

func (f *fleet) dispatched(e *entry, a decision.DispatchAction) {
	if e.leaving[a.Upstream] {
		f.t.Fatalf("guarantee 5: %s was sent to %s, which is leaving", a.ID, a.Upstream)
	}
	if f.requests[a.ID].told != nil {
		f.t.Fatalf("guarantee 2: %s was dispatched after its final action", a.ID)
	}
	if f.requests[a.ID].print == poisonPrint && len(e.crashes) >= poison.HardLimit {
		f.t.Fatalf("%s was dispatched after %d crashes that the entry knew of", a.ID, len(e.crashes))
	}
	f.attempts = append(f.attempts, &attempt{action: a, entry: e})
}

func (f *fleet) canceled(e *entry, id string) {
	for _, at := range f.attempts {
		if at.entry == e && at.action.ID == id {
			f.end(at, decision.OutcomeCanceled, f.knownRan(at))
		}
	}
}

// knownRan is what the end of an attempt without an answer proves.
func (f *fleet) knownRan(at *attempt) reason.Ran {
	if !at.given {
		at.closed = true
		return reason.RanNo
	}
	return reason.RanUnknown
}

// end tells an attempt's entry how it ended.
func (f *fleet) end(at *attempt, o decision.Outcome, ran reason.Ran) {
	f.endCrashed(at, o, ran, false)
}

func (f *fleet) endCrashed(at *attempt, o decision.Outcome, ran reason.Ran, crashed bool) {
	e := at.entry
	at.entry = nil
	f.step(e, decision.AttemptEvent{
		ID: at.action.ID, Attempt: at.action.Attempt, Upstream: at.action.Upstream,
		Outcome: o, Ran: ran, Crashed: crashed,
	})
}

// run lets an upstream run an attempt that it was given.
func (f *fleet) run(at *attempt) {
	r := f.requests[at.action.ID]
	at.ran = true
	r.runs++
	f.judge(r)
	if r.idempotent {
		return
	}
	if r.runs > 1 {
		f.t.Fatalf("guarantee 4: %s ran twice", r.id)
	}
	for _, other := range f.order {
		if other != r && r.key != "" && other.key == r.key && other.runs > 0 && !other.idempotent {
			f.t.Fatalf("guarantee 4: key %s ran as %s and as %s", r.key, other.id, r.id)
		}
	}
}

func (f *fleet) newClaim(r *request) claim.Claim {
	return claim.Claim{
		Key: r.key, RequestID: r.id, Fingerprint: r.print, Holder: fmt.Sprint(r.entry.number),
		Deadline: f.now.Add(time.Minute), Expires: f.now.Add(24 * time.Hour),
	}
}

func (f *fleet) claim(e *entry, r *request) {
	f.stepWriter(e, claim.Submit{ID: r.id, Op: claim.Op{Kind: claim.OpClaim, Claim: f.newClaim(r)}})
}

func (f *fleet) endClaim(e *entry, r *request, kind claim.OpKind) {
	if r.key == "" || r.idempotent {
		return
	}
	c := f.newClaim(r)
	c.Outcome = &claim.Outcome{Unknown: r.runs == 0}
	f.stepWriter(e, claim.Submit{ID: r.id + "/end", Op: claim.Op{Kind: kind, Claim: c}})
}

func (f *fleet) stepWriter(e *entry, ev claim.Event) {
	for _, a := range e.writer.Step(f.now, ev) {
		switch a := a.(type) {
		case claim.ReadAction:
			f.calls = append(f.calls, &storeCall{entry: e})
		case claim.WriteAction:
			f.calls = append(f.calls, &storeCall{entry: e, write: &a})
		case claim.SettleAction:
			f.settled(e, a)
		}
	}
}

// results maps what became of a claim to the core's event.
var results = map[claim.Result]decision.ClaimResult{
	claim.Won: decision.ClaimWon, claim.Done: decision.ClaimDone, claim.Held: decision.ClaimHeld,
	claim.Mismatch: decision.ClaimMismatch, claim.Failed: decision.ClaimFailed,
}

func (f *fleet) settled(e *entry, a claim.SettleAction) {
	result, ok := results[a.Result]
	if _, known := f.requests[a.ID]; !ok || !known {
		return // the end of a record or release
	}
	if a.Result == claim.Done && a.Claim.Outcome.Unknown {
		result = decision.ClaimLost
	}
	f.step(e, decision.ClaimEvent{ID: a.ID, Result: result})
}

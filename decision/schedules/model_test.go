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

const initialObjects = `
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

// poisonFingerprint is the fingerprint of the request that crashes its upstreams.
const poisonFingerprint = 666

// request is the model's record of one request.
type request struct {
	id, key     string
	fingerprint uint64
	idempotent  bool
	entry       *entry
	// runs counts the executions by upstreams.
	runs int
	// final is the final action reported to the caller, nil until then.
	final decision.Action
}

// attempt is one dispatch of a request. An upstream to which it was delivered may
// run it at any later time unless it refused it, even if no entry waits for the
// result any more.
type attempt struct {
	action    decision.DispatchAction
	entry     *entry // nil once the entry has its outcome or was terminated
	delivered bool
	ran       bool
	cannotRun bool // the upstream will never run it
}

// entry is one entry (gateway process) of the model.
type entry struct {
	number   int
	core     *decision.Core
	claims   *claim.Writer
	config   *config.State
	draining bool
	leaving  map[string]bool
	// inForce is the version of each object in force.
	inForce map[api.Key]uint64
	// poisonCrashes are the crashes caused by the poison request that the
	// entry has learned of.
	poisonCrashes map[string]bool
}

// storeCall is a call to the store that reads or writes the page of claims.
type storeCall struct {
	entry    *entry             // nil once answered or the entry was terminated
	write    *claim.WriteAction // nil for a read
	executed bool
	answer   claim.Answer
}

// fleet is the model: the entries, their store and the attempts on upstreams.
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

	// history contains every version of the configuration objects.
	history []*api.Object
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: start, requests: map[string]*request{}}
	sources, err := api.DecodeYAML("objects.yaml", []byte(initialObjects))
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
		number: number, core: decision.New(cfg), claims: claim.NewWriter(), config: config.New(),
		leaving: map[string]bool{}, inForce: map[api.Key]uint64{}, poisonCrashes: map[string]bool{},
	}
	for _, o := range f.history[:5] {
		f.applyObject(e, o)
	}
	return e
}

// applyObject merges one version of an object into an entry's configuration.
// Versions may arrive in any order.
func (f *fleet) applyObject(e *entry, o *api.Object) {
	e.config.Put(o)
	catalog := api.NewCatalog(e.config.Objects())
	for _, in := range e.config.Objects() {
		if in.Version < e.inForce[in.Key()] {
			f.t.Fatalf("guarantee 7: %s reverted from version %d to %d", in.Key(), e.inForce[in.Key()], in.Version)
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
		f.perform(e, a)
	}
}

func (f *fleet) perform(e *entry, a decision.Action) {
	switch a := a.(type) {
	case decision.ClaimAction:
		f.claim(e, f.requests[a.ID])
	case decision.DispatchAction:
		f.recordDispatch(e, a)
	case decision.CancelAction:
		f.cancelAttempt(e, a.ID)
	case decision.CrashAction:
		for _, other := range f.entries {
			if a.Crash.Fingerprint == poisonFingerprint {
				other.poisonCrashes[fmt.Sprint(a.Crash.Upstream, a.Crash.At)] = true
			}
			if other != e {
				f.step(other, decision.CrashEvent(a))
			}
		}
	case decision.FinishAction:
		f.finish(a.ID, a)
		f.endClaim(e, f.requests[a.ID], claim.OpRecord)
	case decision.ReplayAction:
		f.finish(a.ID, a)
	case decision.RefuseAction:
		f.finish(a.ID, a)
		kind := claim.OpRecord
		if a.Ran == reason.RanNo {
			kind = claim.OpRelease
		}
		f.endClaim(e, f.requests[a.ID], kind)
	}
}

// finish records the final action of a request.
func (f *fleet) finish(id string, a decision.Action) {
	r := f.requests[id]
	if r.final != nil {
		f.t.Fatalf("guarantee 2: %s got two final actions: %#v and %#v", id, r.final, a)
	}
	r.final = a
	f.checkOutcome(r)
}

// checkOutcome compares the final action reported to the caller with the
// executions.
func (f *fleet) checkOutcome(r *request) {
	switch a := r.final.(type) {
	case decision.FinishAction:
		if r.runs == 0 {
			f.t.Fatalf("guarantee 2: %s was answered but never ran", r.id)
		}
	case decision.RefuseAction:
		if a.Ran == reason.RanNo && r.runs > 0 {
			f.t.Fatalf("guarantee 3: %s was reported as not run (%s), but it ran", r.id, a.Reason)
		}
		own := a.Reason != reason.OutcomeNotKept // refers to an earlier request with the key
		if a.Ran == reason.RanYes && own && r.runs == 0 {
			f.t.Fatalf("guarantee 3: %s was reported as run (%s), but it did not run", r.id, a.Reason)
		}
	}
}

func (f *fleet) recordDispatch(e *entry, a decision.DispatchAction) {
	if e.leaving[a.Upstream] {
		f.t.Fatalf("guarantee 5: %s was dispatched to %s, which is leaving", a.ID, a.Upstream)
	}
	if f.requests[a.ID].final != nil {
		f.t.Fatalf("guarantee 2: %s was dispatched after its final action", a.ID)
	}
	if f.requests[a.ID].fingerprint == poisonFingerprint && len(e.poisonCrashes) >= poison.HardLimit {
		f.t.Fatalf("%s was dispatched after %d crashes known to the entry", a.ID, len(e.poisonCrashes))
	}
	f.attempts = append(f.attempts, &attempt{action: a, entry: e})
}

func (f *fleet) cancelAttempt(e *entry, id string) {
	for _, at := range f.attempts {
		if at.entry == e && at.action.ID == id {
			f.endAttempt(at, decision.OutcomeCanceled, f.ranWithoutAnswer(at))
		}
	}
}

// ranWithoutAnswer returns what is known about the execution of an attempt that
// ended without an answer. An attempt that was not delivered will never run.
func (f *fleet) ranWithoutAnswer(at *attempt) reason.Ran {
	if !at.delivered {
		at.cannotRun = true
		return reason.RanNo
	}
	return reason.RanUnknown
}

// endAttempt reports the outcome of an attempt to its entry.
func (f *fleet) endAttempt(at *attempt, o decision.Outcome, ran reason.Ran) {
	f.endAttemptCrashed(at, o, ran, false)
}

func (f *fleet) endAttemptCrashed(at *attempt, o decision.Outcome, ran reason.Ran, crashed bool) {
	e := at.entry
	at.entry = nil
	f.step(e, decision.AttemptEvent{
		ID: at.action.ID, Attempt: at.action.Attempt, Upstream: at.action.Upstream,
		Outcome: o, Ran: ran, Crashed: crashed,
	})
}

// runAttempt makes an upstream run an attempt that was delivered to it.
func (f *fleet) runAttempt(at *attempt) {
	r := f.requests[at.action.ID]
	at.ran = true
	r.runs++
	f.checkOutcome(r)
	if r.idempotent {
		return
	}
	if r.runs > 1 {
		f.t.Fatalf("guarantee 4: %s ran twice", r.id)
	}
	for _, other := range f.order {
		if other != r && r.key != "" && other.key == r.key && other.runs > 0 && !other.idempotent {
			f.t.Fatalf("guarantee 4: key %s ran in request %s and in request %s", r.key, other.id, r.id)
		}
	}
}

func (f *fleet) newClaim(r *request) claim.Claim {
	return claim.Claim{
		Key: r.key, RequestID: r.id, Fingerprint: r.fingerprint, Holder: fmt.Sprint(r.entry.number),
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
	for _, a := range e.claims.Step(f.now, ev) {
		switch a := a.(type) {
		case claim.ReadAction:
			f.calls = append(f.calls, &storeCall{entry: e})
		case claim.WriteAction:
			f.calls = append(f.calls, &storeCall{entry: e, write: &a})
		case claim.SettleAction:
			f.claimSettled(e, a)
		}
	}
}

// claimResults maps the results of claims to those that the core is given.
var claimResults = map[claim.Result]decision.ClaimResult{
	claim.Won: decision.ClaimWon, claim.Done: decision.ClaimDone, claim.Held: decision.ClaimHeld,
	claim.Mismatch: decision.ClaimMismatch, claim.Failed: decision.ClaimFailed,
}

func (f *fleet) claimSettled(e *entry, a claim.SettleAction) {
	result, ok := claimResults[a.Result]
	if _, known := f.requests[a.ID]; !ok || !known {
		return // a record or release operation has ended
	}
	if a.Result == claim.Done && a.Claim.Outcome.Unknown {
		result = decision.ClaimLost
	}
	f.step(e, decision.ClaimEvent{ID: a.ID, Result: result})
}

package entry

import (
	"time"

	"jaylink/decision"
	"jaylink/decision/claim"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

const (
	// minClaimLife is how long a claim outlives its request at least.
	minClaimLife = time.Hour
	// holderSettle is how long an entry has to run before the silence of a
	// holder means that it is gone.
	holderSettle = 10 * time.Second
)

// startClaim claims the record's key. The result comes as a ClaimEvent.
func (e *Entry) startClaim(rec *Record) {
	c := e.newClaim(rec, time.Now())
	e.claims.submit(rec.ID, claim.Op{Kind: claim.OpClaim, Claim: c}, func(s claim.SettleAction) {
		result := e.claimResult(rec, s, time.Now())
		if result == decision.ClaimFailed {
			e.log.Warn("claim failed", "request_id", rec.ID, "step", "claim")
		}
		e.metrics.claim(result)
		e.driver.step(decision.ClaimEvent{ID: rec.ID, Result: result})
	})
}

// newClaim returns the claim of a record's key.
func (e *Entry) newClaim(rec *Record, now time.Time) claim.Claim {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	expires := now.Add(e.settings.Claims.Retention.Std())
	if least := rec.deadline.Add(minClaimLife); expires.Before(least) {
		expires = least
	}
	return claim.Claim{
		Key:         claim.Key(rec.customer, rec.service, rec.Call.Key),
		RequestID:   rec.ID,
		Fingerprint: rec.Fingerprint,
		Holder:      e.settings.Name,
		Incarnation: e.incarnation,
		Deadline:    rec.deadline.Round(0),
		Expires:     expires.Round(0),
	}
}

// claimResult turns what became of a claim into the core's event.
func (e *Entry) claimResult(rec *Record, s claim.SettleAction, now time.Time) decision.ClaimResult {
	switch s.Result {
	case claim.Won:
		rec.update(func() { rec.claimed = true })
		return decision.ClaimWon
	case claim.Mismatch:
		return decision.ClaimMismatch
	case claim.Done:
		return replay(rec, s.Claim.Outcome)
	case claim.Held:
		if claim.InProgress(s.Claim, now, e.holderState(s.Claim, now)) {
			return decision.ClaimHeld
		}
		return decision.ClaimLost
	}
	return decision.ClaimFailed
}

// replay gives the record the recorded outcome of its key.
func replay(rec *Record, o *claim.Outcome) decision.ClaimResult {
	switch {
	case o.Unknown:
		return decision.ClaimLost
	case o.Unkept:
		return decision.ClaimUnkept
	}
	rec.update(func() {
		rec.text, rec.tokens = []byte(o.Text), o.Tokens
		if rec.Call.Completion == nil {
			rec.answer = &upstream.Answer{Status: o.Status, Header: o.Header, Body: o.Body}
		}
	})
	return decision.ClaimDone
}

// holderState says whether the process that holds a claim still runs.
func (e *Entry) holderState(c claim.Claim, now time.Time) claim.HolderState {
	if c.Holder == e.settings.Name {
		if c.Incarnation == e.incarnation {
			return claim.HolderAlive
		}
		return claim.HolderGone
	}
	for _, m := range e.peers.Live() {
		if m.GetName() != c.Holder {
			continue
		}
		if m.GetIncarnation() > c.Incarnation {
			return claim.HolderGone
		}
		return claim.HolderAlive
	}
	if now.Sub(e.started) < holderSettle {
		return claim.HolderUnheard
	}
	return claim.HolderGone
}

// endClaim records the outcome of a request that held its key, or frees the
// key if it is certain that nothing ran. The caller has its answer already: it
// does not wait for the platform. p is nil for a complete answer.
func (e *Entry) endClaim(rec *Record, p *Problem) {
	rec.mu.Lock()
	claimed := rec.claimed
	rec.mu.Unlock()
	if !claimed {
		return
	}
	c := e.newClaim(rec, time.Now())
	op := claim.Op{Kind: claim.OpRelease, Claim: c}
	if p == nil || p.Ran != reason.RanNo {
		op.Kind, op.Claim.Outcome = claim.OpRecord, outcomeOf(rec, p)
	}
	e.claims.submit(rec.ID+"/end", op, func(s claim.SettleAction) {
		if s.Result == claim.Dropped {
			e.log.Error("outcome was not recorded", "request_id", rec.ID, "step", "outcome")
		}
	})
}

// outcomeOf returns what repeats of an ended request are told.
func outcomeOf(rec *Record, p *Problem) *claim.Outcome {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	switch {
	case rec.answer != nil:
		a := rec.answer
		return claim.NewOutcome(claim.Outcome{Status: a.Status, Header: a.Header, Body: a.Body})
	case p == nil:
		return claim.NewOutcome(claim.Outcome{Text: string(rec.text), Tokens: rec.tokens})
	case p.Ran == reason.RanYes:
		return &claim.Outcome{Unkept: true}
	}
	return &claim.Outcome{Unknown: true}
}

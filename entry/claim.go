package entry

import (
	"time"

	"jaylink/decision"
	"jaylink/decision/claim"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

const (
	// minClaimLifetime is the minimum time for which a claim is kept after
	// its request's deadline.
	minClaimLifetime = time.Hour
	// holderGracePeriod is how long this entry must have run before it
	// treats a holder that it has not heard from as gone.
	holderGracePeriod = 10 * time.Second
)

// startClaim claims the record's idempotency key in the background. The result
// is passed to the core as a ClaimEvent.
func (e *Entry) startClaim(rec *Record) {
	c := e.newClaim(rec, time.Now())
	e.claims.submit(rec.ID, claim.Op{Kind: claim.OpClaim, Claim: c}, func(s claim.SettleAction) {
		result := e.claimResult(rec, s, time.Now())
		if result == decision.ClaimFailed {
			e.log.Warn("claim failed", "request_id", rec.ID, "step", "claim")
		}
		e.metrics.countClaim(result)
		e.driver.step(decision.ClaimEvent{ID: rec.ID, Result: result})
	})
}

// newClaim returns a claim of the record's idempotency key.
func (e *Entry) newClaim(rec *Record, now time.Time) claim.Claim {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	expires := now.Add(e.settings.Claims.Retention.Std())
	if earliest := rec.deadline.Add(minClaimLifetime); expires.Before(earliest) {
		expires = earliest
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

// claimResult translates the result of a claim for the core. It also marks the
// record as claimed or gives it the stored outcome of its key.
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

// replay gives the record the stored outcome of its idempotency key.
func replay(rec *Record, o *claim.Outcome) decision.ClaimResult {
	switch {
	case o.Unknown:
		return decision.ClaimLost
	case o.AnswerTooLarge:
		return decision.ClaimTooLarge
	}
	rec.update(func() {
		rec.text, rec.tokens = []byte(o.Text), o.Tokens
		if rec.Call.Completion == nil {
			rec.answer = &upstream.Answer{Status: o.Status, Header: o.Header, Body: o.Body}
		}
	})
	return decision.ClaimDone
}

// holderState reports whether the process that holds a claim is still running.
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
	if now.Sub(e.started) < holderGracePeriod {
		return claim.HolderUnknown
	}
	return claim.HolderGone
}

// endClaim records the outcome of a request that holds its idempotency key, or
// releases the key if it is certain that nothing ran. The caller already has
// its answer and does not wait for the platform. p is nil for a complete
// answer.
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

// outcomeOf returns the outcome that later requests with the same idempotency
// key get.
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
		return &claim.Outcome{AnswerTooLarge: true}
	}
	return &claim.Outcome{Unknown: true}
}

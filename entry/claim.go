package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/upstream"
)

// kindClaim is the kind of the objects that hold claims.
const kindClaim = "Claim"

const (
	claimTimeout = 5 * time.Second
	// outcomeTimeout bounds the attempts at writing an outcome.
	outcomeTimeout = 30 * time.Second
	outcomePause   = 200 * time.Millisecond
)

// claimValue is the stored form of a claim on an idempotency key.
type claimValue struct {
	// Token is drawn by the claimant; it settles whether a write whose
	// answer was lost took effect.
	Token       string        `json:"token"`
	Fingerprint uint64        `json:"fingerprint"`
	RequestID   string        `json:"request_id"`
	Outcome     *claimOutcome `json:"outcome,omitempty"`
}

// claimOutcome is the recorded answer. Unknown says that the work may have run
// but its answer was lost.
type claimOutcome struct {
	Unknown bool        `json:"unknown,omitempty"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
}

// claim is what a record holds of its claim.
type claim struct {
	name    string
	version uint64
	value   claimValue
}

// claimName returns the object's name for a customer's key.
func claimName(customer, service, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// startClaim claims the record's key in the background.
func (e *Entry) startClaim(rec *Record) {
	e.work.Go(func() {
		ctx, cancel := context.WithTimeout(e.background, claimTimeout)
		defer cancel()
		result := e.claim(ctx, rec)
		e.driver.step(decision.ClaimEvent{ID: rec.ID, Result: result})
	})
}

func (e *Entry) claim(ctx context.Context, rec *Record) decision.ClaimResult {
	v, _ := rec.read(0)
	name := claimName(v.customer, v.service, rec.Call.Key)
	value := claimValue{Token: newRequestID(e.settings.Name), Fingerprint: rec.Fingerprint, RequestID: rec.ID}
	stored, err := e.platform.Create(ctx, kindClaim, name, value)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		stored = conflict.Current
	case errors.Is(err, platform.ErrUnavailable):
		stored, err = e.platform.Get(ctx, kindClaim, name)
		if err != nil {
			e.log.Warn("claim failed", "request_id", rec.ID, "step", "claim", "err", err)
			return decision.ClaimFailed
		}
	default:
		return decision.ClaimFailed
	}
	return e.judgeClaim(rec, name, stored, value)
}

// judgeClaim compares what is stored under the key with our own claim.
func (e *Entry) judgeClaim(rec *Record, name string, stored platform.Record, own claimValue) decision.ClaimResult {
	held := own
	if len(stored.Value) > 0 {
		if err := json.Unmarshal(stored.Value, &held); err != nil {
			return decision.ClaimFailed
		}
	}
	switch {
	case held.Fingerprint != own.Fingerprint:
		return decision.ClaimMismatch
	case held.Token == own.Token:
		rec.update(func() { rec.claim = &claim{name: name, version: stored.Version, value: own} })
		return decision.ClaimWon
	case held.Outcome == nil:
		return decision.ClaimHeld
	case held.Outcome.Unknown:
		return decision.ClaimLost
	}
	o := held.Outcome
	rec.update(func() { rec.answer = &upstream.Answer{Status: o.Status, Header: o.Header, Body: o.Body} })
	return decision.ClaimDone
}

// settleClaim records the outcome of claimed work, or releases the claim if it
// is certain that nothing ran.
func (e *Entry) settleClaim(rec *Record, res upstream.Result) {
	rec.mu.Lock()
	c, answer := rec.claim, rec.answer
	rec.mu.Unlock()
	if c == nil || res.Ran == reason.RanNo {
		return
	}
	outcome := &claimOutcome{Unknown: true}
	if answer != nil {
		outcome = &claimOutcome{Status: answer.Status, Header: answer.Header, Body: answer.Body}
	}
	value := c.value
	value.Outcome = outcome
	ctx, cancel := context.WithTimeout(e.background, outcomeTimeout)
	defer cancel()
	for {
		_, err := e.platform.Update(ctx, kindClaim, c.name, c.version, value)
		if !errors.Is(err, platform.ErrUnavailable) {
			return
		}
		select {
		case <-time.After(outcomePause):
		case <-ctx.Done():
			e.log.Error("outcome was not recorded", "request_id", rec.ID, "step", "outcome", "err", err)
			return
		}
	}
}

// releaseClaim removes the claim of a request that certainly did not run, so
// that the caller can send it again under the same key.
func (e *Entry) releaseClaim(rec *Record) {
	rec.mu.Lock()
	c := rec.claim
	rec.mu.Unlock()
	if c == nil {
		return
	}
	e.work.Go(func() {
		ctx, cancel := context.WithTimeout(e.background, claimTimeout)
		defer cancel()
		if _, err := e.platform.Delete(ctx, kindClaim, c.name, c.version); err != nil {
			e.log.Warn("claim was not released", "request_id", rec.ID, "step", "release", "err", err)
		}
	})
}

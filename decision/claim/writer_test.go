package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const testKey = "abcdef0123"

func newClaim(request string) Claim {
	return Claim{
		Key: testKey, RequestID: request, Fingerprint: 1, Holder: "e1", Incarnation: 1,
		Deadline: start.Add(time.Minute), Expires: start.Add(time.Hour),
	}
}

func submit(w *Writer, kind OpKind, request string) []Action {
	c := newClaim(request)
	if kind == OpRecord {
		c.Outcome = &Outcome{Status: 201}
	}
	return w.Step(start, Submit{ID: request + "/" + string(kind), Op: Op{Kind: kind, Claim: c}})
}

func lastWrite(t *testing.T, actions []Action) WriteAction {
	t.Helper()
	require.NotEmpty(t, actions)
	a, ok := actions[len(actions)-1].(WriteAction)
	require.True(t, ok, "%#v", actions)
	return a
}

func findSettled(t *testing.T, actions []Action, id string) SettleAction {
	t.Helper()
	for _, a := range actions {
		if s, ok := a.(SettleAction); ok && s.ID == id {
			return s
		}
	}
	require.Fail(t, "not settled", "%s in %#v", id, actions)
	return SettleAction{}
}

// newWriterWithClaim returns a writer whose claim r1 is stored at version 1.
func newWriterWithClaim(t *testing.T) *Writer {
	w := NewWriter()
	require.Equal(t, []Action{ReadAction{}}, submit(w, OpClaim, "r1"))
	write := lastWrite(t, w.Step(start, Answer{Kind: Found}))
	require.Zero(t, write.Base)
	require.Equal(t, Won, findSettled(t, w.Step(start, Answer{Kind: Written, Version: 1}), "r1/claim").Result)
	return w
}

func TestClaimAndOutcomeTakeOneReadAndTwoWrites(t *testing.T) {
	w := newWriterWithClaim(t)
	require.False(t, w.Idle(), "an open claim keeps the page")
	write := lastWrite(t, submit(w, OpRecord, "r1"))
	require.Equal(t, uint64(1), write.Base)
	require.Equal(t, 201, write.Page.Claims[0].Outcome.Status)
	require.Equal(t, Recorded, findSettled(t, w.Step(start, Answer{Kind: Written, Version: 2}), "r1/record").Result)
	require.True(t, w.Idle())
}

func TestRepeatedKeyIsCheckedAgainstStoredClaim(t *testing.T) {
	other := newClaim("r0")
	done := newClaim("r0")
	done.Outcome = &Outcome{Status: 201}
	reused := newClaim("r0")
	reused.Fingerprint = 2
	expired := newClaim("r0")
	expired.Expires = start
	cases := map[string]struct {
		stored Claim
		want   Result
	}{
		"held":     {other, Held},
		"done":     {done, Done},
		"mismatch": {reused, Mismatch},
		"expired":  {expired, Won},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := NewWriter()
			submit(w, OpClaim, "r1")
			out := w.Step(start, Answer{Kind: Found, Version: 7, Page: Page{Claims: []Claim{tc.stored}}})
			if tc.want == Won {
				require.Len(t, lastWrite(t, out).Page.Claims, 1, "the expired claim is dropped")
				out = w.Step(start, Answer{Kind: Written, Version: 8})
			}
			require.Equal(t, tc.want, findSettled(t, out, "r1/claim").Result)
		})
	}
}

func TestConflictIsSettledFromTheCurrentPage(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	w.Step(start, Answer{Kind: Found})
	out := w.Step(start, Answer{Kind: Conflict, Version: 3, Page: Page{Claims: []Claim{newClaim("r0")}}})
	require.Equal(t, Held, findSettled(t, out, "r1/claim").Result)
}

func TestLostAnswerOfAWriteThatTookEffectIsWon(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	write := lastWrite(t, w.Step(start, Answer{Kind: Found}))
	require.Equal(t, []Action{ReadAction{}}, w.Step(start, Answer{Kind: Lost}))
	out := w.Step(start, Answer{Kind: Found, Version: 1, Page: write.Page})
	require.Equal(t, Won, findSettled(t, out, "r1/claim").Result)
}

// A read that does not find the claim does not prove that the write failed: it
// may still be in flight. Only another write on the same version decides.
func TestReadBackThatFindsNothingIsFollowedByAnotherWrite(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	w.Step(start, Answer{Kind: Found})
	w.Step(start, Answer{Kind: Lost})
	write := lastWrite(t, w.Step(start, Answer{Kind: Found}))
	require.Zero(t, write.Base)
	out := w.Step(start, Answer{Kind: Conflict, Version: 1, Page: write.Page})
	require.Equal(t, Won, findSettled(t, out, "r1/claim").Result)
}

// The store is unreachable before a write with the claim was sent. The claim must fail
// without a retry, and the writer must keep no state of it.
func TestStoreOutFailsTheClaimAtOnceAndForgetsIt(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	require.Equal(t, Failed, findSettled(t, w.Step(start, Answer{Kind: Lost}), "r1/claim").Result)
	require.True(t, w.Idle())
}

// The answers to a write and to the read after it are lost, so the write may still take
// effect after the claim has failed. Another write on the same version must prevent that.
func TestFailedClaimWhoseWriteMayComeIsFencedAndReleased(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	w.Step(start, Answer{Kind: Found})
	w.Step(start, Answer{Kind: Lost})
	require.Equal(t, Failed, findSettled(t, w.Step(start, Answer{Kind: Lost}), "r1/claim").Result)
	wake, ok := w.NextWake()
	require.True(t, ok)
	require.Equal(t, []Action{ReadAction{}}, w.Step(wake, Tick{}))
	write := lastWrite(t, w.Step(wake, Answer{Kind: Found}))
	require.Empty(t, write.Page.Claims, "a write without the claim fences the delayed one")
	w.Step(wake, Answer{Kind: Written, Version: 1})
	require.True(t, w.Idle())
}

func TestReleaseRemovesADelayedClaim(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	late := lastWrite(t, w.Step(start, Answer{Kind: Found}))
	w.Step(start, Answer{Kind: Lost})
	w.Step(start, Answer{Kind: Lost})
	wake, _ := w.NextWake()
	w.Step(wake, Tick{})
	write := lastWrite(t, w.Step(wake, Answer{Kind: Found, Version: 1, Page: late.Page}))
	require.Equal(t, uint64(1), write.Base)
	require.Empty(t, write.Page.Claims)
}

func TestOutcomeIsRetriedUntilItIsStored(t *testing.T) {
	w := newWriterWithClaim(t)
	lastWrite(t, submit(w, OpRecord, "r1"))
	now := start
	for range 20 {
		w.Step(now, Answer{Kind: Lost})
		wake, ok := w.NextWake()
		require.True(t, ok)
		require.LessOrEqual(t, wake.Sub(now), maxBackoff)
		now = wake
		require.Equal(t, []Action{ReadAction{}}, w.Step(now, Tick{}))
	}
	lastWrite(t, w.Step(now, Answer{Kind: Found, Version: 1, Page: Page{Claims: []Claim{newClaim("r1")}}}))
	require.Equal(t, Recorded, findSettled(t, w.Step(now, Answer{Kind: Written, Version: 2}), "r1/record").Result)
}

func TestRepeatOnTheSameEntryGetsAnOutcomeThatIsNotStoredYet(t *testing.T) {
	w := newWriterWithClaim(t)
	submit(w, OpRecord, "r1")
	s := findSettled(t, submit(w, OpClaim, "r2"), "r2/claim")
	require.Equal(t, Done, s.Result)
	require.Equal(t, 201, s.Claim.Outcome.Status)
}

func TestOperationsSubmittedDuringAWriteAreBatched(t *testing.T) {
	w := NewWriter()
	submit(w, OpClaim, "r1")
	w.Step(start, Answer{Kind: Found})
	for _, id := range []string{"r2", "r3"} {
		c := newClaim(id)
		c.Key = testKey + id
		require.Empty(t, w.Step(start, Submit{ID: id, Op: Op{Kind: OpClaim, Claim: c}}))
	}
	write := lastWrite(t, w.Step(start, Answer{Kind: Written, Version: 1}))
	require.Len(t, write.Page.Claims, 3)
}

func TestLargeAnswersAreNotStored(t *testing.T) {
	require.True(t, NewOutcome(Outcome{Status: 201, Body: make([]byte, MaxOutcome+1)}).AnswerTooLarge)
	require.False(t, NewOutcome(Outcome{Status: 201, Body: make([]byte, MaxOutcome)}).AnswerTooLarge)
}

func TestInProgress(t *testing.T) {
	c := newClaim("r1")
	require.True(t, InProgress(c, start, HolderAlive))
	require.False(t, InProgress(c, start, HolderGone))
	require.True(t, InProgress(c, start, HolderUnknown))
	require.False(t, InProgress(c, c.Deadline, HolderUnknown))
}

package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/peer/peerpb"
	"jaylink/standin/engine"
)

// captionCopy returns a copy of a captions request for the given number of
// tokens. Its owner does not exist, and this entry is its only holder.
func captionCopy(f *fixture, tokens string) *peerpb.RequestCopy {
	return &peerpb.RequestCopy{
		Id: "00112233445566778899aabbccddeeff.gone", Epoch: 1,
		Owner:   &peerpb.Member{Name: "gone", Address: "127.0.0.1:1"},
		Holders: []*peerpb.Member{f.peers.Self()},
		Method:  "POST", Uri: "/v1/completions", Completion: true,
		Body:    []byte(`{"model": "m", "prompt": "દીપ ", "max_tokens": ` + tokens + `}`),
		Labels:  map[string]string{"app": "captions", "account": "c", "path": "/v1/completions", "method": "POST"},
		Service: "captions", Customer: "c", DeadlineNs: time.Now().Add(time.Minute).UnixNano(),
	}
}

func sendTake(t *testing.T, f *fixture, c *peerpb.RequestCopy, epoch uint64) *peerpb.TakeReply {
	t.Helper()
	s := &handoverServer{Entry: f.Entry}
	reply, err := s.Take(t.Context(), &peerpb.TakeRequest{Copy: c, Epoch: epoch})
	require.NoError(t, err)
	return reply
}

// A Take whose reply was lost may be repeated. A Take under a lower epoch than
// the entry knows is accepted only if the entry already drives the request.
func TestTakeIsIdempotent(t *testing.T) {
	f := newFixture(t)
	c := captionCopy(f, "20")
	for range 3 {
		require.True(t, sendTake(t, f, c, 2).Accepted)
	}
	require.True(t, sendTake(t, f, c, 1).Accepted, "the entry already drives the request under a higher epoch")
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Nil(t, v.problem)
	require.Equal(t, engine.Text("દીપ ", 20), string(v.text))
	require.Equal(t, uint64(2), v.epoch)
}

// A request whose last token has already been generated is finished without
// another attempt.
func TestTakeWithCompleteAnswerStartsNoAttempt(t *testing.T) {
	f := newFixture(t)
	c := captionCopy(f, "3")
	c.Text, c.Tokens = []byte(engine.Text("દીપ ", 3)), 3
	require.True(t, sendTake(t, f, c, 2).Accepted)
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Text("દીપ ", 3), string(v.text))
	require.Contains(t, f.log.String(), `"msg":"request answered"`)
}

// A holder takes a request over if its owner can't be reached.
func TestHolderTakesOver(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	c := captionCopy(f, "20")
	reply, err := s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c, c}})
	require.NoError(t, err)
	require.Len(t, reply.Accepted, 2, "a repeated copy is accepted again")
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Text("દીપ ", 20), string(v.text))
	require.Equal(t, uint64(2), v.epoch)
}

// An owner hands a request over and exits, and the entry that has it now comes after this one among the
// holders. This one has not heard of that, and must not take the request over, too.
func TestHolderTakesOverWhatAnotherHolderOwns(t *testing.T) {
	first := newFixture(t)
	second := newFixture(t, func(s *Settings) { s.Name = "two" })
	c := captionCopy(second, "20")
	c.Holders = []*peerpb.Member{second.peers.Self()}
	require.True(t, sendTake(t, second, c, 2).Accepted)
	c.Holders = []*peerpb.Member{first.peers.Self(), second.peers.Self()}
	s := &handoverServer{Entry: first.Entry}
	reply, err := s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c}})
	require.NoError(t, err)
	require.Len(t, reply.Accepted, 1)
	v, err := first.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Text("દીપ ", 20), string(v.text))
	require.NotContains(t, first.log.String(), `"msg":"request taken over"`)
}

// While copies of a request are sent, another of its holders turns out to be unreachable, so that the
// record has no holders. The one that gets the copy has to know that it is a holder, or it never takes
// the request over.
func TestHolderDoesNotKnowThatItIsOne(t *testing.T) {
	first := newFixture(t)
	second := newFixture(t, func(s *Settings) { s.Name = "two" })
	rec, err := fromCopy(captionCopy(first, "20"), time.Now())
	require.NoError(t, err)
	lost, holder := &peerpb.Member{Name: "lost", Address: "127.0.0.1:1"}, second.peers.Self()
	planned := []plannedCopy{{rec, []*peerpb.Member{lost, holder}}}
	ev := first.newEvacuation(time.Now().Add(time.Minute))
	ev.excludePeer(lost, planned)
	ev.copyTo(t.Context(), holder, planned)
	copied := second.records.get(rec.ID)
	require.NotNil(t, copied)
	_, rank := copied.rank("two")
	require.Equal(t, 1, rank)
}

// An owner that learns of a higher epoch stops driving the request, and later
// text from its old attempt is dropped. A late announcement of a lower epoch
// changes nothing.
func TestOwnerYieldsToHigherEpoch(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	rec := newRecord("00112233445566778899aabbccddeeff.one", Call{}, time.Now())
	rec.accepted = true
	rec.ownership.epoch = 3
	rec.attempt.id = attemptID{epoch: 3, number: 1}
	f.records.add(rec)
	newOwner := &peerpb.Member{Name: "two", CallerAddress: "127.0.0.1:2"}
	announce := func(epoch uint64) {
		_, err := s.Announce(t.Context(), &peerpb.AnnounceRequest{Id: rec.ID, Epoch: epoch, Owner: newOwner})
		require.NoError(t, err)
	}
	announce(2)
	require.NoError(t, f.appendText(rec, attemptID{epoch: 3, number: 1}, "x", 1))
	announce(4)
	announce(3)
	require.Error(t, f.appendText(rec, attemptID{epoch: 3, number: 1}, "late", 1))
	rec.setAnswer(attemptID{epoch: 3, number: 1}, nil)
	v, _ := rec.read(0)
	require.True(t, v.moved())
	require.Equal(t, uint64(4), v.epoch)
	require.Equal(t, "x", string(v.text))
	n, _ := f.records.inFlight()
	require.Zero(t, n)
}

// Updates of a followed answer are applied only if they continue its text
// without overlap or gap.
func TestApplyUpdateRequiresContiguousOffsets(t *testing.T) {
	rec := newRecord("id", Call{}, time.Now())
	rec.ownership.role = peerpb.Role_ROLE_HOLDER
	update := func(offset uint64, text string) bool {
		return rec.applyUpdate(&peerpb.FollowUpdate{Role: peerpb.Role_ROLE_OWNER, Offset: offset, Text: []byte(text)})
	}
	require.True(t, update(0, "abc"))
	require.False(t, update(0, "abc"), "repeated")
	require.False(t, update(5, "xyz"), "gap")
	require.True(t, update(3, "def"))
	v, _ := rec.read(0)
	require.Equal(t, "abcdef", string(v.text))
}

// An entry that is leaving refuses requests and copies; an entry that holds
// maxCopyBytes of copies refuses further copies.
func TestHandoverRefusedWhenLeavingOrFull(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	c := captionCopy(f, "20")
	f.records.copyBytes = maxCopyBytes
	reply, err := s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c}})
	require.NoError(t, err)
	require.Empty(t, reply.Accepted)
	f.records.copyBytes = 0
	f.leaving.Store(true)
	require.False(t, sendTake(t, f, c, 2).Accepted)
	reply, err = s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c}})
	require.NoError(t, err)
	require.Empty(t, reply.Accepted)
	require.Nil(t, f.records.get(c.Id))
}

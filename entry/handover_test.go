package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/peer/peerpb"
	"jaylink/standin/engine"
)

// copyOf returns a copy of a caption of so many tokens, driven by an entry that
// does not exist, with this entry as its only holder.
func copyOf(f *fixture, tokens string) *peerpb.RequestCopy {
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

func take(t *testing.T, f *fixture, c *peerpb.RequestCopy, epoch uint64) *peerpb.TakeReply {
	t.Helper()
	s := &handoverServer{Entry: f.Entry}
	reply, err := s.Take(t.Context(), &peerpb.TakeRequest{Copy: c, Epoch: epoch})
	require.NoError(t, err)
	return reply
}

// A Take whose answer was lost may be repeated; one under an older epoch than
// the entry knows is not accepted unless the entry drives the request already.
func TestTakeIsIdempotent(t *testing.T) {
	f := newFixture(t)
	c := copyOf(f, "20")
	for range 3 {
		require.True(t, take(t, f, c, 2).Accepted)
	}
	require.True(t, take(t, f, c, 1).Accepted, "it drives the request under a higher epoch")
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Nil(t, v.problem)
	require.Equal(t, engine.Text("દીપ ", 20), string(v.text))
	require.Equal(t, uint64(2), v.epoch)
}

// A request whose last token has come already is finished without another
// attempt.
func TestTakeOfACompleteAnswer(t *testing.T) {
	f := newFixture(t)
	c := copyOf(f, "3")
	c.Text, c.Tokens = []byte(engine.Text("દીપ ", 3)), 3
	require.True(t, take(t, f, c, 2).Accepted)
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Text("દીપ ", 3), string(v.text))
	require.Contains(t, f.log.String(), `"msg":"request answered"`)
}

// A holder takes a request over when its owner is gone.
func TestHolderTakesOver(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	c := copyOf(f, "20")
	reply, err := s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c, c}})
	require.NoError(t, err)
	require.Len(t, reply.Accepted, 2, "a repeated copy is accepted again")
	v, err := f.records.get(c.Id).wait(t.Context())
	require.NoError(t, err)
	require.Equal(t, engine.Text("દીપ ", 20), string(v.text))
	require.Equal(t, uint64(2), v.epoch)
}

// An owner that learns of a higher epoch stops driving; a late announcement of
// a lower one changes nothing; text of its old attempt is dropped.
func TestOwnerYieldsToHigherEpoch(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	rec := newRecord("00112233445566778899aabbccddeeff.one", Call{}, time.Now())
	rec.accepted = true
	rec.ownership.epoch = 3
	rec.attempt.id = attemptID{epoch: 3, number: 1}
	f.records.add(rec)
	two := &peerpb.Member{Name: "two", CallerAddress: "127.0.0.1:2"}
	announce := func(epoch uint64) {
		_, err := s.Announce(t.Context(), &peerpb.AnnounceRequest{Id: rec.ID, Epoch: epoch, Owner: two})
		require.NoError(t, err)
	}
	announce(2)
	require.NoError(t, f.emit(rec, attemptID{epoch: 3, number: 1}, "x", 1))
	announce(4)
	announce(3)
	require.Error(t, f.emit(rec, attemptID{epoch: 3, number: 1}, "late", 1))
	rec.setAnswer(attemptID{epoch: 3, number: 1}, nil)
	v, _ := rec.read(0)
	require.True(t, v.moved())
	require.Equal(t, uint64(4), v.epoch)
	require.Equal(t, "x", string(v.text))
	n, _ := f.records.inFlight()
	require.Zero(t, n)
}

// Updates of a followed answer are taken in order only.
func TestApplyTakesUpdatesInOrder(t *testing.T) {
	rec := newRecord("id", Call{}, time.Now())
	rec.ownership.role = peerpb.Role_ROLE_HOLDER
	update := func(offset uint64, text string) bool {
		return rec.apply(&peerpb.FollowUpdate{Role: peerpb.Role_ROLE_OWNER, Offset: offset, Text: []byte(text)})
	}
	require.True(t, update(0, "abc"))
	require.False(t, update(0, "abc"), "repeated")
	require.False(t, update(5, "xyz"), "out of order")
	require.True(t, update(3, "def"))
	v, _ := rec.read(0)
	require.Equal(t, "abcdef", string(v.text))
}

// An entry that is leaving takes nothing, and one that holds enough no copies.
func TestHandoverIsRefused(t *testing.T) {
	f := newFixture(t)
	s := &handoverServer{Entry: f.Entry}
	c := copyOf(f, "20")
	f.records.held = maxHeld
	reply, err := s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c}})
	require.NoError(t, err)
	require.Empty(t, reply.Accepted)
	f.records.held = 0
	f.leaving.Store(true)
	require.False(t, take(t, f, c, 2).Accepted)
	reply, err = s.Copy(t.Context(), &peerpb.CopyRequest{Copies: []*peerpb.RequestCopy{c}})
	require.NoError(t, err)
	require.Empty(t, reply.Accepted)
	require.Nil(t, f.records.get(c.Id))
}

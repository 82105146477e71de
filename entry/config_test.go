package entry

import (
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/config"
	"jaylink/objects"
	"jaylink/peer/peerpb"
)

func newTestStore() *configStore {
	s := newConfigStore(slog.New(slog.DiscardHandler))
	s.changed = func(*api.Catalog) {}
	return s
}

const customerV3 = `{"kind":"Customer","name":"c","version":3,"spec":{"selector":"account=c"}}`

// An object in a form that only a newer version reads stays in force as it was.
func TestUnreadableObjectIsNotTakenForDeleted(t *testing.T) {
	s := newTestStore()
	require.True(t, s.Merge("two", &peerpb.Delta{Revision: 3, Snapshot: true, Objects: [][]byte{[]byte(customerV3)}}))
	unreadable := []byte(`{"kind":"Customer","name":"c","version":5,"spec":{"selector":["later"]}}`)

	s.Merge("two", &peerpb.Delta{Revision: 5, Snapshot: true, Objects: [][]byte{unreadable}})
	require.NotNil(t, s.get(customerKey), "after a snapshot of a peer")

	records := []objects.Record{{Kind: "Customer", Name: "c", Version: 7, Value: json.RawMessage(unreadable)}}
	objects := s.decodeRecords(records)
	s.apply(func(st *config.State) bool { return st.MergeList(api.KindCustomer, 7, objects) })
	require.NotNil(t, s.get(customerKey), "after a list of the platform")
}

// An entry that reads nothing itself gets ready with an empty configuration too.
func TestEmptyConfigurationOfAPeerIsKnown(t *testing.T) {
	reader, other := newTestStore(), newTestStore()
	require.False(t, other.Known())
	other.Merge("reader", reader.Delta(0))
	require.False(t, other.Known(), "the peer has read nothing either")
	reader.complete(0)
	other.Merge("reader", reader.Delta(0))
	require.True(t, other.Known())
}

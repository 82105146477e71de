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

func newTestConfigStore() *configStore {
	s := newConfigStore(slog.New(slog.DiscardHandler))
	s.onChange = func(*api.Catalog) {}
	return s
}

const customerV3 = `{"kind":"Customer","name":"c","version":3,"spec":{"selector":"account=c"}}`

// An object in a format that only a newer version of the program can decode must
// not delete or replace the version that is known.
func TestUnreadableObjectIsNotTakenForDeleted(t *testing.T) {
	s := newTestConfigStore()
	require.True(t, s.Merge("two", &peerpb.Delta{Revision: 3, Snapshot: true, Objects: [][]byte{[]byte(customerV3)}}))
	unreadable := []byte(`{"kind":"Customer","name":"c","version":5,"spec":{"selector":["later"]}}`)

	s.Merge("two", &peerpb.Delta{Revision: 5, Snapshot: true, Objects: [][]byte{unreadable}})
	require.NotNil(t, s.get(customerKey), "after a snapshot of a peer")

	records := []objects.Record{{Kind: "Customer", Name: "c", Version: 7, Value: json.RawMessage(unreadable)}}
	objects := s.decodeRecords(records)
	s.update(func(st *config.State) bool { return st.MergeList(api.KindCustomer, 7, objects) })
	require.NotNil(t, s.get(customerKey), "after a list of the platform")
}

// An entry that does not read the platform itself becomes ready once a peer has
// read the configuration, even if the configuration is empty.
func TestEmptyConfigurationOfAPeerIsKnown(t *testing.T) {
	reader, other := newTestConfigStore(), newTestConfigStore()
	require.False(t, other.Known())
	other.Merge("reader", reader.Delta(0))
	require.False(t, other.Known(), "the peer has read nothing either")
	reader.markListed(0)
	other.Merge("reader", reader.Delta(0))
	require.True(t, other.Known())
}

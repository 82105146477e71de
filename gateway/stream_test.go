package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"jaylink/internal/membudget"
)

// readEvents reads a stream to its end or to an error.
func readEvents(r io.Reader) (data string, ids []int64, err error) {
	events := newEventReader(r, membudget.New(1<<20).NewBuffer())
	for {
		ev, err := events.next()
		if err != nil {
			return data, ids, err
		}
		data += string(ev.data)
		ids = append(ids, ev.id)
	}
}

func TestEventReaderKeepsBytes(t *testing.T) {
	const text = "id: 0\ndata: a\n\nevent: x\r\nid:1\r\ndata: b\r\n\r\n: comment\n\nid: none\ndata: c\n\n"
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		data, ids, err := readEvents(r)
		require.ErrorIs(t, err, io.EOF, name)
		require.Equal(t, text, data)
		require.Equal(t, []int64{0, 1, -1, -1}, ids)
	}
}

// If a stream ends inside an event, the incomplete event is not relayed.
func TestTruncatedEventsAreNotRelayed(t *testing.T) {
	for _, part := range []string{"i", "id: 1", "id: 1\n", "id: 1\ndata: b\n"} {
		data, _, err := readEvents(strings.NewReader("id: 0\ndata: a\n\n" + part))
		require.ErrorIs(t, err, errTruncatedEvent)
		require.Equal(t, "id: 0\ndata: a\n\n", data)
	}
	broken := errors.New("reset")
	_, _, err := readEvents(io.MultiReader(strings.NewReader("id: 0\n"), iotest.ErrReader(broken)))
	require.ErrorIs(t, err, broken)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 0\ndata: a\n\nid: 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		data, _, err := readEvents(strings.NewReader(text))
		require.Error(t, err)
		require.True(t, strings.HasPrefix(text, data))
		if errors.Is(err, io.EOF) {
			require.Equal(t, text, data)
		}
	})
}

package answer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/serving"
)

// An unknown must not make an answer whole that ends with its connection.
func TestUnknownEndIsNotWhole(t *testing.T) {
	for bits := range 4 {
		delimited, written := bits&1 != 0, bits&2 != 0
		for _, process := range []Process{Unknown, Running, Gone} {
			end := End{Delimited: delimited, RequestWritten: written, Process: process}
			require.Equal(t, delimited || written && process == Running, end.Whole(), "%+v", end)
			require.Equal(t, !delimited && written, end.NeedsProcess(), "%+v", end)
		}
	}
	require.False(t, End{}.Whole(), "no evidence at all")
}

// Only a statement that names the process shows that it runs.
func TestStatementsThatNameNoProcessProveNothing(t *testing.T) {
	const own, other = "i-1", "i-2"
	for _, listed := range []int64{0, 7} {
		for _, id := range []string{"", own, other} {
			for _, start := range []int64{0, 7, 8} {
				for _, interrupted := range []bool{false, true} {
					want := Unknown
					switch {
					case id == other, listed == 7 && start == 8:
						want = Gone
					case listed == 7 && start == 7, id == own && !interrupted:
						want = Running
					}
					var i Inquiry
					u := serving.Upstream{ID: own, StartMillis: listed}
					if interrupted {
						i.Add(u, Statement{})
						require.Equal(t, Unknown, i.Process, "no reply")
					}
					i.Add(u, Statement{Answered: true})
					require.Equal(t, Unknown, i.Process, "a reply that says nothing")
					i.Add(u, Statement{Answered: true, ID: id, StartMillis: start})
					require.Equal(t, want, i.Process, "listed %d, ID %q, start %d, interrupted %t", listed, id, start, interrupted)
				}
			}
		}
	}
}

// A reply on a connection that is older than the request is one of the process that wrote the
// answer, if it is an upstream's at all and not to another request.
func TestReplyOnAKeptConnectionIsOfTheSameProcess(t *testing.T) {
	u := serving.Upstream{ID: "i-1", StartMillis: 7}
	for _, tc := range []struct {
		statement Statement
		want      Process
	}{
		{Statement{ID: "i-1"}, Running},
		{Statement{TurnedAway: true}, Running},
		{Statement{StartMillis: 7}, Running},
		{Statement{}, Unknown},
		{Statement{ID: "i-2"}, Gone},
		{Statement{ID: "i-1", StartMillis: 8}, Gone},
	} {
		for _, interrupted := range []bool{false, true} {
			var i Inquiry
			if interrupted {
				i.Add(u, Statement{})
			}
			tc.statement.Answered, tc.statement.Kept = true, true
			i.Add(u, tc.statement)
			require.Equal(t, tc.want, i.Process, "%+v, interrupted %t", tc.statement, interrupted)
			require.Equal(t, tc.want == Running, i.Process == Running && i.Kept, "%+v", tc.statement)
		}
	}
	var i Inquiry
	i.Add(u, Statement{Answered: true, TurnedAway: true})
	require.Equal(t, Unknown, i.Process, "a refusal on a new connection names no process")
	i.Add(u, Statement{Answered: true, ID: "i-1", NamesRequest: true, Kept: true})
	require.Equal(t, Unknown, i.Process, "the answer to an earlier request")
	i.Add(u, Statement{Answered: true, ID: "i-1"})
	require.Equal(t, Running, i.Process, "the answer to an earlier request says nothing")
}

// Nothing listens where connections are refused. What comes later is another process.
func TestProcessThatIsGoneStaysGone(t *testing.T) {
	var i Inquiry
	u := serving.Upstream{ID: "i-1", StartMillis: 7}
	i.Add(u, Statement{Refused: true})
	i.Add(u, Statement{Answered: true, ID: "i-1", StartMillis: 7})
	require.Equal(t, Gone, i.Process)
}

package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/operator"
)

func TestUsageCountsAnswersTokensAndRefusals(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller
	sendTo(t, "GET", url+"/orders/1", "", appDesk, accountC)
	sendTo(t, "POST", url+"/v1/completions", `{"prompt":"p","max_tokens":5}`, appCaptions, accountC)
	sendTo(t, http.MethodPut, f.service.URL+"/faults", `{"reset_after":1}`)
	sendTo(t, "POST", url+"/bookings", "x", appDesk, accountC)
	sendTo(t, "GET", url+"/orders/1", "", appDesk)
	list, err := f.client().Usage(t.Context())
	require.NoError(t, err)
	require.Equal(t, "one", list.Entry)
	require.Equal(t, []operator.Usage{
		{Customer: "c", Service: "captions", Accepted: 1, Answered: 1, Tokens: 5},
		{Customer: "c", Service: "desk", Accepted: 2, Answered: 1, Refused: map[reason.Reason]int64{reason.NotRepeatable: 1}},
	}, list.Items)
}

package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/operator"
)

func TestDecisionLogIsBounded(t *testing.T) {
	r := newDecisionLog("one", 3)
	for i := range 10 {
		r.add(operator.Decision{RequestID: strconv.Itoa(i)})
	}
	require.Equal(t, []string{"7", "8", "9"}, requestIDs(r.list(operator.DecisionQuery{})))
	require.Equal(t, []string{"9"}, requestIDs(r.list(operator.DecisionQuery{Limit: 1})))
	require.Empty(t, r.list(operator.DecisionQuery{RequestID: "1"}).Items)
}

func requestIDs(l operator.DecisionList) []string {
	var out []string
	for _, d := range l.Items {
		out = append(out, d.RequestID)
	}
	return out
}

func decisionKinds(l operator.DecisionList) []operator.DecisionKind {
	var out []operator.DecisionKind
	for _, d := range l.Items {
		out = append(out, d.Kind)
	}
	return out
}

// The decisions about a request include the candidates and their scores.
func TestDecisionsExplainARequest(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller
	id := sendTo(t, "GET", url+"/orders/1", "", appDesk, accountC).Header.Get(HeaderRequestID)
	list, err := f.client().Decisions(t.Context(), operator.DecisionQuery{RequestID: id})
	require.NoError(t, err)
	require.Equal(t, []operator.DecisionKind{operator.DecisionAccepted, operator.DecisionRouted, operator.DecisionAnswered}, decisionKinds(list))
	routed := list.Items[1]
	require.Equal(t, "desk-1", routed.Upstream)
	require.Equal(t, "desk-1", routed.Candidates[0].Upstream)
	require.Equal(t, "load", routed.Candidates[0].Parts[0].Scorer)
	list, err = f.client().Decisions(t.Context(), operator.DecisionQuery{Upstream: "desk-1"})
	require.NoError(t, err)
	require.NotEmpty(t, list.Items)
}

func TestDecisionsExplainAFailedAttempt(t *testing.T) {
	f := newFixture(t)
	sendTo(t, http.MethodPut, f.service.URL+"/faults", `{"reset_after":1}`)
	a := sendTo(t, "POST", "http://"+f.settings.Listen.Caller+"/bookings", "x", appDesk, accountC)
	list, err := f.client().Decisions(t.Context(), operator.DecisionQuery{RequestID: a.Header.Get(HeaderRequestID)})
	require.NoError(t, err)
	require.Equal(t, []operator.DecisionKind{
		operator.DecisionAccepted, operator.DecisionRouted, operator.DecisionFailed, operator.DecisionRefused,
	}, decisionKinds(list))
	require.Contains(t, list.Items[2].Detail, "outcome=no_answer")
	require.Equal(t, "unknown", string(list.Items[3].Ran))
}

// marker is part of prompts, bodies and answers. It must not appear in logs or
// other diagnostic output.
const marker = "zxmarkerxz"

// Logs, decisions, status, metrics and traces must contain no part of a prompt
// or an answer, whatever the outcome of the request.
func TestPromptsAndAnswersStayOutOfLogsAndExplanations(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller
	completion := `{"prompt":"` + marker + ` a b","max_tokens":4,"stream":true}`
	calls := func() {
		sendTo(t, "POST", url+"/v1/completions", completion, appCaptions, accountC, "Jaylink-Label-Once: yes")
		sendTo(t, "POST", url+"/v1/completions", `{"prompt":"`+marker, appCaptions, accountC)
		sendTo(t, "POST", url+"/v1/completions", `{"prompt":{"`+marker+`":1}}`, appCaptions, accountC)
		sendTo(t, "POST", url+"/v1/completions", `{"prompt":"p","max_tokens":"`+marker+`"}`, appCaptions, accountC)
		sendTo(t, "POST", url+"/bookings", marker, appDesk, accountC)
		sendTo(t, "POST", url+"/bookings", marker, appDesk, accountC, "Idempotency-Key: k1")
		sendTo(t, "POST", url+"/bookings", marker+"2", appDesk, accountC, "Idempotency-Key: k1")
		sendTo(t, "POST", url+"/v1/completions", completion, "Jaylink-Label-App: none", accountC)
		sendTo(t, "POST", url+"/bookings?text="+marker, "x", appDesk, accountC)
	}
	calls()
	sendTo(t, http.MethodPut, f.engine.URL+"/faults", `{"crash_on":"`+marker+`"}`)
	sendTo(t, http.MethodPut, f.service.URL+"/faults", `{"fail_status":1,"reset_after":3}`)
	calls()
	answer := sendTo(t, "POST", url+"/v1/completions", `{"prompt":"p","max_tokens":4}`, appCaptions, accountC)
	operatorURL := "http://" + f.settings.Listen.Operator + "/v1/"
	texts := map[string]string{
		"log":       f.log.String(),
		"decisions": sendTo(t, "GET", operatorURL+"decisions", "").body,
		"status":    sendTo(t, "GET", operatorURL+"status", "").body,
		"metrics":   sendTo(t, "GET", operatorURL+"metrics", "").body,
	}
	require.NoError(t, f.Stop(context.Background()))
	texts["trace"] = f.trace.String()
	require.Contains(t, texts["log"], "request refused")
	require.Contains(t, texts["trace"], answer.Header.Get(HeaderRequestID))
	for name, text := range texts {
		require.NotContains(t, text, marker, name)
		for _, word := range strings.Fields(answer.body) {
			if len(word) > 0 && word[0] > 0x7f {
				require.NotContains(t, text, word, name)
			}
		}
	}
}

// A request is logged once when it is accepted and once when it ends, and both
// lines have the fixed set of keys.
func TestARequestIsLoggedTwice(t *testing.T) {
	f := newFixture(t)
	a := sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/orders/1", "", appDesk, accountC)
	var lines []string
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, a.Header.Get(HeaderRequestID)) {
			lines = append(lines, line)
		}
	}
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `"msg":"request accepted"`)
	require.Contains(t, lines[1], `"msg":"request answered"`)
	for _, line := range lines {
		for _, key := range []string{"request_id", "service", "customer", "entry", "availability_zone"} {
			require.Contains(t, line, `"`+key+`":`)
		}
	}
}

// The decision that an upstream is leaving names the observer and the source.
func TestDecisionsExplainALeavingUpstream(t *testing.T) {
	f := newFixture(t)
	deadline := time.Now().Add(time.Hour)
	f.signs.observeNotice("desk-1", deadline)
	list, err := f.client().Decisions(t.Context(), operator.DecisionQuery{Upstream: "desk-1"})
	require.NoError(t, err)
	require.Equal(t, []operator.DecisionKind{operator.DecisionLeaving}, decisionKinds(list))
	want := "notice seen by one, host ends at " + deadline.UTC().Format(time.RFC3339)
	require.Equal(t, want, list.Items[0].Detail)
	s, err := f.client().Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, list.Items, s.Recent)
	for _, u := range s.Upstreams {
		require.Equal(t, u.Name == "desk-1", u.Leaving)
		if u.Leaving {
			require.Equal(t, []string{want}, u.Signs)
		}
	}
}

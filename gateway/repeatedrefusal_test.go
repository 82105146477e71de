package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// A faulty upstream writes an earlier refusal once more, before the next answer on the
// connection. Callers must not be told that a request has not run which is running, also when
// they repeat it under its ID.
func TestRefusalThatIsWrittenOnceMoreIsBelieved(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{
		"with the ID of the refused request": upstream.RepeatRefusal, "without an ID": upstream.RepeatUnnamedRefusal,
	} {
		for _, route := range []string{"order", "once", "status"} {
			t.Run(name+", "+route, func(t *testing.T) {
				d := newDeployment(t)
				d.configure()
				call, service := plainCall, counterService
				if route == "once" {
					call, service = streamCall, engineService
				}
				server := d.upstream("i-1", service)
				e := d.startEntry("entry-1")
				server.SetFault(fault)
				promised, answered, failed := map[string]int{}, map[string]int{}, map[string]int{}
				for i := range 120 {
					id := fmt.Sprint("r-", i/4)
					switch a := e.send(t, call(route, id)); a.status {
					case http.StatusServiceUnavailable:
						promised[id]++
					case http.StatusBadGateway:
						failed[id]++
						answered[id]++
					default:
						answered[id]++
					}
				}
				ran := map[string]int{}
				for _, run := range server.Runs() {
					ran[run.RequestID]++
				}
				if fault == upstream.RepeatUnnamedRefusal && route != "status" {
					// The first of these refusals is not believed either.
					require.NotEmpty(t, failed)
					require.Empty(t, promised)
				} else {
					require.NotEmpty(t, promised)
				}
				for id, runs := range ran {
					require.LessOrEqual(t, runs, answered[id], "%s: %d refused with a promise", id, promised[id])
				}
			})
		}
	}
}

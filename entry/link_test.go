package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"jaylink/standin/service"
)

func counterValue(f *fixture, name string) int64 {
	return f.metrics.registry.Get(name).(metrics.Counter).Count()
}

// Only traffic with upstreams in other regions is counted as use of the link
// between regions.
func TestLinkCountsTrafficBetweenRegions(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Caller
	sendTo(t, "GET", url+"/orders/1", "", appDesk, accountC)
	require.Zero(t, counterValue(f, "link.sent_bytes"), "traffic within the region")
	require.Zero(t, counterValue(f, "link.received_bytes"), "traffic within the region")
	remote := httptest.NewServer(http.HandlerFunc(service.New().ServeHTTP))
	defer remote.Close()
	f.apply(t, fmt.Sprintf("kind: Service\nname: far\nspec: {selector: app=far, protocol: http, upstreams: pool=far}\n---\n"+
		"kind: Upstream\nname: far-1\nlabels: {pool: far}\nspec: {address: %q, protocol: http, availability_zone: z, region: other}\n", remote.Listener.Addr()))
	a := sendTo(t, "GET", url+"/orders/1", "", "Jaylink-Label-App: far", accountC)
	require.Equal(t, 200, a.StatusCode)
	require.Greater(t, counterValue(f, "link.sent_bytes"), int64(len("GET /orders/1 HTTP/1.1")))
	require.Greater(t, counterValue(f, "link.received_bytes"), int64(len(a.body)))
}

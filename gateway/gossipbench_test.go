package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/quota"
	"jaylink/platform"
	"jaylink/serving"
)

// largeGateway returns an entry in a fleet of 295, with 134 upstreams and 40 customers,
// and the messages of its peers: one with loads and one with totals from each.
func largeGateway() (*Gateway, []gossipMessage) {
	const entries, upstreams, customers = 295, 134, 40
	g := New(platform.Settings{Name: "entry-0", Region: "r0", Regions: map[string]string{"z": "r0"}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	list := &upstreamList{upstreams: map[string]serving.Upstream{}}
	for i := range upstreams {
		id := fmt.Sprint("i-", i)
		list.upstreams[id] = serving.Upstream{ID: id, Service: "s", Zone: "z", Slots: 6}
	}
	g.setUpstreams(list)
	now := time.Now()
	totals := map[uint32]quota.Total{}
	for i := range customers {
		name := fmt.Sprint("customer-", i)
		g.customerNames[hashKey(name)] = name
		g.quota.Set(now, name, quota.Allowance{Rate: 100_000, Burst: 100_000})
		totals[hashKey(name)] = quota.Total{Admitted: 1e6, Requested: 1e6}
	}
	var messages []gossipMessage
	for i := 1; i < entries; i++ {
		withTotals := gossipMessage{
			Entry: fmt.Sprint("entry-", i), Incarnation: 1, Region: fmt.Sprint("r", i%2), SentAt: now.UnixMilli(),
			Sender: &net.UDPAddr{IP: net.IPv4(10, 0, byte(i>>8), byte(i)), Port: 7500},
		}
		withLoads := withTotals
		withLoads.Loads = map[uint32]placement.Load{}
		for j := range 8 {
			withLoads.Loads[hashKey(fmt.Sprint("i-", (i+j*16)%upstreams))] = placement.Load{Running: 1, PrefillTokens: 5000, Memory: 6000}
		}
		withTotals.Totals = totals
		messages = append(messages, withLoads, withTotals)
	}
	for _, m := range messages {
		g.applyMessage(m)
	}
	return g, messages
}

// Measures what an entry of a large fleet spends on building and processing gossip
// messages, and on the work that depends on the size of the fleet.
func BenchmarkGossip(b *testing.B) {
	b.Run("receive loads", func(b *testing.B) { benchmarkReceive(b, 0) })
	b.Run("receive totals", func(b *testing.B) { benchmarkReceive(b, 1) })
	for name, c := range map[string]messageParts{"send loads": {loads: true}, "send totals": {totals: true}} {
		b.Run(name, func(b *testing.B) {
			g, _ := largeGateway()
			for b.Loop() {
				g.listPeers()
				g.buildMessage(c).encode()
			}
		})
	}
	b.Run("pick upstream", func(b *testing.B) {
		g, _ := largeGateway()
		r := &placement.Request{Service: &serving.Service{Name: "s"}, Zone: "z", Prompt: &serving.Prompt{
			Input: 3000, MaxOutput: 100, Parts: []serving.Part{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 1000}, {Hash: 3, Tokens: 1500}},
		}}
		for b.Loop() {
			g.table.Pick(time.Now(), r)
		}
	})
	b.Run("housekeep", func(b *testing.B) {
		g, _ := largeGateway()
		for b.Loop() {
			g.gossipCycleTime(g.listPeersLocked())
			g.expirePeers(time.Now(), time.Second)
			g.updateGauges(time.Now())
		}
	})
	b.Run("watches", func(b *testing.B) {
		g, _ := largeGateway()
		for b.Loop() {
			g.watchersAhead()
		}
	})
}

func benchmarkReceive(b *testing.B, kind int) {
	g, messages := largeGateway()
	var data [][]byte
	var from []*net.UDPAddr
	for i := kind; i < len(messages); i += 2 {
		data, from = append(data, messages[i].encode()), append(from, messages[i].Sender)
	}
	b.ReportAllocs()
	b.ReportMetric(float64(len(data[0])), "bytes")
	for i := 0; b.Loop(); i++ {
		m, err := decodeMessage(data[i%len(data)])
		if err != nil {
			b.Fatal(err)
		}
		m.Sender = from[i%len(from)]
		g.applyMessage(m)
	}
}

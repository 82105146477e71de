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

// largeGateway is an entry of a fleet of 295, with 134 upstreams and 40 customers.
func largeGateway() (*Gateway, []word) {
	const entries, upstreams, customers = 295, 134, 40
	g := New(platform.Settings{Name: "entry-0", Region: "r0", Regions: map[string]string{"z": "r0"}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	list := &upstreamList{list: map[string]serving.Upstream{}}
	for i := range upstreams {
		id := fmt.Sprint("i-", i)
		list.list[id] = serving.Upstream{ID: id, Service: "s", Zone: "z", Slots: 6}
	}
	g.setUpstreams(list)
	now := time.Now()
	totals := map[uint32]quota.Total{}
	for i := range customers {
		name := fmt.Sprint("customer-", i)
		g.customerNames[keyOf(name)] = name
		g.quota.Set(now, name, quota.Allowance{Rate: 100_000, Burst: 100_000})
		totals[keyOf(name)] = quota.Total{Admitted: 1e6, Asked: 1e6}
	}
	var words []word
	for i := 1; i < entries; i++ {
		w := word{
			Entry: fmt.Sprint("entry-", i), Incarnation: 1, Region: fmt.Sprint("r", i%2), Sent: now.UnixMilli(),
			From: &net.UDPAddr{IP: net.IPv4(10, 0, byte(i>>8), byte(i)), Port: 7500},
		}
		light := w
		light.Loads = map[uint32]placement.Load{}
		for j := range 8 {
			light.Loads[keyOf(fmt.Sprint("i-", (i+j*16)%upstreams))] = placement.Load{Running: 1, Unread: 5000, Memory: 6000}
		}
		w.Totals = totals
		words = append(words, light, w)
	}
	for _, w := range words {
		g.hear(w)
	}
	return g, words
}

// What an entry of a large fleet spends on the words of the others and on its own.
func BenchmarkWords(b *testing.B) {
	b.Run("hear loads", func(b *testing.B) { benchmarkHear(b, 0) })
	b.Run("hear totals", func(b *testing.B) { benchmarkHear(b, 1) })
	for name, c := range map[string]content{"tell loads": {loads: true}, "tell totals": {totals: true}} {
		b.Run(name, func(b *testing.B) {
			g, _ := largeGateway()
			for b.Loop() {
				g.listPeers()
				g.nextWord(c).encode()
			}
		})
	}
	b.Run("place", func(b *testing.B) {
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
			g.wordTime(g.sortedPeers())
			g.expirePeers(time.Now(), time.Second)
			g.updateGauges(time.Now())
		}
	})
	b.Run("watches", func(b *testing.B) {
		g, _ := largeGateway()
		for b.Loop() {
			g.watchersBefore()
		}
	})
}

func benchmarkHear(b *testing.B, kind int) {
	g, words := largeGateway()
	var data [][]byte
	var from []*net.UDPAddr
	for i := kind; i < len(words); i += 2 {
		data, from = append(data, words[i].encode()), append(from, words[i].From)
	}
	b.ReportAllocs()
	b.ReportMetric(float64(len(data[0])), "bytes")
	for i := 0; b.Loop(); i++ {
		w, err := decodeWord(data[i%len(data)])
		if err != nil {
			b.Fatal(err)
		}
		w.From = from[i%len(from)]
		g.hear(w)
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"jaylink/objects"
	"jaylink/platform"
)

// Offsets of the ports for peers from the first internal port.
const (
	gossipPort = 0
	syncPort   = 1
)

const (
	// syncTimeout limits a fetch from another entry.
	syncTimeout = time.Second
	// syncDelay is the pause before a fetch from a peer, so that this entry's own watch
	// on the store can deliver the same change first, and one fetch brings several changes.
	syncDelay = 150 * time.Millisecond
	// maxSyncBytes limits the size of an answer from another entry.
	maxSyncBytes = 8 << 20
	// configurationPath and upstreamsPath serve this entry's active configuration and
	// its upstream list.
	configurationPath = "/v1/configuration"
	upstreamsPath     = "/v1/upstreams"
)

// syncHandler serves this entry's configuration and upstream list to entries that don't
// watch the store, or can't reach it.
func (g *Gateway) syncHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		c := g.config.Load()
		if c == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// A peer whose fetch fails repeats it.
		_, _ = w.Write(c.raw)
	}).Methods(http.MethodGet)
	router.HandleFunc(upstreamsPath, func(w http.ResponseWriter, r *http.Request) {
		u := g.upstreams.Load()
		if u == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if err := json.NewEncoder(w).Encode(u.delta(positionOf(r.URL.Query()))); err != nil {
			g.log.Debug("sending the upstream list to a peer failed", "err", err)
		}
	}).Methods(http.MethodGet)
	return gzipHandler(router)
}

// positionOf returns the position in the query of a peer. If a parameter is missing or
// invalid, it is the first one.
func positionOf(query url.Values) objects.Position {
	era, _ := strconv.ParseUint(query.Get("era"), 10, 64)
	revision, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	return objects.Position{Era: max(era, objects.FirstEra), Revision: revision}
}

// positionQuery is the inverse of positionOf.
func positionQuery(p objects.Position) string {
	return url.Values{"era": {strconv.FormatUint(p.Era, 10)}, "after": {strconv.FormatUint(p.Revision, 10)}}.Encode()
}

// syncClient is the HTTP client for fetches from other entries.
var syncClient = &http.Client{Timeout: syncTimeout, Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: syncTimeout / 2}).DialContext,
	DisableKeepAlives: true,
}}

// peerURL returns the base of the URLs that a peer serves.
func peerURL(m gossipMessage) string {
	port := m.Sender.Port + syncPort - gossipPort
	return "http://" + net.JoinHostPort(m.Sender.IP.String(), strconv.Itoa(port))
}

// configurationSource is the replicaSource of the configuration.
type configurationSource struct{ *Gateway }

func (g configurationSource) behind(m gossipMessage) bool { return g.behindConfiguration(m) }

func (configurationSource) ownWatchDelay() time.Duration { return syncDelay }

func (g configurationSource) fetch(ctx context.Context, m gossipMessage) applier {
	data := g.fetchFromPeer(ctx, m.Entry, peerURL(m)+configurationPath)
	if data == nil {
		return nil
	}
	return func(context.Context) { g.applyConfiguration(data, m.Entry) }
}

func (g configurationSource) read(ctx context.Context) applier {
	c, ok := g.readFromStore(ctx, platform.KindConfiguration)
	if !ok {
		return nil
	}
	return func(context.Context) { g.applyStoredConfiguration(c) }
}

// upstreamSource is the replicaSource of the upstream list.
type upstreamSource struct{ *Gateway }

func (g upstreamSource) behind(m gossipMessage) bool { return g.behindUpstreams(m) }

func (g upstreamSource) ownWatchDelay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watchingUpstreams.Load() && g.storeReachable() {
		return upstreamBatchDelay + syncDelay
	}
	return syncDelay
}

func (g upstreamSource) fetch(ctx context.Context, m gossipMessage) applier {
	c, ok := g.fetchUpstreams(ctx, m.Entry, peerURL(m))
	if !ok {
		return nil
	}
	return func(ctx context.Context) { g.applyUpstreams(ctx, c, m.Entry) }
}

func (g upstreamSource) read(ctx context.Context) applier {
	c, ok := g.readFromStore(ctx, platform.KindUpstreams)
	if !ok {
		return nil
	}
	return func(ctx context.Context) { g.applyUpstreams(ctx, c, "store") }
}

// isFar reports whether a peer is in another region.
func (g *Gateway) isFar(m gossipMessage) bool { return m.Region != g.settings.Region }

// readFromStore lists the objects of a kind although this entry does not watch them.
func (g *Gateway) readFromStore(ctx context.Context, kind string) (objectChanges, bool) {
	g.metrics.directReads.Inc(1)
	list, err := g.objects.List(ctx, kind)
	if err != nil {
		g.log.Warn("no peer delivered a change, and reading it from the store failed", "kind", kind, "err", err)
		return objectChanges{}, false
	}
	g.log.Info("change read from the store, as no peer delivered it", "kind", kind, "era", list.Era, "revision", list.Revision)
	return objectChanges{RecordList: list, complete: true}, true
}

// fetchUpstreams fetches a peer's changes to the upstream list since the revision that
// this entry has.
func (g *Gateway) fetchUpstreams(ctx context.Context, peer, base string) (objectChanges, bool) {
	after := objects.Position{Era: objects.FirstEra}
	if u := g.upstreams.Load(); u != nil {
		after = u.position
	}
	data := g.fetchFromPeer(ctx, peer, base+upstreamsPath+"?"+positionQuery(after))
	if data == nil {
		return objectChanges{}, false
	}
	var delta upstreamDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		g.log.Warn("peer sent an invalid upstream list", "peer", peer, "err", err)
		return objectChanges{}, false
	}
	return objectChanges{RecordList: delta.RecordList, complete: delta.Complete, departed: delta.Departed, fromPeer: true}, true
}

// behindConfiguration reports whether a peer has a newer configuration.
func (g *Gateway) behindConfiguration(m gossipMessage) bool {
	c := g.config.Load()
	return m.Configuration > 0 && (c == nil || c.Version < m.Configuration)
}

// behindUpstreams reports whether a peer has a newer upstream list.
func (g *Gateway) behindUpstreams(m gossipMessage) bool {
	u := g.upstreams.Load()
	if u == nil {
		return m.Upstreams.Revision > 0
	}
	return u.position.Before(m.Upstreams)
}

// fetchFromPeer returns the body that a URL of a peer serves, or nil on failure.
func (g *Gateway) fetchFromPeer(ctx context.Context, peer, url string) []byte {
	g.metrics.peerFetches.Inc(1)
	data, err := httpGet(ctx, url)
	if ctx.Err() != nil {
		// Another source was faster.
		return nil
	}
	if err != nil {
		g.metrics.peerFetchErrors.Inc(1)
		g.log.Info("fetch from peer failed", "peer", peer, "url", url, "err", err)
		return nil
	}
	return data
}

// httpGet returns the body of a successful GET request, truncated to maxSyncBytes.
func httpGet(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := syncClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxSyncBytes))
}

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
	// on the store can deliver the same change first.
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

// syncFromPeer fetches the configuration and the upstream list from a peer if its gossip
// message w says that it has newer ones. It runs in a goroutine of its own, at most one
// at a time.
func (g *Gateway) syncFromPeer(ctx context.Context, m gossipMessage) {
	if !sleep(ctx, syncDelay) {
		return
	}
	port := m.Sender.Port + syncPort - gossipPort
	base := "http://" + net.JoinHostPort(m.Sender.IP.String(), strconv.Itoa(port))
	if g.behindConfiguration(m) {
		if data := g.fetchFromPeer(ctx, m.Entry, base+configurationPath); data != nil {
			g.applyConfiguration(data, m.Entry)
		}
	}
	if g.behindUpstreams(m) {
		g.fetchUpstreams(ctx, m.Entry, base)
	}
}

// fetchUpstreams fetches a peer's changes to the upstream list since the revision that
// this entry has, and applies them.
func (g *Gateway) fetchUpstreams(ctx context.Context, peer, base string) {
	after := objects.Position{Era: objects.FirstEra}
	if u := g.upstreams.Load(); u != nil {
		after = u.position
	}
	data := g.fetchFromPeer(ctx, peer, base+upstreamsPath+"?"+positionQuery(after))
	if data == nil {
		return
	}
	var delta upstreamDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		g.log.Warn("peer sent an invalid upstream list", "peer", peer, "err", err)
		return
	}
	g.applyUpstreams(ctx, objectChanges{RecordList: delta.RecordList, complete: delta.Complete, departed: delta.Departed}, peer)
}

// behindConfiguration reports whether a peer has a newer configuration.
func (g *Gateway) behindConfiguration(m gossipMessage) bool {
	c := g.config.Load()
	return m.Configuration > 0 && (c == nil || c.Version < m.Configuration)
}

// behindUpstreams reports whether a peer has a newer upstream list that this entry's own
// watch won't deliver in time, because the entry does not watch the list, has lost the store
// or has not noticed yet that it was restored.
func (g *Gateway) behindUpstreams(m gossipMessage) bool {
	u := g.upstreams.Load()
	if u == nil {
		return m.Upstreams.Revision > 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	watched := g.watchingUpstreams.Load() && g.storeReachable() && u.position.Era == m.Upstreams.Era
	return u.position.Before(m.Upstreams) && !watched
}

// fetchFromPeer returns the body that a URL of a peer serves, or nil on failure.
func (g *Gateway) fetchFromPeer(ctx context.Context, peer, url string) []byte {
	data, err := httpGet(ctx, url)
	if err != nil {
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

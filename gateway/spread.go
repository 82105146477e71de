package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
)

// Offsets of ports from the first internal one.
const (
	gossipPort = 0
	spreadPort = 1
)

const (
	// spreadTimeout bounds a fetch from another entry.
	spreadTimeout = time.Second
	// spreadDelay gives an entry's own watch the time to be first.
	spreadDelay = 150 * time.Millisecond
	// spreadLimit bounds what is read from another entry, in bytes.
	spreadLimit = 8 << 20
	// configurationPath and upstreamsPath serve what this entry knows.
	configurationPath = "/v1/configuration"
	upstreamsPath     = "/v1/upstreams"
)

// spreadHandler serves what this entry knows to entries that the store does not
// answer.
func (g *Gateway) spreadHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		c := g.config.Load()
		if c == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// A fetch that breaks off is made again by its caller.
		_, _ = w.Write(c.raw)
	}).Methods(http.MethodGet)
	router.HandleFunc(upstreamsPath, func(w http.ResponseWriter, r *http.Request) {
		u := g.upstreams.Load()
		if u == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		// Without a number the whole list is sent.
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err := json.NewEncoder(w).Encode(u.delta(after)); err != nil {
			g.log.Debug("upstream list not sent", "err", err)
		}
	}).Methods(http.MethodGet)
	return compressed(router)
}

// spreadClient fetches from other entries.
var spreadClient = &http.Client{Timeout: spreadTimeout, Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: spreadTimeout / 2}).DialContext,
	DisableKeepAlives: true,
}}

// catchUp fetches what a peer knows better. It runs in its own goroutine, one at
// a time.
func (g *Gateway) catchUp(ctx context.Context, w word) {
	if !sleep(ctx, spreadDelay) {
		return
	}
	port := w.From.Port + spreadPort - gossipPort
	base := "http://" + net.JoinHostPort(w.From.IP.String(), strconv.Itoa(port))
	if g.behindConfiguration(w) {
		if data := g.fetch(ctx, w.Entry, base+configurationPath); data != nil {
			g.takeConfiguration(data, w.Entry)
		}
	}
	if g.behindUpstreams(w) {
		g.fetchUpstreams(ctx, w.Entry, base)
	}
}

func (g *Gateway) fetchUpstreams(ctx context.Context, peer, base string) {
	after := uint64(0)
	if u := g.upstreams.Load(); u != nil {
		after = u.revision
	}
	data := g.fetch(ctx, peer, base+upstreamsPath+"?after="+strconv.FormatUint(after, 10))
	if data == nil {
		return
	}
	var news upstreamNews
	if err := json.Unmarshal(data, &news); err != nil {
		g.log.Warn("upstream list of a peer can't be read", "peer", peer, "err", err)
		return
	}
	g.takeUpstreams(ctx, change{RecordList: news.RecordList, whole: news.Whole}, peer)
}

func (g *Gateway) behindConfiguration(w word) bool {
	c := g.config.Load()
	return w.Configuration > 0 && (c == nil || c.Version < w.Configuration)
}

// behindUpstreams reports whether a peer's list is newer while this entry does
// not watch the store, or the store does not answer it.
func (g *Gateway) behindUpstreams(w word) bool {
	u := g.upstreams.Load()
	if u == nil {
		return w.Upstreams > 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return u.revision < w.Upstreams && !(g.followsUpstreams.Load() && g.storeHeld())
}

func (g *Gateway) fetch(ctx context.Context, peer, url string) []byte {
	data, err := fetchFrom(ctx, url)
	if err != nil {
		g.log.Info("peer could not be asked", "peer", peer, "url", url, "err", err)
		return nil
	}
	return data
}

func fetchFrom(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := spreadClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return io.ReadAll(io.LimitReader(resp.Body, spreadLimit))
}

package gateway

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"jaylink/platform"
)

const (
	// readHeaderTimeout limits how long a caller may take to send its headers. It is
	// not taken from the configuration, which may change while headers are being
	// read.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers if the configuration sets no limit, and
	// those of the internal ports.
	idleTimeout = 2 * time.Minute
)

// metricsPort returns the port of the metrics page: the last but one of the internal ports.
func metricsPort(s platform.Settings) int { return s.PortLast - 1 }

// listen starts an HTTP server in the background; callers keeps its connections and may be
// nil.
func (g *Gateway) listen(address string, handler http.Handler, callers *callerConns) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := g.newServer(handler, callers)
	if callers != nil {
		g.front = newCallerListener(l, callers)
		l = g.front
	}
	g.servers = append(g.servers, server)
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error("listener failed", "address", address, "err", err)
		}
	}()
	return nil
}

// newServer returns an HTTP server; callers keeps its connections and may be nil.
func (g *Gateway) newServer(handler http.Handler, callers *callerConns) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	if callers != nil {
		// callers closes idle connections.
		server.IdleTimeout, server.ConnState, server.ConnContext = -1, callers.track, withCallerConn
	}
	return server
}

// idleLimit returns how long a caller's connection may be idle under the active
// configuration.
func (g *Gateway) idleLimit() time.Duration {
	if c := g.config.Load(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return idleTimeout
}

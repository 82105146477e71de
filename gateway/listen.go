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
	// idleTimeout closes idle connections if the configuration sets no limit.
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
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	if callers != nil {
		g.front = newCallerListener(l, callers)
		l, server.ConnState, server.ConnContext = g.front, callers.track, withCallerConn
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

// idleLimit returns how long a caller's connection may be idle under the active
// configuration; 0 means no limit.
func (g *Gateway) idleLimit() time.Duration {
	c := g.config.Load()
	if c == nil {
		return 0
	}
	return c.Limits.IdleTimeout
}

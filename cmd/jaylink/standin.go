package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/kernel"
	"jaylink/standin/engine"
	"jaylink/standin/hosting"
	"jaylink/standin/service"
)

func addStandin(app *kingpin.Application) {
	cmd := app.Command("standin", "Run a stand-in for an external system, for tests and demonstrations.")
	addStandinPlatform(cmd)
	addStandinEngine(cmd)
	addStandinService(cmd)
	addStandinUpstream(cmd)
}

func listenFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("listen", "Address to listen on, ip:port.").Required().String()
}

func addStandinPlatform(parent *kingpin.CmdClause) {
	cmd := parent.Command("platform", "Object API, host list, notices, host orders and weight store, in memory.")
	listen := listenFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return runStandin(*listen, hosting.New()) })
}

func addStandinEngine(parent *kingpin.CmdClause) {
	var opts engine.Options
	cmd := parent.Command("engine", "Model engine with the common completions API.")
	listen := listenFlag(cmd)
	cmd.Flag("name", "Name of the engine.").Default("engine").StringVar(&opts.Name)
	cmd.Flag("slots", "Number of requests that run concurrently.").Default("8").IntVar(&opts.Slots)
	cmd.Flag("queue", "Number of requests that may wait; further ones are refused.").Default("64").IntVar(&opts.QueueLength)
	cmd.Flag("token-interval", "Time between tokens.").Default("5ms").DurationVar(&opts.TokenInterval)
	cmd.Flag("batch-interval", "Time that each other running request adds to the time between tokens.").Default("0s").DurationVar(&opts.BatchInterval)
	cmd.Flag("prefill", "Time to process one prompt token.").Default("100us").DurationVar(&opts.PrefillPerToken)
	cmd.Flag("load-lag", "Age of the reported load.").Default("500ms").DurationVar(&opts.LoadLag)
	cmd.Flag("check-fencing", "Refuse orders with an outdated fencing token.").BoolVar(&opts.ChecksFencing)
	cmd.Flag("prefix-tokens", "Size of the prefix cache in tokens.").Default("4096").IntVar(&opts.PrefixTokens)
	cmd.Flag("exit-on", "Exit when a prompt contains this text.").StringVar(&opts.ExitOn)
	cmd.Flag("kv", "Time to import the KV cache of one token.").Default("5us").DurationVar(&opts.KVPerToken)
	cmd.Action(func(*kingpin.ParseContext) error { return runStandin(*listen, engine.New(opts)) })
}

func addStandinService(parent *kingpin.CmdClause) {
	cmd := parent.Command("service", "Plain service: order lookups, bookings and charges.")
	listen := listenFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return runStandin(*listen, service.New()) })
}

// httpComponent runs an HTTP server as a component of an app.
type httpComponent struct {
	address string
	server  *http.Server
}

// Start implements kernel.Starter.
func (c *httpComponent) Start(context.Context) error {
	ln, err := net.Listen("tcp", c.address)
	if err != nil {
		return err
	}
	go func() { _ = c.server.Serve(ln) }()
	fmt.Println("listening on", c.address)
	return nil
}

// Stop implements kernel.Stopper.
func (c *httpComponent) Stop(context.Context) error { return c.server.Close() }

func runStandin(address string, h http.Handler) error {
	var app kernel.App
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	app.Add("standin", &httpComponent{address: address, server: server})
	return runApp(&app, nil)
}

var (
	_ kernel.Starter = (*httpComponent)(nil)
	_ kernel.Stopper = (*httpComponent)(nil)
)

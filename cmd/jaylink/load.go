package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/internal/load"
	"jaylink/internal/workload"
	"jaylink/operator"
)

type loadFlags struct {
	profile  string
	entries  []string
	operator string
	seed     uint64
	scale    float64
	duration time.Duration
}

func addLoad(app *kingpin.Application) {
	var f loadFlags
	cmd := app.Command("load", "Send the load of a profile to entries on this machine, open loop, and print what callers saw. It starts no process.")
	cmd.Flag("profile", "Load profile (YAML), for example examples/load/forbund.yaml.").Required().StringVar(&f.profile)
	cmd.Flag("entry", "Caller address of an entry, ip:port on loopback. May be repeated.").Required().StringsVar(&f.entries)
	cmd.Flag("operator", "Operator address of an entry; with it the profile's waves are played on the stand-in engines.").StringVar(&f.operator)
	cmd.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("scale", "Factor on the rates of the profile.").Default("1").Float64Var(&f.scale)
	cmd.Flag("duration", "Shorter time than the profile's; 0 leaves that.").Default("0s").DurationVar(&f.duration)
	cmd.Action(func(*kingpin.ParseContext) error { return runLoad(f) })
}

func runLoad(f loadFlags) error {
	profile, err := workload.Read(f.profile)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	opts := load.Options{Profile: profile, Entries: f.entries, Seed: f.seed, Scale: f.scale, Duration: f.duration}
	ctx := context.Background()
	if f.operator != "" {
		if opts.Engines, err = reclaimable(ctx, f.operator); err != nil {
			return err
		}
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	return report.Write(os.Stdout)
}

// reclaimableClass starts the machine classes that waves reclaim.
const reclaimableClass = "reclaimable"

// reclaimable returns the model engines on reclaimable hosts that an entry knows.
func reclaimable(ctx context.Context, address string) ([]load.Engine, error) {
	objects, err := operator.NewClient(address).List(ctx, api.KindUpstream)
	if err != nil {
		return nil, err
	}
	var engines []load.Engine
	for _, o := range objects {
		s := o.Spec.(*api.UpstreamSpec)
		if s.Protocol == api.ProtocolCompletions && strings.HasPrefix(s.MachineClass, reclaimableClass) {
			engines = append(engines, load.Engine{Address: s.Address, AvailabilityZone: s.AvailabilityZone})
		}
	}
	return engines, nil
}

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
	cmd := app.Command("load", "Generate the open-loop load of a profile against entries on this machine and print the results that callers saw. It starts no process.")
	cmd.Flag("profile", "Load profile (YAML), for example examples/load/forbund.yaml.").Required().StringVar(&f.profile)
	cmd.Flag("entry", "Caller address of an entry, ip:port on loopback. May be repeated.").Required().StringsVar(&f.entries)
	cmd.Flag("operator", "Operator address of an entry; if set, the reclaim waves of the profile are applied to the stand-in engines.").StringVar(&f.operator)
	cmd.Flag("seed", "Random seed of the arrivals.").Default("1").Uint64Var(&f.seed)
	cmd.Flag("scale", "Factor by which the rates of the profile are multiplied.").Default("1").Float64Var(&f.scale)
	cmd.Flag("duration", "Upper bound on the profile's duration; 0 means none.").Default("0s").DurationVar(&f.duration)
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
		if opts.Engines, err = reclaimableEngines(ctx, f.operator); err != nil {
			return err
		}
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	return report.Write(os.Stdout)
}

// reclaimablePrefix is the name prefix of the machine classes that reclaim waves
// apply to.
const reclaimablePrefix = "reclaimable"

// reclaimableEngines returns the model engines on reclaimable hosts that an entry
// lists.
func reclaimableEngines(ctx context.Context, address string) ([]load.Engine, error) {
	objects, err := operator.NewClient(address).List(ctx, api.KindUpstream)
	if err != nil {
		return nil, err
	}
	var engines []load.Engine
	for _, o := range objects {
		s := o.Spec.(*api.UpstreamSpec)
		if s.Protocol == api.ProtocolCompletions && strings.HasPrefix(s.MachineClass, reclaimablePrefix) {
			engines = append(engines, load.Engine{Address: s.Address, AvailabilityZone: s.AvailabilityZone})
		}
	}
	return engines, nil
}

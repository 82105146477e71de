package bench

import (
	"os"
	"path/filepath"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/entry"
	"jaylink/internal/bench/model"
	"jaylink/internal/workload"
	"jaylink/kernel"
	"jaylink/plugin/standard"
)

// Deployment is one of the example deployments under examples/.
type Deployment struct {
	Name    string
	Entries []model.Site
}

// Deployments lists both example deployments, each with eight entries.
var Deployments = []Deployment{
	{Name: "parikh-smriti", Entries: sites("west-guj", "surat-a", "surat-b", "north-guj", "mehsana-a")},
	{Name: "forbund", Entries: sites("svealand", "vasteras", "orebro", "gotaland", "jonkoping")},
}

func sites(region, a, b, otherRegion, c string) []model.Site {
	var list []model.Site
	for range 3 {
		list = append(list, model.Site{Zone: a, Region: region}, model.Site{Zone: b, Region: region})
	}
	return append(list, model.Site{Zone: c, Region: otherRegion}, model.Site{Zone: c, Region: otherRegion})
}

// Chain is the name of a module chain to compare.
type Chain string

// The chains: the standard one and two baselines.
const (
	Standard    Chain = "standard"
	RoundRobin  Chain = "round_robin"
	LeastLoaded Chain = "least_loaded"
)

// modules returns the modules of a chain. A baseline has its own scorer instead of the
// standard ones and lacks filter.patience, which weighs prices.
func (c Chain) modules() []kernel.ModuleID {
	scorers := map[Chain]kernel.ModuleID{RoundRobin: "scorer.roundrobin", LeastLoaded: "scorer.leastloaded"}
	if c == Standard {
		return standard.Order
	}
	list := []kernel.ModuleID{scorers[c]}
	for _, id := range standard.Order {
		if id.Namespace() != "scorer" && id != "filter.patience" {
			list = append(list, id)
		}
	}
	return list
}

// Options returns the options for running the model of the deployment.
func (d Deployment) Options(examples string, c Chain, seed uint64) (model.Options, error) {
	dir := filepath.Join(examples, d.Name)
	profile, err := workload.Read(filepath.Join(examples, "load", d.Name+".yaml"))
	if err != nil {
		return model.Options{}, err
	}
	objects, err := readObjects(dir)
	return model.Options{
		Profile: profile, Objects: objects, Entries: d.Entries, Seed: seed, Credential: entry.Credential,
		Chain: func(s model.Site) (decision.Config, error) {
			return standard.Chain(s.Zone, s.Region, c.modules())
		},
	}, err
}

func readObjects(dir string) ([]*api.Object, error) {
	var objects []*api.Object
	for _, name := range []string{"services", "customers", "policies", "upstreams"} {
		file := filepath.Join(dir, name+".yaml")
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		sources, err := api.DecodeYAML(file, data)
		if err != nil {
			return nil, err
		}
		for _, s := range sources {
			objects = append(objects, s.Object)
		}
	}
	return objects, nil
}

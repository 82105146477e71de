package metastore

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
)

// Configuration is the configuration that a test writes in place of the operator.
type Configuration struct {
	Version int
	Routes  []Route
	// Engines names the services backed by model engines, Plain the other ones.
	Engines, Plain []string
	Customer       Customer
	MaxBodyBytes   int
	// MaxConnections is the number of connections that an upstream accepts from all entries
	// together; 0 means maxConnections.
	MaxConnections int
}

// Route is a route of the configuration; its path prefix is its name.
type Route struct {
	Name, Host, Service string
	// Kind is streaming, idempotent or non_idempotent.
	Kind      string
	Attempts  int
	Resumable bool
	// TimeoutMs is the longest time that a caller waits for an answer.
	TimeoutMs int
}

// Customer has API keys and a rate limit in tokens; 0 means none.
type Customer struct {
	Name        string
	Keys        []string
	Rate, Burst int
}

// Latency objectives of all routes and capacities of all services.
const (
	targetLatencyMs = 800
	targetGapMs     = 300
	engineSlots     = 16
	engineKVTokens  = 400_000
	maxConnections  = 100
	healthPath      = "/health"
	// firstStart is the start time of upstreams that have not been restarted, in Unix
	// milliseconds.
	firstStart = 1
)

// PutConfiguration writes a configuration, as the operator does.
func (s *Server) PutConfiguration(c Configuration) {
	routes, services := []any{}, []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service,
			"timeout-ms": r.TimeoutMs, "target-latency-ms": targetLatencyMs, "gap-aim-ms": targetGapMs, "priority": 0,
			"max-attempts": r.Attempts, "stream-resume": r.Resumable,
		})
	}
	for _, name := range c.Engines {
		services = append(services, map[string]any{
			"name": name, "max-connections": cmp.Or(c.MaxConnections, maxConnections), "health-path": healthPath,
			"engine": map[string]any{"slots": engineSlots, "kv-capacity": engineKVTokens},
		})
	}
	for _, name := range c.Plain {
		services = append(services, map[string]any{"name": name, "max-connections": cmp.Or(c.MaxConnections, maxConnections), "health-path": healthPath})
	}
	s.Put("config", "main", map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": c.MaxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": c.Customer.Name, "api-keys": c.Customer.Keys, "billing-unit": "tokens", "plain-tokens": 200,
			"rate-per-s": c.Customer.Rate, "burst": c.Customer.Burst,
		}},
	})
}

// PutUpstream registers an upstream, as the upstream itself does. State is "ready"
// or "draining".
func (s *Server) PutUpstream(id, service, address, zone, state string) {
	s.PutUpstreamProcess(id, service, address, zone, state, firstStart)
}

// PutUpstreamProcess is PutUpstream for a process with the given start time.
func (s *Server) PutUpstreamProcess(id, service, address, zone, state string, startMillis int64) {
	s.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "slots": engineSlots, "state": state, "born": startMillis,
	})
}

// PutVersionedUpstream is PutUpstream for an upstream that states its version.
func (s *Server) PutVersionedUpstream(id, service, version, address, zone, state string) {
	s.Put("servers", id, map[string]any{
		"service": service, "version": version, "address": address, "zone": zone, "slots": engineSlots, "state": state, "born": firstStart,
	})
}

// PutRollout orders a rollout, as the operator does.
func (s *Server) PutRollout(service, target string, durationS float64) {
	s.Put("rollouts", service, map[string]any{"service": service, "target": target, "duration-s": durationS})
}

// DeleteUpstream removes the registration of an upstream.
func (s *Server) DeleteUpstream(id string) { s.Delete("servers", id) }

// Usage decodes the call as a usage report and returns its window and counts.
func (d DutyCall) Usage() (window int64, counts map[string]int, err error) {
	var report struct {
		Window int64          `json:"window-id"`
		Counts map[string]int `json:"counts"`
	}
	err = json.Unmarshal([]byte(d.Body), &report)
	return report.Window, report.Counts, err
}

// EntrySettings has the values of an entry's settings file.
type EntrySettings struct {
	Name, IP, Zone, Region string
	Zones                  []string
	FrontPort, ReadyPort   int
	FirstPort, LastPort    int
	MemoryMB, MaxFiles     int
	GraceSeconds           float64
	UsageWindowSeconds     int
	// Store is the address of the store and the cloud API.
	Store string
}

// Text returns the settings file's content.
func (e EntrySettings) Text() string {
	lines := []string{
		"node-name=" + e.Name, "ip=" + e.IP, "zone=" + e.Zone, "region=" + e.Region,
		fmt.Sprintf("bind.front=%s:%d", e.IP, e.FrontPort), fmt.Sprintf("bind.ready=%s:%d", e.IP, e.ReadyPort),
		fmt.Sprintf("internal-ports=%d,%d", e.FirstPort, e.LastPort),
		fmt.Sprintf("limits.memory-mb=%d", e.MemoryMB), fmt.Sprintf("limits.max-fds=%d", e.MaxFiles),
		fmt.Sprintf("bounds.grace-s=%g", e.GraceSeconds), fmt.Sprintf("bounds.usage-window-s=%d", e.UsageWindowSeconds),
		"platform.address=" + e.Store, "cloud-api.address=" + e.Store, "cloud-api.duties=usage_reporting",
	}
	for _, zone := range e.Zones {
		lines = append(lines, "zones."+zone+"="+e.Region)
	}
	return strings.Join(lines, "\n") + "\n"
}

package entry

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"jaylink/api"
	"jaylink/internal/strictyaml"
	"jaylink/kernel"
	"jaylink/peer"
)

// Bounds on the values of settings.
const (
	minHeaderLimit = 1 << 10
	maxHeaderLimit = 1 << 20
	minBodyLimit   = 1 << 10
	maxBodyLimit   = 1 << 30
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Hour
	maxDecisions   = 1 << 20
	minRetention   = time.Hour
	maxRetention   = 30 * 24 * time.Hour
)

// entryNameRE matches a valid entry name. The name is a part of request IDs.
var entryNameRE = regexp.MustCompile(`^[a-z0-9-]{1,63}$`)

// settingsChecker validates the settings of one file and collects the errors.
type settingsChecker struct {
	doc  *strictyaml.Document
	errs []error
}

func (c *settingsChecker) add(field, format string, args ...any) {
	c.errs = append(c.errs, c.doc.Errorf(field, format, args...))
}

func (s *Settings) check(doc *strictyaml.Document) []error {
	c := &settingsChecker{doc: doc}
	c.identity(s)
	c.addresses(s)
	c.peerTLS(s)
	c.operators(s)
	c.limits(s)
	c.durations(s)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	c.recovery(s.Recovery)
	c.plugins(s.Plugins)
	return c.errs
}

func (c *settingsChecker) identity(s *Settings) {
	if !entryNameRE.MatchString(s.Name) {
		c.add("name", "%.70q is not a name; 1 to 63 of a-z, 0-9 and '-' are allowed", s.Name)
	}
	c.label("availability_zone", s.AvailabilityZone)
	c.label("region", s.Region)
}

func (c *settingsChecker) label(field, value string) {
	if value == "" {
		c.add(field, "missing")
	} else if err := api.CheckLabelValue(value); err != nil {
		c.add(field, "%v", err)
	}
}

func (c *settingsChecker) addresses(s *Settings) {
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.operator", s.Listen.Operator)
	c.address("listen.peer", s.Listen.Peer)
	c.address("platform", s.Platform)
	for i, peer := range s.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	ports := []string{s.Listen.Caller, s.Listen.Operator, s.Listen.Peer}
	for i, field := range []string{"listen.caller", "listen.operator", "listen.peer"} {
		if ports[i] != "" && slices.Index(ports, ports[i]) != i {
			c.add(field, "%s is used by another port already", ports[i])
		}
	}
}

func (c *settingsChecker) peerTLS(s *Settings) {
	if s.Advertise.Peer != "" {
		c.address("advertise.peer", s.Advertise.Peer)
	}
	t := s.PeerTLS
	if t.Plaintext {
		listen, err := netip.ParseAddrPort(s.Listen.Peer)
		if err == nil && !listen.Addr().IsLoopback() {
			c.add("peer_tls.plaintext", "listen.peer is %s; plaintext is allowed on a loopback address only", s.Listen.Peer)
		}
		if t != (PeerTLSSettings{Plaintext: true}) {
			c.add("peer_tls.plaintext", "can't be combined with certificate, key or authority")
		}
		return
	}
	missing := false
	for _, f := range []struct{ field, file string }{
		{"peer_tls.certificate", t.Certificate}, {"peer_tls.key", t.Key}, {"peer_tls.authority", t.Authority},
	} {
		if f.file == "" {
			c.add(f.field, "missing; name a file, or set peer_tls.plaintext on a loopback address")
			missing = true
		}
	}
	if missing {
		return
	}
	if _, err := peer.LoadCredentials(t.Certificate, t.Key, t.Authority); err != nil {
		c.add("peer_tls", "%v", err)
	}
}

func (c *settingsChecker) address(field, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.add(field, "%.64q is not an address; write ip:port", value)
	}
}

func (c *settingsChecker) limits(s *Settings) {
	checkRange(c, "limits.header", s.Limits.Header, minHeaderLimit, maxHeaderLimit)
	checkRange(c, "limits.body", s.Limits.Body, minBodyLimit, maxBodyLimit)
	checkRange(c, "limits.operator_body", s.Limits.OperatorBody, minBodyLimit, maxBodyLimit)
	checkRange(c, "limits.kept", s.Limits.Kept, minBodyLimit, maxBodyLimit)
	checkRange(c, "limits.answer", s.Limits.Answer, minBodyLimit, maxBodyLimit)
	checkRange(c, "record.decisions", s.Record.Decisions, 1, maxDecisions)
}

func (c *settingsChecker) durations(s *Settings) {
	c.interval("intervals.heartbeat", s.Intervals.Heartbeat)
	c.interval("intervals.load", s.Intervals.Load)
	c.interval("intervals.hosts", s.Intervals.Hosts)
	c.interval("intervals.watch", s.Intervals.Watch)
	c.interval("intervals.lease", s.Intervals.Lease)
	c.interval("intervals.retain", s.Intervals.Retain)
	checkRange(c, "drain.leave_delay", s.Drain.LeaveDelay, 0, api.Duration(maxInterval))
	c.interval("timeouts.body", s.Timeouts.Body)
	c.interval("timeouts.write", s.Timeouts.Write)
	c.interval("drain.timeout", s.Drain.Timeout)
	checkRange(c, "claims.retention", s.Claims.Retention, api.Duration(minRetention), api.Duration(maxRetention))
}

func (c *settingsChecker) interval(field string, value api.Duration) {
	checkRange(c, field, value, api.Duration(minInterval), api.Duration(maxInterval))
}

func checkRange[T interface{ ~int | ~int64 }](c *settingsChecker, field string, value, low, high T) {
	if value < low || value > high {
		c.add(field, "%v is out of range; %v to %v is allowed", value, low, high)
	}
}

func (c *settingsChecker) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(field, "%q is not known; allowed are %v", value, allowed)
	}
}

// plugins checks that each module exists, is listed once, has the given options
// and accepts their values.
func (c *settingsChecker) plugins(list []PluginSettings) {
	var seen []string
	for i, p := range list {
		field := fmt.Sprintf("plugins[%d]", i)
		info, ok := kernel.Lookup(kernel.ModuleID(p.ID))
		if !ok {
			c.add(field+".id", "%q is not a module; allowed are %v", p.ID, chainModules())
			continue
		}
		if slices.Contains(seen, p.ID) {
			c.add(field+".id", "%s is listed twice", p.ID)
		}
		seen = append(seen, p.ID)
		if errs := c.doc.DecodeAt(field+".options", info.New()); len(errs) > 0 {
			c.errs = append(c.errs, errs...)
			continue
		}
		if _, err := loadModule(p); err != nil {
			c.add(field+".options", "%v", errors.Unwrap(err))
		}
	}
}

// chainModules returns the IDs of the modules that can be used in the chain.
func chainModules() []kernel.ModuleID {
	var ids []kernel.ModuleID
	for _, namespace := range []string{"filter", "scorer", "limit", "retry"} {
		ids = append(ids, kernel.Modules(namespace)...)
	}
	return ids
}

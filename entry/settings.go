package entry

import (
	"errors"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"jaylink/api"
	"jaylink/internal/strictyaml"
)

// Settings configure one entry process. They are read once, at start.
type Settings struct {
	// Name identifies the entry in the fleet; a-z, 0-9 and '-'.
	Name string `yaml:"name"`
	// Host is the name of the entry's host in the host list and in reclaim
	// notices. Default: the entry's name.
	Host string `yaml:"host"`
	// AvailabilityZone and Region say where the entry runs.
	AvailabilityZone string `yaml:"availability_zone"`
	Region           string `yaml:"region"`
	// Listen has the addresses of the ports.
	Listen ListenSettings `yaml:"listen"`
	// Platform is the platform's address, "ip:port".
	Platform string `yaml:"platform"`
	// Peers are peer ports of other entries to begin with.
	Peers []string `yaml:"peers"`
	// Advertise has addresses that differ from those listened on.
	Advertise AdvertiseSettings `yaml:"advertise"`
	// PeerTLS secures the peer port.
	PeerTLS PeerTLSSettings `yaml:"peer_tls"`
	// Limits bound what callers may send and upstreams may answer.
	Limits LimitSettings `yaml:"limits"`
	// Operators say who may use the operator port.
	Operators OperatorSettings `yaml:"operators"`
	// Timeouts bound how long a slow caller can hold a connection.
	Timeouts TimeoutSettings `yaml:"timeouts"`
	// Drain says how the entry stops.
	Drain DrainSettings `yaml:"drain"`
	// Claims says how long idempotency keys are kept.
	Claims ClaimSettings `yaml:"claims"`
	// Intervals say how often things are asked for.
	Intervals IntervalSettings `yaml:"intervals"`
	// Recovery describes the machines and the link for moves of streams off
	// reclaimed upstreams.
	Recovery RecoverySettings `yaml:"recovery"`
	// Record bounds what the entry remembers of its decisions.
	Record RecordSettings `yaml:"record"`
	// Log says what is logged.
	Log LogSettings `yaml:"log"`
	// Plugins replace the standard chain, in order.
	Plugins []PluginSettings `yaml:"plugins"`
}

// ListenSettings have the addresses of the ports, each "ip:port".
type ListenSettings struct {
	// Caller is for callers and the balancer's health checks.
	Caller string `yaml:"caller"`
	// Operator is for the operator commands.
	Operator string `yaml:"operator"`
	// Peer is for other entries.
	Peer string `yaml:"peer"`
}

// AdvertiseSettings have addresses that differ from those listened on.
type AdvertiseSettings struct {
	// Peer is where other entries reach the peer port, "ip:port"; empty
	// means listen.peer.
	Peer string `yaml:"peer"`
}

// PeerTLSSettings secure the peer port: both sides of a connection show a
// certificate of the authority.
type PeerTLSSettings struct {
	// Certificate is the file with this entry's certificate (PEM). It is read
	// again when it is renewed.
	Certificate string `yaml:"certificate"`
	// Key is the file with the certificate's private key (PEM).
	Key string `yaml:"key"`
	// Authority is the file with the certificate of the authority that signs
	// those of all entries, and nothing else (PEM).
	Authority string `yaml:"authority"`
	// Plaintext leaves out TLS; allowed only if listen.peer is a loopback
	// address. Default false.
	Plaintext bool `yaml:"plaintext"`
}

// LimitSettings bound sizes.
type LimitSettings struct {
	// Header bounds a request's headers. Default 64KiB.
	Header api.ByteSize `yaml:"header"`
	// Body bounds a request's body. Default 4MiB.
	Body api.ByteSize `yaml:"body"`
	// OperatorBody bounds the body of a call of the operator port.
	// Default 16MiB.
	OperatorBody api.ByteSize `yaml:"operator_body"`
	// Answer bounds an upstream's answer. Default 16MiB.
	Answer api.ByteSize `yaml:"answer"`
	// Kept bounds prompts and answers of ended requests that are kept for
	// callers that come back; the oldest are forgotten first. Default 64MiB.
	Kept api.ByteSize `yaml:"kept"`
}

// OperatorSettings say who may use the operator port.
type OperatorSettings struct {
	// CredentialsFile is a file with a line "NAME credential=HASH" for each
	// operator, the hash as "jaylink credential" prints it for a token. Without
	// it everyone who reaches the port may write, which is allowed only if
	// listen.operator is a loopback address.
	CredentialsFile string `yaml:"credentials_file"`
}

// TimeoutSettings bound how long a slow caller can hold a connection.
type TimeoutSettings struct {
	// Body bounds the time in which a request's body must arrive. Default 30s.
	Body api.Duration `yaml:"body"`
	// Write bounds the time in which a caller must take one piece of its
	// answer; the request itself goes on and can be read again. Default 30s.
	Write api.Duration `yaml:"write"`
}

// DrainSettings say how the entry stops.
type DrainSettings struct {
	// LeaveDelay is how long the entry goes on accepting requests after it
	// told the balancer that it is leaving. Default 3s.
	LeaveDelay api.Duration `yaml:"leave_delay"`
	// Timeout bounds the wait for requests in flight. Default 2m.
	Timeout api.Duration `yaml:"timeout"`
}

// ClaimSettings say how long idempotency keys are kept.
type ClaimSettings struct {
	// Retention is how long a key is kept after its first use. A repeat that
	// comes later is run again. At least 1h, at most 720h. Default 24h.
	Retention api.Duration `yaml:"retention"`
}

// IntervalSettings say how often things are asked for.
type IntervalSettings struct {
	// Heartbeat is the time between rounds with peers. Default 500ms.
	Heartbeat api.Duration `yaml:"heartbeat"`
	// Load is the time between load reports of an upstream. Default 1s.
	Load api.Duration `yaml:"load"`
	// Hosts is the time between readings of the host list. Default 2s.
	Hosts api.Duration `yaml:"hosts"`
	// Watch bounds one waiting watch. Default 30s.
	Watch api.Duration `yaml:"watch"`
	// Lease is how long the lease for orders holds after a renewal; it is
	// the same on all entries. Default 9s.
	Lease api.Duration `yaml:"lease"`
	// Retain is how long an ended request can be read again. Default 2m.
	Retain api.Duration `yaml:"retain"`
}

// RecordSettings bound what the entry remembers of its decisions.
type RecordSettings struct {
	// Decisions is the number of decisions that "jaylink explain" can look
	// back on; each takes about 1 KiB of memory. Default 4096.
	Decisions int `yaml:"decisions"`
}

// LogSettings say what is logged.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level"`
	// Format is "text" or "json". Default "json".
	Format string `yaml:"format"`
}

// PluginSettings choose one module and its options.
type PluginSettings struct {
	// ID is the module, for example "scorer.price".
	ID string `yaml:"id"`
	// Options are the module's own; see its page.
	Options yaml.Node `yaml:"options"`
}

// DefaultSettings returns the settings that a file starts from.
func DefaultSettings() Settings {
	return Settings{
		Limits:   LimitSettings{Header: 64 << 10, Body: 4 << 20, OperatorBody: 16 << 20, Answer: 16 << 20, Kept: 64 << 20},
		Timeouts: TimeoutSettings{Body: api.Duration(30 * time.Second), Write: api.Duration(30 * time.Second)},
		Drain: DrainSettings{
			LeaveDelay: api.Duration(3 * time.Second),
			Timeout:    api.Duration(2 * time.Minute),
		},
		Claims: ClaimSettings{Retention: api.Duration(24 * time.Hour)},
		Intervals: IntervalSettings{
			Heartbeat: api.Duration(500 * time.Millisecond),
			Load:      api.Duration(time.Second),
			Hosts:     api.Duration(2 * time.Second),
			Watch:     api.Duration(30 * time.Second),
			Lease:     api.Duration(9 * time.Second),
			Retain:    api.Duration(2 * time.Minute),
		},
		Recovery: defaultRecovery(),
		Record:   RecordSettings{Decisions: 4096},
		Log:      LogSettings{Level: "info", Format: "json"},
	}
}

// ReadSettings reads and checks a settings file. Overrides replace what the
// file says, the later ones win. It returns all mistakes at once, joined; each
// names file, line and field, or the source of the override.
func ReadSettings(file string, overrides ...Override) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return DefaultSettings(), err
	}
	return ParseSettings(file, data, overrides...)
}

// ParseSettings is ReadSettings for text that has been read already.
func ParseSettings(file string, data []byte, overrides ...Override) (Settings, error) {
	s := DefaultSettings()
	doc, err := strictyaml.One(file, data)
	if err != nil {
		return s, err
	}
	errs := override(doc, overrides)
	errs = append(errs, doc.Decode(&s)...)
	errs = append(errs, s.check(doc)...)
	return s, errors.Join(errs...)
}

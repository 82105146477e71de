package entry

import (
	"errors"
	"os"
	"time"

	"gopkg.in/yaml.v3"

	"jaylink/api"
	"jaylink/internal/strictyaml"
)

// Settings is the configuration of one entry process. It is read once, at
// startup.
type Settings struct {
	// Name identifies the entry in the fleet. It has 1 to 63 of the characters
	// a-z, 0-9 and '-'.
	Name string `yaml:"name"`
	// Host is the name of the entry's host in the host list and in reclaim
	// notices. Default: the entry's name.
	Host string `yaml:"host"`
	// AvailabilityZone and Region are the location of the entry.
	AvailabilityZone string `yaml:"availability_zone"`
	Region           string `yaml:"region"`
	// Listen sets the addresses of the entry's ports.
	Listen ListenSettings `yaml:"listen"`
	// Platform is the address of the hosting platform, "ip:port".
	Platform string `yaml:"platform"`
	// Peers are the addresses of peer ports of other entries, through which the
	// entry joins the fleet, each "ip:port".
	Peers []string `yaml:"peers"`
	// Advertise sets the addresses that other entries use, if they differ from
	// the listen addresses.
	Advertise AdvertiseSettings `yaml:"advertise"`
	// PeerTLS configures TLS for the peer port.
	PeerTLS PeerTLSSettings `yaml:"peer_tls"`
	// Limits bounds the sizes of requests and answers and the memory for kept
	// answers.
	Limits LimitSettings `yaml:"limits"`
	// Operators sets who may use the operator port.
	Operators OperatorSettings `yaml:"operators"`
	// Timeouts bounds how long a slow caller can hold a connection.
	Timeouts TimeoutSettings `yaml:"timeouts"`
	// Drain configures the graceful shutdown of the entry.
	Drain DrainSettings `yaml:"drain"`
	// Claims sets how long idempotency keys are kept.
	Claims ClaimSettings `yaml:"claims"`
	// Intervals sets the intervals of polling and heartbeats, and related
	// durations.
	Intervals IntervalSettings `yaml:"intervals"`
	// Recovery describes the machines and the link between regions, for moving
	// streams off reclaimed upstreams.
	Recovery RecoverySettings `yaml:"recovery"`
	// Record bounds the history of decisions that the entry keeps.
	Record RecordSettings `yaml:"record"`
	// Log sets the level and format of the log.
	Log LogSettings `yaml:"log"`
	// Plugins replaces the standard chain of modules, in order.
	Plugins []PluginSettings `yaml:"plugins"`
}

// ListenSettings has the addresses of the entry's ports, each "ip:port".
type ListenSettings struct {
	// Caller serves callers and the load balancer's health checks.
	Caller string `yaml:"caller"`
	// Operator serves the operator commands.
	Operator string `yaml:"operator"`
	// Peer serves other entries.
	Peer string `yaml:"peer"`
}

// AdvertiseSettings has the addresses that other entries use, if they differ
// from the listen addresses.
type AdvertiseSettings struct {
	// Peer is the address at which other entries reach the peer port,
	// "ip:port". Default: listen.peer.
	Peer string `yaml:"peer"`
}

// PeerTLSSettings configures mutual TLS for the peer port: both sides of a
// connection present a certificate that the authority has signed.
type PeerTLSSettings struct {
	// Certificate is the file with this entry's certificate (PEM). It is
	// reloaded after it has been renewed.
	Certificate string `yaml:"certificate"`
	// Key is the file with the certificate's private key (PEM).
	Key string `yaml:"key"`
	// Authority is the file with the certificate of the authority that signs
	// the certificates of all entries (PEM). It must sign no other certificates,
	// because the holder of any of them is accepted as an entry.
	Authority string `yaml:"authority"`
	// Plaintext disables TLS. It is allowed only if listen.peer is a loopback
	// address. Default false.
	Plaintext bool `yaml:"plaintext"`
}

// LimitSettings bounds the sizes of requests and answers and the memory for kept
// answers.
type LimitSettings struct {
	// Header bounds the size of a request's headers. Default 64KiB.
	Header api.ByteSize `yaml:"header"`
	// Body bounds the size of a request's body. Default 4MiB.
	Body api.ByteSize `yaml:"body"`
	// OperatorBody bounds the size of a request's body on the operator port.
	// Default 16MiB.
	OperatorBody api.ByteSize `yaml:"operator_body"`
	// Answer bounds the size of an upstream's answer. Default 16MiB.
	Answer api.ByteSize `yaml:"answer"`
	// Kept bounds the total size of the prompts and answers of completed
	// requests that are kept for callers that reconnect. The oldest are deleted
	// first. Default 64MiB.
	Kept api.ByteSize `yaml:"kept"`
}

// OperatorSettings sets who may use the operator port.
type OperatorSettings struct {
	// CredentialsFile is a file with a line "NAME credential=HASH" for each
	// operator, where "jaylink credential" prints the hash of a token. Without
	// the file, everyone who can connect to the port may write, which is
	// allowed only if listen.operator is a loopback address.
	CredentialsFile string `yaml:"credentials_file"`
}

// TimeoutSettings bounds how long a slow caller can hold a connection.
type TimeoutSettings struct {
	// Body bounds the time in which a request's body must arrive. Default 30s.
	Body api.Duration `yaml:"body"`
	// Write bounds the time for writing one part of an answer to the caller.
	// After a timeout the request continues and its answer can be read again.
	// Default 30s.
	Write api.Duration `yaml:"write"`
}

// DrainSettings configures the graceful shutdown of the entry.
type DrainSettings struct {
	// LeaveDelay is how long the entry continues to accept requests after it
	// has told the load balancer that it is leaving. Default 3s.
	LeaveDelay api.Duration `yaml:"leave_delay"`
	// Timeout bounds the wait for requests in flight. Default 2m.
	Timeout api.Duration `yaml:"timeout"`
}

// ClaimSettings sets how long idempotency keys are kept.
type ClaimSettings struct {
	// Retention is how long a key is kept after its first use. A request that
	// repeats the key after that time is executed again. At least 1h, at most
	// 720h. Default 24h.
	Retention api.Duration `yaml:"retention"`
}

// IntervalSettings sets the intervals of polling and heartbeats, and related
// durations.
type IntervalSettings struct {
	// Heartbeat is the time between rounds of the membership protocol with
	// peers. Default 500ms.
	Heartbeat api.Duration `yaml:"heartbeat"`
	// Load is the time between two polls of an upstream's load. Default 1s.
	Load api.Duration `yaml:"load"`
	// Hosts is the time between two reads of the host list. Default 2s.
	Hosts api.Duration `yaml:"hosts"`
	// Watch bounds how long one watch call waits for changes. Default 30s.
	Watch api.Duration `yaml:"watch"`
	// Lease is how long the lease for orders is valid after a renewal. It must
	// be the same on all entries. Default 9s.
	Lease api.Duration `yaml:"lease"`
	// Retain is how long the answer of a completed request can be read again.
	// Default 2m.
	Retain api.Duration `yaml:"retain"`
}

// RecordSettings bounds the history of decisions that the entry keeps.
type RecordSettings struct {
	// Decisions is the number of decisions that the entry keeps for "jaylink
	// explain". Each takes about 1 KiB of memory. Default 4096.
	Decisions int `yaml:"decisions"`
}

// LogSettings sets the level and format of the log.
type LogSettings struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level"`
	// Format is "text" or "json". Default "json".
	Format string `yaml:"format"`
}

// PluginSettings selects one module and its options.
type PluginSettings struct {
	// ID is the ID of the module, for example "scorer.price".
	ID string `yaml:"id"`
	// Options are the options of the module; see the README.md in its folder.
	Options yaml.Node `yaml:"options"`
}

// DefaultSettings returns the settings with all defaults, which a settings file
// overrides.
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

// ReadSettings reads and validates a settings file. Overrides replace values of
// the file; a later override replaces an earlier one. All errors are returned
// together, joined; each has the file, line and field, or the source of the
// override.
func ReadSettings(file string, overrides ...Override) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return DefaultSettings(), err
	}
	return ParseSettings(file, data, overrides...)
}

// ParseSettings is like ReadSettings, but takes the contents of the file.
func ParseSettings(file string, data []byte, overrides ...Override) (Settings, error) {
	s := DefaultSettings()
	doc, err := strictyaml.One(file, data)
	if err != nil {
		return s, err
	}
	errs := applyOverrides(doc, overrides)
	errs = append(errs, doc.Decode(&s)...)
	errs = append(errs, s.check(doc)...)
	return s, errors.Join(errs...)
}

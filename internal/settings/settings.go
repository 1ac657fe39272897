// Package settings reads and checks the TOML settings of the roles entry and
// agent.
package settings

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// Common holds the settings that both roles share. Fields with the tag
// reload:"yes" take effect on reload, all others at the next start.
type Common struct {
	// Name is unique among the processes of the role. For an agent it is the
	// name of its upstream. Required.
	Name string `toml:"name" validate:"required,max=128,printascii,excludes= "`
	// Host is the name of the machine in the platform's host list. Required.
	Host state.HostName `toml:"host" validate:"required,max=128"`
	// Region groups data centres that are about 1 ms apart. Required.
	Region state.Region `toml:"region" validate:"required,max=128"`
	// DataCentre is the zone of the host. Required.
	DataCentre state.DataCentre `toml:"data_centre" validate:"required,max=128"`
	// Listen holds the addresses that the process binds.
	Listen Listen `toml:"listen"`
	// Peers lists the entries of this and the other regions. An agent uses
	// those of its region until heartbeats tell it of others.
	Peers []Peer `toml:"peers" validate:"max=1024,dive"`
	// TLS holds certificates; without them connections are in clear text.
	TLS TLS `toml:"tls"`
	// Telemetry says where logs and metrics go.
	Telemetry Telemetry `toml:"telemetry"`
	// Shutdown bounds a planned stop.
	Shutdown Shutdown `toml:"shutdown" reload:"yes"`
}

// Listen holds the addresses that a process binds, each "host:port".
type Listen struct {
	// Callers is the HTTP address for traffic: of callers at an entry, of
	// entries at an agent. Required.
	Callers string `toml:"callers" validate:"required,listen_address"`
	// Operators is the HTTP address of the operators' API, health and
	// metrics. Required for an entry; an agent without it serves no metrics.
	Operators string `toml:"operators" validate:"omitempty,listen_address"`
	// Control is the jsonrpc2 address for other processes. Required.
	Control string `toml:"control" validate:"required,listen_address"`
}

// Platform holds the addresses of the platform's services, as URLs.
type Platform struct {
	// Log is the URL of the append-only log service. Required.
	Log string `toml:"log" validate:"required,http_url"`
	// Hosts is the URL of the host list. Required.
	Hosts string `toml:"hosts" validate:"required,http_url"`
}

// Peer is an entry that this process may call.
type Peer struct {
	// Name is the entry's name. Required.
	Name state.EntryName `toml:"name" validate:"required"`
	// Region of the entry. Required.
	Region state.Region `toml:"region" validate:"required"`
	// DataCentre of the entry. Required.
	DataCentre state.DataCentre `toml:"data_centre" validate:"required"`
	// Control is the entry's jsonrpc2 address, "host:port". Required.
	Control string `toml:"control" validate:"required,dial_address"`
	// Callers is the entry's HTTP address for callers, "host:port". Requests
	// that this region can't serve go there if the entry is of another
	// region. Default: none go there.
	Callers string `toml:"callers" validate:"omitempty,dial_address"`
}

// TLS holds the certificates by the other side of the connection.
type TLS struct {
	// Callers secures Listen.Callers.
	Callers Certificate `toml:"callers"`
	// Operators secures Listen.Operators.
	Operators Certificate `toml:"operators"`
	// Internal secures connections between processes, in both directions;
	// both sides check the other's certificate against its CAFile, which is
	// required here.
	Internal Certificate `toml:"internal"`
	// Platform checks the https addresses that this process calls: the log,
	// the host list, an agent's upstream and the endpoint of metrics.
	Platform Authorities `toml:"platform"`
}

// Authorities names whom connections that this process opens trust.
type Authorities struct {
	// CAFile is a PEM file with the authorities that the other side's
	// certificate must come from; it is read at the start. Default: those of
	// the host.
	CAFile string `toml:"ca_file"`
}

// Certificate names the PEM files of one side of a connection.
type Certificate struct {
	// CertFile is the certificate chain. Default: none, clear text.
	CertFile string `toml:"cert_file" validate:"required_with=KeyFile CAFile"`
	// KeyFile is the private key of CertFile.
	KeyFile string `toml:"key_file" validate:"required_with=CertFile"`
	// CAFile holds the authorities that the other side's certificate must
	// come from. Default: the other side shows no certificate.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether the certificate is set.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Telemetry says where logs and metrics go.
type Telemetry struct {
	// LogFormat is "text" or "json". Default "text".
	LogFormat string `toml:"log_format" validate:"oneof=text json"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error" reload:"yes"`
	// OTLPEndpoint is the URL that metrics are pushed to over HTTP.
	// Default: none, no push.
	OTLPEndpoint string `toml:"otlp_endpoint" validate:"omitempty,http_url"`
	// OTLPInterval is the time between pushes. Default 15s.
	OTLPInterval state.Duration `toml:"otlp_interval" validate:"min_duration=1s,max_duration=1h"`
	// TopNames is how many models and adapters get a label value of their
	// own in a metric at a time; the rest count as "other". Default 50; at
	// most 300, which keeps each metric below the library's limit of 2,000
	// time series.
	TopNames int `toml:"top_names" validate:"min=1,max=300"`
}

// Shutdown bounds the two steps of a planned stop.
type Shutdown struct {
	// DrainTimeout is how long the process finishes accepted work after it
	// has stopped taking new work. Default 30s.
	DrainTimeout state.Duration `toml:"drain_timeout" validate:"min_duration=0s,max_duration=1h"`
	// StopTimeout is how long it then takes at most until its end: to end
	// what is left, write the last records and push the last metrics.
	// Default 5s.
	StopTimeout state.Duration `toml:"stop_timeout" validate:"min_duration=100ms,max_duration=10m"`
}

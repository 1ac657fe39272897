// Package settings reads and validates the TOML settings files of the roles
// entry, agent and gateway.
package settings

import "github.com/lagoonvalve/lagoonvalve/internal/state"

// Common holds the settings that all roles share. Fields with the tag
// reload:"yes" take effect on reload, all others at the next start.
type Common struct {
	// Name is unique among the processes of the role. For an agent it is the
	// name of its upstream. Required.
	Name string `toml:"name" validate:"required,max=128,printascii,excludes= "`
	// Host is the name of the machine in the platform's host list. Required.
	Host state.HostName `toml:"host" validate:"required,max=128"`
	// Region is the region of the host; it groups data centres that are about
	// 1 ms apart. Required.
	Region state.Region `toml:"region" validate:"required,max=128"`
	// DataCentre is the data centre of the host. Required.
	DataCentre state.DataCentre `toml:"data_centre" validate:"required,max=128"`
	// Listen holds the addresses that the process binds.
	Listen Listen `toml:"listen"`
	// Peers lists the entries of this and the other regions. An agent uses
	// those of its region until it receives others from heartbeats.
	Peers []Peer `toml:"peers" validate:"max=1024,dive"`
	// TLS holds the certificates; without them connections are not encrypted.
	TLS TLS `toml:"tls"`
	// Telemetry says where logs and metrics go.
	Telemetry Telemetry `toml:"telemetry"`
	// MemoryLimit is the memory of the host. Default: that of the process's control group
	// or, without a limit there, of the machine.
	MemoryLimit state.Bytes `toml:"memory_limit" validate:"omitempty,min=33554432"`
	// MaxDescriptors is how many descriptors the process may open. Default: its limit in
	// the operating system.
	MaxDescriptors int `toml:"max_descriptors" validate:"omitempty,min=64,max=10000000"`
	// Ingress limits what callers can make the process hold.
	Ingress Ingress `toml:"ingress"`
	// Shutdown limits how long a planned stop takes.
	Shutdown Shutdown `toml:"shutdown" reload:"yes"`
}

// Listen holds the addresses that a process binds, each in the form
// "host:port".
type Listen struct {
	// Callers is the HTTP address for requests: an agent serves entries
	// there, the other roles serve callers. Required.
	Callers string `toml:"callers" validate:"required,listen_address"`
	// Operators is the HTTP address of the operators' API, health checks and
	// metrics. Required for an entry; an agent without it serves no metrics.
	Operators string `toml:"operators" validate:"omitempty,listen_address"`
	// Control is the JSON-RPC 2.0 address that other processes call. Required.
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
	// Control is the entry's JSON-RPC 2.0 address, "host:port". Required.
	Control string `toml:"control" validate:"required,dial_address"`
	// Callers is the entry's HTTP address for callers, "host:port". If the
	// entry is in another region, requests that this region can't serve are
	// forwarded there. Default: none, no requests are forwarded.
	Callers string `toml:"callers" validate:"omitempty,dial_address"`
}

// TLS holds the certificates and authorities for each kind of peer.
type TLS struct {
	// Callers secures Listen.Callers.
	Callers Certificate `toml:"callers"`
	// Operators secures Listen.Operators.
	Operators Certificate `toml:"operators"`
	// Internal secures connections between processes with mutual TLS: each
	// side verifies the other's certificate against its own CAFile, which is
	// required here.
	Internal Certificate `toml:"internal"`
	// Platform verifies the servers behind the https URLs that this process
	// calls: the log, the host list, an agent's upstream and the metrics
	// endpoint.
	Platform CertificateAuthorities `toml:"platform"`
}

// CertificateAuthorities names the authorities that this process trusts when it
// opens a TLS connection.
type CertificateAuthorities struct {
	// CAFile is a PEM file with the certificate authorities; one of them must
	// have issued the server's certificate. It is read at startup. Default: the
	// host's trusted authorities.
	CAFile string `toml:"ca_file"`
}

// Certificate names the PEM files of one side of a connection.
type Certificate struct {
	// CertFile is the certificate chain. Default: none, no encryption.
	CertFile string `toml:"cert_file" validate:"required_with=KeyFile CAFile"`
	// KeyFile is the private key of CertFile.
	KeyFile string `toml:"key_file" validate:"required_with=CertFile"`
	// CAFile holds the certificate authorities; one of them must have issued
	// the other side's certificate. Default: a server requests no client
	// certificate, and a client trusts the host's authorities.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether a certificate file is set.
func (c Certificate) Enabled() bool { return c.CertFile != "" }

// Telemetry says where logs and metrics go.
type Telemetry struct {
	// LogFormat is "text" or "json". Default "text".
	LogFormat string `toml:"log_format" validate:"oneof=text json"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `toml:"log_level" validate:"oneof=debug info warn error" reload:"yes"`
	// OTLPEndpoint is the URL to which metrics are pushed over HTTP.
	// Default: none, no push.
	OTLPEndpoint string `toml:"otlp_endpoint" validate:"omitempty,http_url"`
	// OTLPInterval is the time between pushes. Default 15s.
	OTLPInterval state.Duration `toml:"otlp_interval" validate:"min_duration=1s,max_duration=1h"`
	// TopNames is how many models and adapters have their own label value in
	// a metric at a time; the rest are counted as "other". Default 50; at
	// most 300, which keeps each metric below the library's limit of 2,000
	// time series.
	TopNames int `toml:"top_names" validate:"min=1,max=300"`
}

// Shutdown limits the two steps of a planned stop.
type Shutdown struct {
	// DrainTimeout is how long the process may take to finish accepted work
	// after it has stopped accepting new work. Default 30s.
	DrainTimeout state.Duration `toml:"drain_timeout" validate:"min_duration=0s,max_duration=1h"`
	// StopTimeout is how long the process may then take to cancel the
	// remaining work, write the last records and push the last metrics before
	// it exits. Default 5s.
	StopTimeout state.Duration `toml:"stop_timeout" validate:"min_duration=100ms,max_duration=10m"`
}

package agent

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/headers"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

const (
	defaultConcurrency  = 16
	defaultQueueBytes   = 64 * state.MiB
	defaultMaxBody      = 8 * state.MiB
	defaultDeadline     = 30 * time.Second
	defaultWakeFor      = 30 * time.Second
	defaultShutdown     = 20 * time.Second
	defaultSettle       = 10 * time.Second
	defaultOrderTimeout = 5 * time.Minute
	defaultMaxLoads     = 2
	defaultMaxClaims    = 100_000
)

// DefaultKeepAlive is how long an idle replica stays loaded while nothing else
// is known.
const DefaultKeepAlive = 5 * time.Minute

// withDefaults fills what is not set.
func (c Config) withDefaults() Config {
	c.Incarnation = cmp.Or(c.Incarnation, uuid.NewString())
	c.Concurrency = cmp.Or(c.Concurrency, defaultConcurrency)
	c.MaxLong = cmp.Or(c.MaxLong, max(c.Concurrency/2, 1))
	c.QueueBytes = cmp.Or(c.QueueBytes, defaultQueueBytes)
	c.MaxBody = cmp.Or(c.MaxBody, defaultMaxBody)
	c.DefaultDeadline = cmp.Or(c.DefaultDeadline, defaultDeadline)
	c.KeepAlive = cmp.Or(c.KeepAlive, DefaultKeepAlive)
	c.WakeFor = cmp.Or(c.WakeFor, defaultWakeFor)
	c.Shutdown = cmp.Or(c.Shutdown, defaultShutdown)
	c.Settle = cmp.Or(c.Settle, defaultSettle)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, defaultOrderTimeout)
	c.MaxLoads = cmp.Or(c.MaxLoads, defaultMaxLoads)
	c.MaxClaims = cmp.Or(c.MaxClaims, defaultMaxClaims)
	return c
}

func (c Config) check() error {
	u := c.Upstream
	switch {
	case u.Name == "" || u.Region == "":
		return errors.New("upstream: name and region must be set")
	case u.ControlAddr == "" || u.TrafficAddr == "":
		return errors.New("upstream: control_addr and traffic_addr must be set")
	case u.Kind != state.PlainService && u.Memory <= 0:
		return errors.New("upstream: memory must be set")
	case u.Kind != state.PlainService && u.Fencing != state.FencingEnforced && u.Fencing != state.FencingIgnored:
		return errors.Errorf("upstream: unknown fencing kind %q", u.Fencing)
	case c.Concurrency < 1 || c.MaxLong < 1 || c.MaxLong > c.Concurrency:
		return errors.New("concurrency must be at least 1 and max_long between 1 and it")
	}
	return nil
}

func (c Config) baseURL() (*url.URL, error) {
	base, err := url.Parse(c.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "base URL")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("base URL %q: want http://host:port", c.BaseURL)
	}
	return base, nil
}

func (d Deps) withDefaults(cfg Config) Deps {
	if d.Logger == nil {
		d.Logger = slog.New(slog.DiscardHandler)
	}
	if d.Counters == nil {
		d.Counters = noCounters{}
	}
	if d.Meter == nil {
		d.Meter = noMeter{}
	}
	if d.Decided == nil {
		d.Decided = func(state.Audit) {}
	}
	if d.Gap == nil {
		d.Gap = func(state.ReplicaKey, time.Duration) {}
	}
	if d.Watcher == nil {
		d.Watcher = func() (string, bool) { return "", false }
	}
	if d.Listen == nil {
		d.Listen = func(ctx context.Context, addr string) (net.Listener, error) {
			var config net.ListenConfig
			return config.Listen(ctx, "tcp", addr)
		}
	}
	if d.Transport == nil {
		d.Transport = newTransport(cfg.Concurrency, d.TLS)
	}
	return d
}

func (d Deps) check(cfg Config) error {
	switch {
	case d.Parts == nil || d.Appender == nil || d.Caller == nil || d.Queue == nil:
		return errors.New("parts, appender, caller and queue must be set")
	case d.Engine == nil && cfg.Upstream.Kind != state.PlainService:
		return errors.New("engine must be set")
	}
	return nil
}

// newTransport makes the connections to the upstream. It takes no proxy from
// the environment and passes compressed answers on as they are.
func newTransport(concurrency int, secured *tls.Config) *http.Transport {
	dialer := net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     secured,
		DisableCompression:  true,
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
		IdleConnTimeout:     time.Minute,
		WriteBufferSize:     copyBuffer,
		ReadBufferSize:      copyBuffer,

		MaxResponseHeaderBytes: int64(headers.MaxResponseHead),
	}
}

type noCounters struct{}

func (noCounters) Add(string, uint64) {}

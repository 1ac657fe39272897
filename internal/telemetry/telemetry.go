// Package telemetry sets up metrics and logs and holds the instruments for
// everything that the system measures.
package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/otlptranslator"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// scope names the instrumentation in pushed metrics.
const scope = "github.com/lagoonvalve/lagoonvalve"

// Telemetry is the set-up of a process.
type Telemetry struct {
	*Instruments
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// Start sets up metrics for a process with the given settings. If the settings
// name an OTLP endpoint, metrics are pushed to it from then on.
func Start(ctx context.Context, common settings.Common) (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, errors.Wrap(err, "register runtime metrics")
	}
	// The names already carry units and _total.
	page, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithTranslationStrategy(otlptranslator.UnderscoreEscapingWithoutSuffixes),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, errors.Wrap(err, "set up the Prometheus page")
	}
	options := []sdkmetric.Option{sdkmetric.WithReader(page), sdkmetric.WithResource(describe(common))}
	if common.Telemetry.OTLPEndpoint != "" {
		push, err := pushReader(ctx, common)
		if err != nil {
			return nil, err
		}
		options = append(options, sdkmetric.WithReader(push))
	}
	provider := sdkmetric.NewMeterProvider(options...)
	instruments, err := newInstruments(provider.Meter(scope), common.Telemetry.TopNames)
	if err != nil {
		return nil, err
	}
	return &Telemetry{Instruments: instruments, provider: provider, registry: registry}, nil
}

func describe(common settings.Common) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "lagoonvalve"),
		attribute.String("service.instance.id", common.Name),
		attribute.String("host.name", string(common.Host)),
		attribute.String("cloud.region", string(common.Region)),
		attribute.String("cloud.availability_zone", string(common.DataCentre)),
	)
}

func pushReader(ctx context.Context, common settings.Common) (sdkmetric.Reader, error) {
	t := common.Telemetry
	options := []otlpmetrichttp.Option{otlpmetrichttp.WithEndpointURL(t.OTLPEndpoint)}
	authorities, err := common.TLS.Platform.ClientConfig()
	if err != nil {
		return nil, err
	}
	if authorities != nil && settings.IsHTTPS(t.OTLPEndpoint) {
		options = append(options, otlpmetrichttp.WithTLSClientConfig(authorities))
	}
	exporter, err := otlpmetrichttp.New(ctx, options...)
	if err != nil {
		return nil, errors.Wrap(err, "set up the push of metrics")
	}
	return sdkmetric.NewPeriodicReader(exporter, sdkmetric.WithInterval(t.OTLPInterval.Std())), nil
}

// Handler serves the Prometheus page.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown pushes the last metrics and ends the push.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	if err := t.provider.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down telemetry")
	}
	return nil
}

// NewLogger returns a logger that writes to w as the settings say. A reload
// changes its level through the returned variable.
func NewLogger(w io.Writer, common settings.Common) (*slog.Logger, *slog.LevelVar) {
	level := &slog.LevelVar{}
	level.Set(Level(common.Telemetry.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if common.Telemetry.LogFormat == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("process", common.Name, "region", string(common.Region)), level
}

// Level returns the level of a name that the settings allow.
func Level(name string) slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return level
}

package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/roles"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/platform"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway on the platform's registry: route and relay requests, place models",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Usage: "TOML settings `FILE`; without it, where the platform puts the settings",
		}},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("config")
	if path == "" {
		path = platform.SettingsPath()
	}
	cfg, err := settings.Load[settings.Gateway](path)
	if err != nil {
		return err
	}
	sink := telemetry.NewSink(os.Stdout)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		sink.Run(logging)
	}()
	defer func() {
		stopLogging()
		<-written
	}()
	logger, level := telemetry.NewLogger(sink, cfg.Common)
	store := platform.NewStore(cfg.Store, cfg.StoreTimeout.Std())
	on := roles.GatewayPlatform{
		Manifests:   store.Manifests(),
		Upstreams:   store.Upstreams(),
		Lease:       store.Lease(),
		Quarantines: store.Quarantines(),
		Engines:     platform.NewEngines(cfg.EngineTimeout.Std()),
		Dialect:     platform.Dialect{},
		ReadyPath:   platform.ReadyPath,
	}
	reloads := roles.ReloadOn[settings.Gateway](ctx, path, hangups(), logger)
	return roles.StartGateway(ctx, cfg, on, roles.Process[settings.Gateway]{Logger: logger, Level: level, Reloads: reloads})
}

package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/demo"
	"github.com/lagoonvalve/lagoonvalve/internal/roles"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "TOML settings `FILE`", Required: true}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: take, route and relay requests",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := settings.Load[settings.Entry](cmd.String("config"))
			if err != nil {
				return err
			}
			logger, level := telemetry.NewLogger(os.Stderr, cfg.Common)
			reloads := roles.ReloadOn[settings.Entry](ctx, cmd.String("config"), hangups(), logger)
			return roles.StartEntry(ctx, cfg, roles.Process[settings.Entry]{Logger: logger, Level: level, Reloads: reloads})
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "run an agent beside an upstream",
		Flags: []cli.Flag{configFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := settings.Load[settings.Agent](cmd.String("config"))
			if err != nil {
				return err
			}
			logger, level := telemetry.NewLogger(os.Stderr, cfg.Common)
			reloads := roles.ReloadOn[settings.Agent](ctx, cmd.String("config"), hangups(), logger)
			return roles.StartAgent(ctx, cfg, roles.Process[settings.Agent]{Logger: logger, Level: level, Reloads: reloads})
		},
	}
}

// hangups gives the signals that ask for a reload.
func hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func standinCommand() *cli.Command {
	command := &cli.Command{Name: "standin", Usage: "run a small stand-in of a platform service"}
	for _, kind := range roles.StandinKinds {
		command.Commands = append(command.Commands, standinKind(kind))
	}
	return command
}

func standinKind(kind string) *cli.Command {
	return &cli.Command{
		Name:  kind,
		Usage: "stand in for the platform's " + kind + "; POST /faults sets its faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve", Value: "127.0.0.1:0"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the engine or service", Value: kind},
			&cli.StringFlag{Name: "memory", Usage: "accelerator memory of an engine", Value: "24GiB"},
			&cli.StringFlag{Name: "fencing", Usage: "enforced or ignored, of an engine", Value: "enforced"},
			&cli.StringFlag{Name: "store", Usage: "`URL` of the store of an engine"},
			&cli.DurationFlag{Name: "lag", Usage: "lag of the host list"},
			&cli.StringSliceFlag{Name: "host", Usage: "`NAME` of a live host of the host list"},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the hosts"},
			&cli.FloatFlag{Name: "appends-per-second", Usage: "rate limit of the log; 0 for none"},
			&cli.IntFlag{Name: "retain-records", Usage: "records that a stream of the log keeps; 0 for all"},
			&cli.DurationFlag{Name: "resume-for", Usage: "how long an engine keeps streams whose readers have left; 0 for not at all"},
			&cli.StringFlag{Name: "key-field", Usage: "field of a service's body that names a call", Value: "id"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error { return runStandin(ctx, kind, cmd) },
	}
}

func runStandin(ctx context.Context, kind string, cmd *cli.Command) error {
	memory, err := state.ParseBytes(cmd.String("memory"))
	if err != nil {
		return err
	}
	opts := roles.StandinOptions{
		Listen:           cmd.String("listen"),
		Name:             cmd.String("name"),
		Memory:           memory,
		Fencing:          state.FencingKind(cmd.String("fencing")),
		Store:            cmd.String("store"),
		Lag:              cmd.Duration("lag"),
		DataCentre:       state.DataCentre(cmd.String("data-centre")),
		AppendsPerSecond: cmd.Float("appends-per-second"),
		RetainRecords:    cmd.Int("retain-records"),
		ResumeFor:        cmd.Duration("resume-for"),
		KeyField:         cmd.String("key-field"),
	}
	for _, host := range cmd.StringSlice("host") {
		opts.Hosts = append(opts.Hosts, state.HostName(host))
	}
	return roles.RunStandin(ctx, kind, opts, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in one process on loopback",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "send four requests, print the answers and stop"},
			&cli.BoolFlag{Name: "verbose", Usage: "log changes of state"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	level := slog.LevelError
	if cmd.Bool("verbose") {
		level = slog.LevelInfo
	}
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	running, err := demo.Start(ctx, logger)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if cmd.Bool("once") {
		return errors.Join(running.Once(ctx, out), running.Stop())
	}
	running.Describe(out)
	<-ctx.Done()
	return running.Stop()
}

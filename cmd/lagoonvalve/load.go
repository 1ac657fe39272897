package main

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to entries whose engines are stand-ins; measure and check the answers",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Usage: "callers' `URL` of an entry; several are used in turn", Required: true},
			&cli.StringFlag{Name: "caller", Usage: "`NAME` of the caller", Value: "box-office"},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests per second", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "time in which requests are sent", Value: 10 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrival times and contents", Value: 1},
			&cli.StringSliceFlag{Name: "model", Usage: "`MODEL[=WEIGHT]` of the mix; a model may be model:adapter", Required: true},
			&cli.StringSliceFlag{Name: "priority", Usage: "`CLASS[=WEIGHT]` of the mix; default normal"},
			&cli.IntFlag{Name: "tokens", Usage: "output length of short requests", Value: 8},
			&cli.IntFlag{Name: "long-tokens", Usage: "output length of long requests", Value: 400},
			&cli.FloatFlag{Name: "long-share", Usage: "share of long requests, 0 to 1"},
			&cli.FloatFlag{Name: "stream-share", Usage: "share of streamed answers, 0 to 1", Value: 0.5},
			&cli.StringSliceFlag{Name: "burst", Usage: "`COUNT@TIME`: requests sent at one time"},
			&cli.StringSliceFlag{Name: "step", Usage: "`RATE@TIME+DURATION`: another rate for a while"},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of a request", Value: 10 * time.Second},
			&cli.IntFlag{Name: "max-requests", Usage: "bound of the requests of the run", Value: 100_000},
			&cli.IntFlag{Name: "max-open", Usage: "bound of the requests in flight", Value: 2000},
			&cli.BoolFlag{Name: "json", Usage: "write the report as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	cfg, err := loadConfig(cmd)
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, cfg, load.NewTransport(cfg.MaxOpen))
	if err != nil {
		return err
	}
	if !cmd.Bool("json") {
		return report.WriteTable(cmd.Root().Writer)
	}
	encoder := json.NewEncoder(cmd.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func loadConfig(cmd *cli.Command) (load.Config, error) {
	cfg := load.Config{
		URLs: cmd.StringSlice("url"), Caller: cmd.String("caller"),
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Seed: cmd.Uint64("seed"),
		ShortTokens: cmd.Int("tokens"), LongTokens: cmd.Int("long-tokens"),
		LongShare: cmd.Float("long-share"), StreamShare: cmd.Float("stream-share"),
		Deadline: cmd.Duration("deadline"), MaxRequests: cmd.Int("max-requests"), MaxOpen: cmd.Int("max-open"),
	}
	var err error
	if cfg.Models, err = parseMix(cmd.StringSlice("model")); err != nil {
		return cfg, err
	}
	if cfg.Priorities, err = parseMix(cmd.StringSlice("priority")); err != nil {
		return cfg, err
	}
	for _, text := range cmd.StringSlice("burst") {
		burst, err := parseBurst(text)
		if err != nil {
			return cfg, err
		}
		cfg.Bursts = append(cfg.Bursts, burst)
	}
	for _, text := range cmd.StringSlice("step") {
		step, err := parseStep(text)
		if err != nil {
			return cfg, err
		}
		cfg.Steps = append(cfg.Steps, step)
	}
	return cfg, nil
}

func parseMix(texts []string) ([]load.Weighted, error) {
	var mix []load.Weighted
	for _, text := range texts {
		name, weightText, ok := strings.Cut(text, "=")
		weight := 1.0
		if ok {
			var err error
			if weight, err = strconv.ParseFloat(weightText, 64); err != nil {
				return nil, errors.Errorf("%q: want NAME=WEIGHT", text)
			}
		}
		mix = append(mix, load.Weighted{Value: name, Weight: weight})
	}
	return mix, nil
}

func parseBurst(text string) (load.Burst, error) {
	countText, atText, _ := strings.Cut(text, "@")
	count, errCount := strconv.Atoi(countText)
	at, errAt := time.ParseDuration(atText)
	if errCount != nil || errAt != nil || count < 1 || at < 0 {
		return load.Burst{}, errors.Errorf("%q: want COUNT@TIME, such as 100@2s", text)
	}
	return load.Burst{At: at, Count: count}, nil
}

func parseStep(text string) (load.Step, error) {
	rateText, rest, _ := strings.Cut(text, "@")
	atText, forText, _ := strings.Cut(rest, "+")
	rate, errRate := strconv.ParseFloat(rateText, 64)
	at, errAt := time.ParseDuration(atText)
	length, errFor := time.ParseDuration(forText)
	if errors.Join(errRate, errAt, errFor) != nil || rate < 0 || at < 0 || length <= 0 {
		return load.Step{}, errors.Errorf("%q: want RATE@TIME+DURATION, such as 200@5s+3s", text)
	}
	return load.Step{At: at, For: length, Rate: rate}, nil
}

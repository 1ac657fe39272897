package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/bench"
)

func experimentsCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiments",
		Usage: "run the policies in virtual time beside a naive version and print a table",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seed", Usage: "seed of the arrivals", Value: 1},
			&cli.StringSliceFlag{Name: "size", Usage: "`SIZE` to run; default all (ticketing, archive, region)"},
			&cli.StringSliceFlag{Name: "experiment", Usage: "`NAME` to run; default all"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return bench.Run(cmd.Root().Writer, bench.Options{
				Seed:        uint64(cmd.Int("seed")),
				Sizes:       cmd.StringSlice("size"),
				Experiments: cmd.StringSlice("experiment"),
			})
		},
	}
}

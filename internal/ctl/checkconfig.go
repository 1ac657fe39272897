package ctl

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// CheckConfigCommand returns the subcommand "check-config". It exits with
// ExitMistake and all mistakes of the file, or with ExitOK.
func CheckConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check the settings file of a role",
		ArgsUsage: "entry|agent FILE",
		Action:    checkConfig,
	}
}

func checkConfig(_ context.Context, cmd *cli.Command) error {
	role, path := cmd.Args().Get(0), cmd.Args().Get(1)
	var err error
	switch {
	case path == "" || cmd.Args().Len() > 2:
		return cli.Exit("want a role, entry or agent, and a file", int(ExitMistake))
	case role == "entry":
		_, err = settings.Load[settings.Entry](path)
	case role == "agent":
		_, err = settings.Load[settings.Agent](path)
	default:
		return cli.Exit(fmt.Sprintf("unknown role %q: want entry or agent", role), int(ExitMistake))
	}
	if err != nil {
		return cli.Exit(err.Error(), int(ExitMistake))
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: settings of role %s are valid\n", path, role)
	return err
}

package ctl

import (
	"context"
	"fmt"
	"os"
	"regexp"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// CheckConfigCommand returns the subcommand "check-config". It exits with
// ExitMistake and all mistakes of the file, or with ExitOK.
func CheckConfigCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-config",
		Usage:     "check the settings file of a role",
		ArgsUsage: "[entry|agent] FILE",
		Action:    checkConfig,
	}
}

func checkConfig(_ context.Context, cmd *cli.Command) error {
	role, path := cmd.Args().Get(0), cmd.Args().Get(1)
	if cmd.Args().Len() == 1 {
		role, path = roleOf(role), role
	}
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

// upstreamTable matches the table that only an agent's settings have.
var upstreamTable = regexp.MustCompile(`(?m)^\s*\[upstream\]`)

// roleOf tells which role a settings file is for. A file that can't be read is
// taken for an entry's; loading it reports why.
func roleOf(path string) string {
	data, err := os.ReadFile(path)
	if err == nil && upstreamTable.Match(data) {
		return "agent"
	}
	return "entry"
}

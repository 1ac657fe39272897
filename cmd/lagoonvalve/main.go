// Command lagoonvalve serves rarely used machine-learning models. Its
// subcommands are the roles of the system; see README.md.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/ctl"
)

// version is the release; the linker sets it for release builds.
var version = "dev"

func main() {
	app := &cli.Command{
		Name:  "lagoonvalve",
		Usage: "serve rarely used machine-learning models",
		Commands: []*cli.Command{
			{Name: "version", Usage: "print the version", Action: printVersion},
			ctl.Command(),
			ctl.CheckConfigCommand(),
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonvalve:", err)
		os.Exit(1)
	}
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprintln(cmd.Root().Writer, "lagoonvalve", version)
	return err
}

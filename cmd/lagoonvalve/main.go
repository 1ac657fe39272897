// Command lagoonvalve serves rarely used machine-learning models. Its
// subcommands are the roles of the system; see README.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/ctl"
)

// version is the release; the linker sets it for release builds.
var version = "dev"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonvalve:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name:  "lagoonvalve",
		Usage: "serve rarely used machine-learning models",
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			gatewayCommand(),
			explainCommand(),
			standinCommand(),
			demoCommand(),
			experimentsCommand(),
			loadCommand(),
			{Name: "version", Usage: "print the version", Action: printVersion},
			ctl.Command(),
			ctl.CheckConfigCommand(),
		},
	}
	return app.Run(ctx, os.Args)
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	_, err := fmt.Fprintln(cmd.Root().Writer, "lagoonvalve", version)
	return err
}

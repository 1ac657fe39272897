package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
)

// dialTimeout bounds the set-up of a connection to an entry.
const dialTimeout = 5 * time.Second

// Command returns the subcommand "ctl".
func Command() *cli.Command {
	return &cli.Command{
		Name:      "ctl",
		Usage:     "give an operator's statement to an entry; without one, start a session",
		ArgsUsage: "['STATEMENT']",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Usage: "the entry's operators' `URL`", Value: "http://127.0.0.1:8081", Sources: cli.EnvVars("LAGOONVALVE_URL")},
			&cli.StringFlag{Name: "token-file", Usage: "`FILE` with the bearer token; default: the variable LAGOONVALVE_TOKEN"},
			&cli.StringFlag{Name: "ca-file", Usage: "`FILE` with the authorities of the entry's certificate; default: those of the host"},
			&cli.StringFlag{Name: "format", Usage: "table, json or csv", Value: string(oplang.FormatTable)},
			&cli.DurationFlag{Name: "timeout", Usage: "time for one statement", Value: 30 * time.Second},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	session, err := newSession(cmd)
	if err != nil {
		return err
	}
	var code ExitCode
	if statement := strings.Join(cmd.Args().Slice(), " "); statement != "" {
		code = session.Run(ctx, statement)
	} else {
		code = session.Interactive(ctx, NewPrompter())
	}
	if code != ExitOK {
		return cli.Exit("", int(code))
	}
	return nil
}

func newSession(cmd *cli.Command) (*Session, error) {
	format, err := oplang.ParseFormat(cmd.String("format"))
	if err != nil {
		return nil, cli.Exit(err.Error(), int(ExitMistake))
	}
	token, err := readToken(cmd.String("token-file"))
	if err != nil {
		return nil, cli.Exit(err.Error(), int(ExitMistake))
	}
	client, err := newHTTPClient(cmd.String("ca-file"), cmd.Duration("timeout"))
	if err != nil {
		return nil, cli.Exit(err.Error(), int(ExitMistake))
	}
	return &Session{
		Client: &Client{URL: cmd.String("url"), Token: token, HTTP: client},
		Format: format,
		Out:    cmd.Root().Writer,
		Err:    cmd.Root().ErrWriter,
	}, nil
}

func readToken(path string) (string, error) {
	if path == "" {
		return os.Getenv("LAGOONVALVE_TOKEN"), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(data)), nil
}

func newHTTPClient(caFile string, timeout time.Duration) (*http.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSHandshakeTimeout = dialTimeout
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s holds no certificate", caFile)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Transport: transport, Timeout: timeout}, nil
}

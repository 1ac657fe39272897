package main

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// explainTimeout bounds the call to the gateway.
const explainTimeout = 5 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "say where a gateway would send a request now, and why; sends nothing and changes nothing",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Usage: "control `ADDRESS` of the gateway, listen.control of its settings", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request; with --path it names the route"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "service", Usage: "`SERVICE` of the route; default: the one with the greatest weight"},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` of the request; without host and path it names the route too"},
			&cli.StringFlag{Name: "adapter", Usage: "`ADAPTER` of the request"},
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team whose key the request carries; never the key"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "size of the prompt in tokens"},
			&cli.IntFlag{Name: "answer-tokens", Usage: "size of the longest answer in tokens"},
			&cli.StringFlag{Name: "part", Usage: "hexadecimal `ID` of a part that prompts share, as in log lines"},
			&cli.IntFlag{Name: "part-tokens", Usage: "size of that part in tokens"},
			&cli.IntFlag{Name: "priority", Usage: "`RANK` instead of that of route or team, 0 is the most urgent"},
			&cli.DurationFlag{Name: "deadline", Usage: "how long the caller waits; default: as long as the route permits"},
			&cli.BoolFlag{Name: "json", Usage: "write the answer as JSON"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	params, err := explainParams(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	client := rpc.NewClient()
	defer client.Close()
	var result rpc.ExplainResult
	if err := client.Call(ctx, cmd.String("control"), rpc.MethodExplain, params, &result); err != nil {
		return explainError(err, cmd.String("control"))
	}
	if cmd.Bool("json") {
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return writeExplanation(cmd.Root().Writer, &result)
}

func explainParams(cmd *cli.Command) (rpc.ExplainParams, error) {
	params := rpc.ExplainParams{
		Host: cmd.String("host"), Path: cmd.String("path"), Service: state.ServiceName(cmd.String("service")),
		Model: state.ModelName(cmd.String("model")), Adapter: state.AdapterName(cmd.String("adapter")), Team: state.TeamName(cmd.String("team")),
		Prompt: cmd.Int("prompt-tokens"), MaxAnswer: cmd.Int("answer-tokens"), PartTokens: cmd.Int("part-tokens"),
		Deadline: state.Duration(cmd.Duration("deadline")),
	}
	if params.Host == "" && params.Model == "" && params.Service == "" {
		return params, errors.New("want --host and --path, --model or --service")
	}
	if params.Prompt < 0 || params.MaxAnswer < 0 || params.PartTokens < 0 || params.Deadline < 0 {
		return params, errors.New("sizes and the deadline must not be negative")
	}
	if text := cmd.String("part"); text != "" {
		part, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return params, errors.Errorf("--part %q: want a hexadecimal number", text)
		}
		params.Part = part
	}
	if cmd.IsSet("priority") {
		priority := cmd.Int("priority")
		params.Priority = &priority
	}
	return params, nil
}

// explainError returns an error that says what is wrong with the gateway or the parameters.
func explainError(err error, control string) error {
	var rpcErr *jsonrpc2.Error
	var v *verdict.Verdict
	switch {
	case errors.As(err, &rpcErr) && rpcErr.Code == jsonrpc2.CodeMethodNotFound:
		return errors.Errorf("the process at %s is no gateway, or one of a version without explanations", control)
	case errors.As(err, &v):
		return errors.New(v.Detail)
	case errors.Is(err, rpc.ErrUnreachable):
		return errors.Errorf("no gateway can be reached at %s", control)
	case errors.Is(err, context.DeadlineExceeded):
		return errors.Errorf("the gateway at %s has not answered for %v", control, explainTimeout)
	default:
		return err
	}
}

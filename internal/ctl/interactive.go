package ctl

import (
	"context"
	"io"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterh/liner"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
)

const prompt = "lagoonvalve> "

// Prompter reads lines from an operator.
type Prompter interface {
	// Prompt returns the next line, or io.EOF at the end.
	Prompt(prompt string) (string, error)
	AppendHistory(line string)
	io.Closer
}

// NewPrompter returns a prompter on the terminal with history and completion.
// The history lasts as long as the prompter: nothing is kept on disk.
func NewPrompter() Prompter {
	state := liner.NewLiner()
	state.SetCtrlCAborts(true)
	state.SetTabCompletionStyle(liner.TabPrints)
	state.SetCompleter(oplang.Complete)
	return state
}

const help = `Statements start with show, explain, create, change, delete, drain, undrain,
pin, unload, prewarm, activate, quarantine or release; the Tab key completes.
Session: format table|json|csv, help, exit.`

// Interactive carries out statements until the operator ends the session. It
// returns the exit code of the last statement.
func (s *Session) Interactive(ctx context.Context, prompter Prompter) ExitCode {
	defer func() { _ = prompter.Close() }()
	last := ExitOK
	for ctx.Err() == nil {
		line, err := prompter.Prompt(prompt)
		switch {
		case errors.Is(err, liner.ErrPromptAborted):
			continue
		case errors.Is(err, io.EOF):
			return last
		case err != nil:
			s.complain("%v", err)
			return last
		}
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		prompter.AppendHistory(line)
		if line == "exit" || line == "quit" {
			return last
		}
		if !s.local(line) {
			last = s.Run(ctx, line)
		}
	}
	return last
}

// local carries out the words that concern only the session.
func (s *Session) local(line string) bool {
	if line == "help" {
		s.complain("%s", help)
		return true
	}
	name, ok := strings.CutPrefix(line, "format ")
	if !ok {
		return false
	}
	format, err := oplang.ParseFormat(strings.TrimSpace(name))
	if err != nil {
		s.complain("%v", err)
		return true
	}
	s.Format = format
	return true
}

package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// ExitCode is the exit code of a statement.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the statement was carried out in full.
	ExitOK ExitCode = 0
	// ExitRefused means that nothing was changed.
	ExitRefused ExitCode = 1
	// ExitMistake means that the statement is wrong.
	ExitMistake ExitCode = 2
	// ExitUnreachable means that no answer came, or that the entry could
	// not find out whether a change took effect.
	ExitUnreachable ExitCode = 3
	// ExitIncomplete means that a query was answered in part.
	ExitIncomplete ExitCode = 4
)

// Session gives statements to an entry and writes what they come to.
type Session struct {
	Client *Client
	Format oplang.Format
	// Out gets results, Err gets everything else.
	Out, Err io.Writer
}

// Run carries out one statement.
func (s *Session) Run(ctx context.Context, statement string) ExitCode {
	answer, err := s.Client.Operate(ctx, statement)
	if err != nil {
		s.complain("%v", err)
		if errors.Is(err, ErrNoAnswer) && mayChange(statement) {
			s.complain("the command may have taken effect; look at: show audit since < 10m")
		}
		return ExitUnreachable
	}
	if answer.Error != nil {
		return s.fail(statement, answer.Error)
	}
	if err := oplang.Write(s.Out, tableOf(answer), s.Format); err != nil {
		s.complain("%v", err)
		return ExitUnreachable
	}
	if len(answer.Incomplete) > 0 {
		s.complain("incomplete: %d parts are missing", len(answer.Incomplete))
		return ExitIncomplete
	}
	return ExitOK
}

// mayChange reports whether a statement is not known to be a query. An entry
// of a later version may know commands that this client does not.
func mayChange(statement string) bool {
	parsed, err := oplang.Parse(statement)
	return err != nil || parsed.Changes()
}

func (s *Session) fail(statement string, failure *oplang.AnswerError) ExitCode {
	if failure.Code == oplang.CodeMistake {
		if m := failure.Mistake; m != nil && m.Column >= 1 && m.Column <= len(statement)+1 {
			s.complain("%s", m.Point(statement))
		}
		s.complain("%s", failure.Message)
		return ExitMistake
	}
	s.complain("%s: %s", failure.Code, failure.Message)
	if failure.Code == string(verdict.ReasonUnknownOutcome) {
		return ExitUnreachable
	}
	return ExitRefused
}

// complain writes a line to Err; there is nobody to tell if that fails.
func (s *Session) complain(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Err, format+"\n", args...)
}

func tableOf(answer oplang.Answer) oplang.Table {
	table := oplang.Table{Rows: answer.Rows, Incomplete: answer.Incomplete}
	for _, name := range answer.Columns {
		table.Columns = append(table.Columns, oplang.Column{Name: name})
	}
	return table
}

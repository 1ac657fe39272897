// Package ctl is the client of the operators' API: single statements and an
// interactive session.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// operatePath is the path of the operators' API for statements.
const operatePath = "/v1/operate"

// maxAnswerBytes bounds an answer. An entry's own bound, on the rows, is well
// below.
const maxAnswerBytes = 2 * oplang.MaxAnswerBytes

// ErrNotSent means that no entry was reached, so that nothing was done.
var ErrNotSent = errors.New("entry not reached")

// ErrNoAnswer means that the statement was sent and no usable answer came back.
// A command may have taken effect; a query changes nothing.
var ErrNoAnswer = errors.New("no answer")

// Request is the body of a request to the operators' API.
type Request struct {
	Statement string        `json:"statement"`
	Format    oplang.Format `json:"format"`
}

// Client sends statements to an entry.
type Client struct {
	// URL is the base URL of the entry's operators' API.
	URL string
	// Token is the operator's bearer token.
	Token string
	// HTTP carries the requests and bounds their time.
	HTTP *http.Client
}

// Operate sends a statement. The error wraps ErrNotSent or ErrNoAnswer; why a
// statement was refused is in the answer.
func (c *Client) Operate(ctx context.Context, statement string) (oplang.Answer, error) {
	body, err := json.Marshal(Request{Statement: statement, Format: oplang.FormatJSON})
	if err != nil {
		return oplang.Answer{}, errors.Wrap(err, "encode statement")
	}
	url := strings.TrimSuffix(c.URL, "/") + operatePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return oplang.Answer{}, errors.Wrapf(ErrNotSent, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.Token)
	// A command must not be sent twice; without GetBody the transport does
	// not repeat the request on another connection.
	request.GetBody = nil
	response, err := c.HTTP.Do(request)
	if err != nil {
		return oplang.Answer{}, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

func sendError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return errors.Wrapf(ErrNotSent, "%v", err)
	}
	return errors.Wrapf(ErrNoAnswer, "%v", err)
}

func readAnswer(response *http.Response) (oplang.Answer, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(maxAnswerBytes)+1))
	if err != nil {
		return oplang.Answer{}, errors.Wrapf(ErrNoAnswer, "read: %v", err)
	}
	if state.Bytes(len(data)) > maxAnswerBytes {
		return oplang.Answer{}, errors.Wrapf(ErrNoAnswer, "longer than %s; narrow a query with where, by or limit", maxAnswerBytes)
	}
	var answer oplang.Answer
	err = json.Unmarshal(data, &answer)
	switch {
	case err == nil && (answer.Error != nil || response.StatusCode == http.StatusOK):
		return answer, nil
	case response.StatusCode == http.StatusUnauthorized:
		return refused(verdict.ReasonUnauthorized, "the token is unknown"), nil
	case response.StatusCode == http.StatusForbidden:
		return refused(verdict.ReasonForbidden, "the token's role does not allow this"), nil
	default:
		return oplang.Answer{}, errors.Wrapf(ErrNoAnswer, "status %s without an answer", response.Status)
	}
}

func refused(reason verdict.Reason, message string) oplang.Answer {
	return oplang.Answer{Error: &oplang.AnswerError{Code: string(reason), Message: message}}
}

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// check is one of the requests of Once and what must come back.
type check struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// Once sends a cold request, a warm streamed one, a non-idempotent one twice
// with the same key through both entries, and one that must be refused. It
// prints what came back and returns an error unless all four were right.
func (d *Demo) Once(ctx context.Context, w io.Writer) error {
	checks := []check{
		{"cold request", d.coldRequest},
		{"warm streamed request", d.streamedRequest},
		{"non-idempotent call, sent twice", d.issueTwice},
		{"deadline that can't be met", d.refusedRequest},
	}
	var failures []error
	for _, c := range checks {
		started := time.Now()
		got, err := c.run(ctx)
		state := "ok"
		if err != nil {
			state = "FAILED: " + err.Error()
			failures = append(failures, errors.Wrap(err, c.name))
		}
		_, _ = fmt.Fprintf(w, "%-34s %6d ms  %s\n    %s\n", c.name, time.Since(started).Milliseconds(), state, got)
	}
	return errors.Join(failures...)
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (d *Demo) post(ctx context.Context, entry int, path, body string, header map[string]string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Entries[entry]+path, strings.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "new request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Lagoon-Caller", callerName)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read answer")
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(bytes.TrimSpace(data))}, nil
}

func (d *Demo) coldRequest(ctx context.Context) (string, error) {
	got, err := d.post(ctx, 0, "/v1/completions", `{"model": "seating", "prompt": "Where is row 12?", "max_tokens": 8}`, nil)
	if err != nil {
		return "", err
	}
	want := standin.CompletionText("seating", "", "Where is row 12?", 8)
	var parsed struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(got.body), &parsed); err != nil || len(parsed.Choices) != 1 {
		return got.body, errors.Errorf("status %d, not a completion", got.status)
	}
	if parsed.Choices[0].Text != want {
		return got.body, errors.Errorf("want the text %q", want)
	}
	return got.body, nil
}

func (d *Demo) streamedRequest(ctx context.Context) (string, error) {
	got, err := d.post(ctx, 1, "/v1/completions", `{"model": "seating", "prompt": "And row 13?", "max_tokens": 4, "stream": true}`, nil)
	if err != nil {
		return "", err
	}
	events := strings.Count(got.body, "data: ")
	summary := fmt.Sprintf("%d events, %s", events, got.header.Get("Content-Type"))
	if got.status != http.StatusOK || events < 5 || !strings.HasSuffix(got.body, "data: [DONE]") {
		return summary + "\n" + got.body, errors.Errorf("status %d, not a whole stream", got.status)
	}
	return summary, nil
}

func (d *Demo) issueTwice(ctx context.Context) (string, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return "", errors.Wrap(err, "new key")
	}
	header := map[string]string{"Idempotency-Key": key.String()}
	body := fmt.Sprintf(`{"order": "%s", "seat": "12-7"}`, key)
	var replies []reply
	for entry := range d.Entries {
		got, err := d.post(ctx, entry, "/v1/services/"+serviceName+"/issue", body, header)
		if err != nil {
			return "", err
		}
		replies = append(replies, got)
	}
	ran := d.Service.Executions()[key.String()]
	summary := fmt.Sprintf("executed %d time(s); statuses %d and %d; second: %s", ran, replies[0].status, replies[1].status, replies[1].body)
	if ran != 1 || replies[0].status != http.StatusOK || replies[1].body != replies[0].body {
		return summary, errors.New("want one execution and the same answer twice")
	}
	return summary, nil
}

func (d *Demo) refusedRequest(ctx context.Context) (string, error) {
	got, err := d.post(ctx, 0, "/v1/completions", `{"model": "captions", "prompt": "A plate", "max_tokens": 8}`,
		map[string]string{"Lagoon-Deadline-Ms": "5"})
	if err != nil {
		return "", err
	}
	if got.header.Get(verdict.HeaderVerdict) != verdict.NotRun.String() || got.status < http.StatusBadRequest {
		return got.body, errors.Errorf("status %d, verdict %q; want a refusal as not run", got.status, got.header.Get(verdict.HeaderVerdict))
	}
	return got.body, nil
}

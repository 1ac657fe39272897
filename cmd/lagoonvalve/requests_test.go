//go:build linux

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// sending is a request that a script sent.
type sending struct {
	want   string
	stream bool

	started atomic.Bool
	done    chan struct{}
	took    time.Duration
	status  int
	header  http.Header
	body    string
	err     error
}

// cmdSend sends a request in the background: send NAME ENTRY KEY=VALUE...
// Either model=, prompt=, tokens= and stream=yes ask for a completion, or call=
// calls the service tickets, or body=FILE is sent as it is; size=BYTES pads the
// prompt. key=WORD stands for an idempotency key that all uses of WORD share.
// deadline= is in milliseconds.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	if len(args) < 3 {
		ts.Fatalf("usage: send NAME ENTRY KEY=VALUE...")
	}
	p, err := f.find(args[1])
	ts.Check(err)
	opts := pairs(ts, args[2:])
	req, s, err := f.request(p, opts)
	ts.Check(err)
	f.mu.Lock()
	f.sent[args[0]] = s
	f.mu.Unlock()
	go s.run(f.client, req)
}

func (f *fleet) request(entry *process, opts map[string]string) (*http.Request, *sending, error) {
	s := &sending{done: make(chan struct{}), stream: opts["stream"] == "yes"}
	path := "/v1/completions"
	var body string
	var err error
	switch {
	case opts["call"] != "":
		path = "/v1/services/tickets" + opts["call"]
		body = fmt.Sprintf(`{"id": %q}`, f.key(opts["key"]))
	case opts["body"] != "":
		var data []byte
		data, err = os.ReadFile(filepath.Join(f.dir, filepath.Base(opts["body"])))
		body = string(data)
	default:
		body, s.want = completionBody(opts)
	}
	if err != nil {
		return nil, nil, errors.Wrap(err, "body")
	}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry.addr+path, strings.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "new request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Lagoon-Caller", "box-office")
	if opts["key"] != "" {
		req.Header.Set("Idempotency-Key", f.key(opts["key"]))
	}
	if opts["deadline"] != "" {
		req.Header.Set("Lagoon-Deadline-Ms", opts["deadline"])
	}
	return req, s, nil
}

func completionBody(opts map[string]string) (body, want string) {
	tokens, _ := strconv.Atoi(opts["tokens"])
	prompt := opts["prompt"]
	if size, _ := strconv.Atoi(opts["size"]); size > 0 {
		prompt = strings.Repeat("x", size)
	}
	encoded, _ := json.Marshal(map[string]any{
		"model": opts["model"], "prompt": prompt, "max_tokens": tokens, "stream": opts["stream"] == "yes",
	})
	return string(encoded), standin.CompletionText(state.ModelName(opts["model"]), "", prompt, tokens)
}

// key returns the idempotency key that word stands for.
func (f *fleet) key(word string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.keys[word]; !ok {
		f.keys[word] = uuid.Must(uuid.NewV7()).String()
	}
	return f.keys[word]
}

func (s *sending) run(client *http.Client, req *http.Request) {
	defer close(s.done)
	begun := time.Now()
	defer func() { s.took = time.Since(begun) }()
	resp, err := client.Do(req)
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.status, s.header = resp.StatusCode, resp.Header
	var body bytes.Buffer
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.Peek(1); err == nil {
		s.started.Store(true)
	}
	_, s.err = io.Copy(&body, reader)
	s.body = body.String()
}

// text returns the text of a completion's answer.
func (s *sending) text() (string, error) {
	var text strings.Builder
	chunks := []string{s.body}
	if s.stream {
		if !strings.HasSuffix(strings.TrimSpace(s.body), "data: [DONE]") {
			return "", errors.New("the stream has no end")
		}
		chunks = strings.Split(s.body, "\n")
	}
	for _, chunk := range chunks {
		chunk = strings.TrimPrefix(strings.TrimSpace(chunk), "data: ")
		if chunk == "" || chunk == "[DONE]" || strings.HasPrefix(chunk, "id: ") {
			continue
		}
		var parsed struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(chunk), &parsed); err != nil {
			return "", errors.Wrapf(err, "chunk %q", chunk)
		}
		for _, choice := range parsed.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String(), nil
}

// cmdAnswer waits for the answer to a request and checks it: answer NAME
// [limit=DURATION] [within=DURATION] [status=N] [verdict=V] [reason=R]
// [whole=yes] [same=NAME] [cut=yes]. V and R may list alternatives with "|".
// limit bounds the wait; within bounds the time that the request took.
func cmdAnswer(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	if len(args) == 0 {
		ts.Fatalf("usage: answer NAME KEY=VALUE...")
	}
	s := f.sent[args[0]]
	if s == nil {
		ts.Fatalf("no request %q", args[0])
	}
	opts := pairs(ts, args[1:])
	limit := 60 * time.Second
	if text, ok := opts["limit"]; ok {
		limit = duration(ts, text)
	}
	select {
	case <-s.done:
	case <-time.After(limit):
		ts.Fatalf("%s: no answer within %s", args[0], limit)
	}
	ts.Logf("%s: status %d, verdict %q, reason %q, %s, %v, %.200s", args[0], s.status,
		s.header.Get("Lagoon-Verdict"), s.header.Get("Lagoon-Reason"), s.took.Round(time.Millisecond), s.err, s.body)
	for key, value := range opts {
		if err := s.check(f, key, value); err != nil {
			ts.Fatalf("%s: %v", args[0], err)
		}
	}
	if s.err != nil && opts["cut"] != "yes" {
		ts.Fatalf("%s: %v", args[0], s.err)
	}
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func (s *sending) check(f *fleet, key, want string) error {
	oneOf := func(got string) error {
		if !slices.Contains(strings.Split(want, "|"), got) {
			return errors.Errorf("%s %q, want %q", key, got, want)
		}
		return nil
	}
	switch key {
	case "limit":
		return nil
	case "status":
		return oneOf(strconv.Itoa(s.status))
	case "verdict":
		return oneOf(s.header.Get("Lagoon-Verdict"))
	case "reason":
		return oneOf(s.header.Get("Lagoon-Reason"))
	case "within":
		if bound, err := time.ParseDuration(want); err != nil || s.took > bound {
			return errors.Errorf("took %s, want at most %s", s.took, want)
		}
	case "same":
		if other := f.sent[want]; s.body != other.body {
			return errors.Errorf("answer %q, want that of %s: %q", s.body, want, other.body)
		}
	case "cut":
		if s.err == nil {
			return errors.New("the connection was not cut")
		}
	case "whole":
		got, err := s.text()
		if err != nil || got != s.want {
			return errors.Errorf("text %q (%v), want %q", got, err, s.want)
		}
	default:
		return errors.Errorf("unknown key %q", key)
	}
	return nil
}

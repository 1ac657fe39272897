package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// maxAnswer bounds the answer that is read.
	maxAnswer = 16 << 20
	// maxLine bounds one line of a stream.
	maxLine = 1 << 20
	// grace is how long after its deadline a request is given up. An answer
	// within it is counted as late.
	grace = 5 * time.Second
)

// outcome says what became of a request.
type outcome int

const (
	served outcome = iota
	late
	refused
	cut
	wrong
	unsent
)

// measurement is one answer. Times count from the intended send time.
type measurement struct {
	arrival Arrival
	outcome outcome
	// reason is that of a refusal.
	reason  string
	first   time.Duration
	between []time.Duration
	total   time.Duration
}

// errCut means that an answer did not come or has no end.
var errCut = errors.New("answer is not whole")

// sender sends the requests of a run.
type sender struct {
	cfg    Config
	client *http.Client
	start  time.Time
}

// send sends a request and checks its answer.
func (s *sender) send(ctx context.Context, a Arrival) measurement {
	m := measurement{arrival: a}
	intended := s.start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(s.cfg.Deadline+grace))
	defer cancel()
	text, err := s.exchange(ctx, a, &m, intended)
	m.total = time.Since(intended)
	switch {
	case m.reason != "":
		m.outcome = refused
	case err != nil:
		m.outcome = cut
	case text != wantedText(a):
		m.outcome = wrong
	case m.total > s.cfg.Deadline:
		m.outcome = late
	}
	return m
}

func wantedText(a Arrival) string {
	model, adapter, _ := strings.Cut(a.Model, ":")
	return standin.CompletionText(state.ModelName(model), state.AdapterName(adapter), a.Prompt, a.Tokens)
}

func (s *sender) exchange(ctx context.Context, a Arrival, m *measurement, intended time.Time) (string, error) {
	req, err := s.request(ctx, a, intended)
	if err != nil {
		return "", err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return "", errors.Wrap(errCut, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		m.reason = resp.Header.Get(verdict.HeaderReason)
		if m.reason == "" {
			m.reason = "status " + strconv.Itoa(resp.StatusCode)
		}
		_, _ = io.CopyN(io.Discard, resp.Body, maxAnswer)
		return "", nil
	}
	if a.Stream {
		return readStream(resp.Body, m, intended)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return "", errors.Wrap(errCut, err.Error())
	}
	return textOf(body)
}

func (s *sender) request(ctx context.Context, a Arrival, intended time.Time) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{
		"model": a.Model, "prompt": a.Prompt, "max_tokens": a.Tokens, "stream": a.Stream,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	url := strings.TrimSuffix(s.cfg.URLs[a.Number%len(s.cfg.URLs)], "/") + standin.PathCompletions
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "new request")
	}
	left := max(time.Until(intended.Add(s.cfg.Deadline)), time.Millisecond)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Lagoon-Caller", s.cfg.Caller)
	req.Header.Set("Lagoon-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set(standin.HeaderPriority, a.Priority)
	return req, nil
}

// textOf returns the text of a completion or of an event of a stream.
func textOf(body []byte) (string, error) {
	var parsed struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil || len(parsed.Choices) != 1 {
		return "", errors.Wrap(errCut, "not a completion")
	}
	return parsed.Choices[0].Text, nil
}

// readStream reads server-sent events up to the end mark.
func readStream(body io.Reader, m *measurement, intended time.Time) (string, error) {
	lines := bufio.NewScanner(io.LimitReader(body, maxAnswer))
	lines.Buffer(nil, maxLine)
	var text strings.Builder
	var last time.Time
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		part, err := textOf([]byte(data))
		if err != nil {
			return "", err
		}
		now := time.Now()
		if last.IsZero() {
			m.first = now.Sub(intended)
		} else {
			m.between = append(m.between, now.Sub(last))
		}
		last = now
		text.WriteString(part)
	}
	return "", errCut
}

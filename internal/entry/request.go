package entry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// longestDeadline bounds the deadline that a caller may ask for where the
// settings don't; agents cap deadlines at it.
const longestDeadline = time.Hour

// target is what a request asks for: a model, maybe with an adapter, or a
// plain service.
type target struct {
	key     state.ReplicaKey
	adapter state.AdapterName
	service state.ServiceName
}

// request is a caller's request on its way through the entry. One goroutine
// owns it.
type request struct {
	id      string
	number  uint64
	target  target
	caller  state.Caller
	class   state.Class
	arrived time.Time
	// due is the caller's deadline; deadline is when the last answer to it
	// must leave.
	due      time.Time
	deadline time.Time

	method string
	path   string
	query  string
	header http.Header
	body   []byte

	// blocks are the hashes of the leading blocks of the prompt, for cache
	// affinity.
	blocks []uint64
	// affinity names the start of the prompt; see routing.Affinity.
	affinity uint64
	// fingerprint names the request's content, for quarantine and claims.
	fingerprint uint64
	maxTokens   int
	stream      bool
	// idempotent says that the work may be repeated.
	idempotent bool
	// key is the idempotency key; empty if there is none.
	key string

	cost time.Duration
	long bool
}

// generationBody is the part of a model request that the entry reads. The
// upstream gets the body as the caller sent it.
type generationBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// attributes are the headers that goa decoded.
type attributes struct {
	caller, priority, key *string
	deadlineMillis        *int64
}

// readBody reads a request's body up to limit. Body is that of the request of ctx.
func readBody(ctx context.Context, body io.ReadCloser, limit state.Bytes) ([]byte, *verdict.Verdict) {
	x := exchangeOf(ctx)
	r := *x.request
	r.Body = body
	data, refusal := ingress.ReadBody(x.answer, &r, limit, bodyTimeout)
	switch {
	case refusal == nil:
		return data, nil
	case refusal.Reason == verdict.ReasonBodyTooLarge:
		return nil, verdict.Refuse(verdict.ReasonBodyTooLarge, "the body is larger than "+limit.String())
	case refusal.Reason == verdict.ReasonCallerGone:
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "the body could not be read")
	default:
		return nil, refusal
	}
}

// newRequest checks what every kind of request has in common.
func newRequest(now time.Time, attrs attributes, limits requestLimits) (*request, *verdict.Verdict) {
	r := &request{id: uuid.NewString(), arrived: now, class: state.ClassNormal}
	if attrs.priority != nil {
		class, ok := state.ParseClass(*attrs.priority)
		if !ok {
			return nil, verdict.Refuse(verdict.ReasonBadRequest, "Lagoon-Priority: want high, normal or low")
		}
		r.class = class
	}
	patience := limits.defaultDeadline
	if attrs.deadlineMillis != nil {
		if *attrs.deadlineMillis <= 0 {
			return nil, verdict.Refuse(verdict.ReasonDeadlinePast, "Lagoon-Deadline-Ms: the deadline is already past")
		}
		patience = cmp.Or(limits.maxDeadline, longestDeadline)
		if *attrs.deadlineMillis < patience.Milliseconds() {
			patience = time.Duration(*attrs.deadlineMillis) * time.Millisecond
		}
	}
	r.deadline = now.Add(patience)
	if attrs.key != nil {
		r.key = strings.Trim(*attrs.key, `"`)
	}
	return r, nil
}

// readGeneration fills r from the body of a completion or chat request and
// returns the name that it asks for.
func (r *request) readGeneration(body []byte) (string, *verdict.Verdict) {
	var parsed generationBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return "", verdict.Refuse(verdict.ReasonBadRequest, "the body is not valid JSON: "+jsonProblem(err))
	}
	if parsed.Model == "" {
		return "", verdict.Refuse(verdict.ReasonBadRequest, `the body has no "model"`)
	}
	prompt := parsed.Prompt
	if len(prompt) == 0 {
		prompt = parsed.Messages
	}
	if len(prompt) == 0 {
		return "", verdict.Refuse(verdict.ReasonBadRequest, `the body has neither "prompt" nor "messages"`)
	}
	r.body = body
	r.maxTokens = parsed.MaxTokens
	r.stream = parsed.Stream
	r.idempotent = r.key == ""
	return parsed.Model, nil
}

// jsonProblem describes err without repeating the caller's text.
func jsonProblem(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return "wrong type for " + wrongType.Field
	}
	return "unexpected end or type"
}

func contentHash(name string, content []byte) uint64 {
	digest := xxhash.New()
	// A digest's writes never fail.
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(content)
	return digest.Sum64()
}

// isIdempotentCall reports whether a call of service may be repeated. What
// the configuration does not list may not.
func isIdempotentCall(service state.Service, method, path string) bool {
	for _, call := range service.Calls {
		if call.Method != "" && call.Method != method {
			continue
		}
		if strings.HasPrefix(path, strings.TrimPrefix(call.Prefix, "/")) {
			return call.Idempotent
		}
	}
	return false
}

// reader returns the body for one attempt.
func (r *request) reader() io.Reader { return bytes.NewReader(r.body) }

// replicaKeyText is the key of r's target in metrics and tables.
func (t target) String() string {
	if t.service != "" {
		return "service/" + string(t.service)
	}
	return string(t.key.Model) + "/" + string(t.key.Version)
}

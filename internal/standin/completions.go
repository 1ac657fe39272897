package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/defaults"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Paths and headers of completions.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	// PathCounters gives the counters of an engine.
	PathCounters = "/counters"
	// HeaderPriority has the class of a request.
	HeaderPriority = "Lagoon-Priority"
	// defaultMaxTokens is the length of an answer whose request gives none.
	defaultMaxTokens = 16
)

// completionRequest is the body of both kinds of completions.
type completionRequest struct {
	// Model is "model" or "model/version", with ":adapter" after it for an
	// adapter.
	Model string `json:"model"`
	// Adapter may name the adapter instead.
	Adapter   state.AdapterName `json:"adapter"`
	Prompt    string            `json:"prompt"`
	Messages  []chatMessage     `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a request on its way through the engine.
type completion struct {
	replica *engineReplica
	model   state.ModelName
	adapter state.AdapterName
	prompt  string
	tokens  int
	chat    bool
	stream  bool
	// ids gives the events of the stream ids, so that it can be resumed;
	// position is after how many events it goes on.
	ids      bool
	position int
}

// CompletionText is the answer of an engine, so that a test can tell whose
// answer it has.
func CompletionText(model state.ModelName, adapter state.AdapterName, prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(token(model, adapter, prompt, i))
	}
	return text.String()
}

func token(model state.ModelName, adapter state.AdapterName, prompt string, i int) string {
	sum := xxhash.Sum64String(string(model) + "\x00" + string(adapter) + "\x00" + prompt)
	if i == 0 {
		return fmt.Sprintf("%s:%s:%016x", model, adapter, sum)
	}
	return " t" + strconv.Itoa(i)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathCompletions, PathChatCompletions:
		e.serveCompletion(w, r)
	case platform.PathEngineOrders:
		e.serveOrder(w, r)
	case platform.PathEngineStatus:
		e.serveStatus(w, r)
	case PathFaults:
		e.serveFaults(w, r)
	case PathCounters:
		writeJSON(w, http.StatusOK, e.counters())
	default:
		http.NotFound(w, r)
	}
}

// EngineCounters are the counters of an engine since its process started.
type EngineCounters struct {
	// Started is how many requests began to run.
	Started int `json:"started"`
	// MemoryRefusals is how many orders did not fit the memory.
	MemoryRefusals int `json:"memory_refusals"`
	// Crashes is how often the engine crashed.
	Crashes int `json:"crashes"`
}

func (e *Engine) counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineCounters{Started: e.started, MemoryRefusals: e.refused, Crashes: e.restarts}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order platform.Order
	if !readJSON(w, r, &order) {
		return
	}
	if err := e.Do(r.Context(), order); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := e.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if retryAfter, refused := e.refusal(); refused {
		refuse(w, retryAfter)
		return
	}
	class, ok := state.ParseClass(r.Header.Get(HeaderPriority))
	if !ok {
		class = state.ClassNormal
	}
	work, alive, err := e.begin(request, r.URL.Path == PathChatCompletions)
	if err != nil {
		writeCompletionError(w, err)
		return
	}
	defer e.end(work.replica)
	if work.position, err = e.position(r); err != nil {
		writeCompletionError(w, err)
		return
	}
	work.ids = work.stream && e.cfg.ResumeFor > 0
	defer e.keepStream(r)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(alive, cancel)()
	leave, ok := e.batch.enter(ctx, class)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer leave()
	e.run(ctx, w, work)
}

func (e *Engine) refusal() (retryAfter string, refused bool) {
	e.with(func(f *EngineFaults) { retryAfter, refused = f.Refusals.take(time.Now()) })
	return retryAfter, refused
}

// errNotLoaded means that the model or adapter of a request is not loaded.
var errNotLoaded = errors.New("model or adapter not loaded")

// begin finds the replica of a request and holds it.
func (e *Engine) begin(request completionRequest, chat bool) (*completion, context.Context, error) {
	name, adapter, _ := strings.Cut(request.Model, ":")
	if adapter == "" {
		adapter = string(request.Adapter)
	}
	model, version, _ := strings.Cut(name, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkUp(); err != nil {
		return nil, nil, err
	}
	replica := e.ready(state.ModelName(model), state.VersionName(version))
	if replica == nil && adapter == "" {
		// Engines also take the bare name of a loaded adapter.
		adapter = name
		model, replica = e.withAdapter(state.AdapterName(adapter))
	}
	if replica == nil {
		return nil, nil, errNotLoaded
	}
	if _, loaded := replica.adapters[state.AdapterName(adapter)]; adapter != "" && !loaded {
		return nil, nil, errNotLoaded
	}
	replica.running++
	work := &completion{
		replica: replica,
		model:   state.ModelName(model),
		adapter: state.AdapterName(adapter),
		prompt:  request.prompt(chat),
		tokens:  request.MaxTokens,
		chat:    chat,
		stream:  request.Stream,
	}
	defaults.Set(&work.tokens, defaultMaxTokens)
	return work, e.alive, nil
}

// withAdapter returns the model of a ready replica that has an adapter loaded.
func (e *Engine) withAdapter(adapter state.AdapterName) (string, *engineReplica) {
	for _, info := range e.list() {
		if info.State == state.ReplicaReady && slices.Contains(info.Adapters, adapter) {
			return string(info.Model), e.replicas[info.ReplicaKey]
		}
	}
	return "", nil
}

// ready returns the ready replica of a model; an empty version means any.
func (e *Engine) ready(model state.ModelName, version state.VersionName) *engineReplica {
	for _, info := range e.list() {
		if info.Model == model && (version == "" || info.Version == version) && info.State == state.ReplicaReady {
			return e.replicas[info.ReplicaKey]
		}
	}
	return nil
}

func (r completionRequest) prompt(chat bool) string {
	if !chat {
		return r.Prompt
	}
	contents := make([]string, 0, len(r.Messages))
	for _, message := range r.Messages {
		contents = append(contents, message.Content)
	}
	return strings.Join(contents, "\n")
}

func (e *Engine) end(replica *engineReplica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	replica.running--
	if replica.running == 0 && replica.idle != nil {
		close(replica.idle)
	}
}

// run produces the answer token by token. A request whose caller leaves, or
// whose engine crashes, ends with its connection.
func (e *Engine) run(ctx context.Context, w http.ResponseWriter, work *completion) {
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if work.position == 0 {
		e.mu.Lock()
		e.started++
		e.mu.Unlock()
	}
	if text := e.Faults().CrashPrompt; text != "" && strings.Contains(work.prompt, text) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	answer := newAnswer(w, work)
	cutAt := work.tokens
	if e.cutsAnswer() {
		cutAt = (work.position + work.tokens) / 2
	}
	for i := work.position; i < work.tokens; i++ {
		if !ctxtime.Sleep(ctx, e.tokenTime(i)) {
			panic(http.ErrAbortHandler)
		}
		if i == cutAt {
			answer.cut()
		}
		answer.add(token(work.model, work.adapter, work.prompt, i))
	}
	answer.finish()
}

func (e *Engine) cutsAnswer() (cut bool) {
	e.with(func(f *EngineFaults) { cut = f.Cuts.take() })
	return cut
}

func (e *Engine) tokenTime(i int) time.Duration {
	base := e.cfg.PerToken
	if i == 0 {
		base = e.cfg.FirstToken
	}
	return time.Duration(float64(base) * max(1, e.Faults().Slowdown))
}

func writeCompletionError(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, "unavailable"
	switch {
	case errors.Is(err, errNotLoaded):
		status, code = http.StatusNotFound, "model_not_loaded"
	case errors.Is(err, errNotKept):
		status, code = http.StatusGone, "stream_not_kept"
	}
	body := map[string]any{"error": map[string]string{"code": code, "message": err.Error()}}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

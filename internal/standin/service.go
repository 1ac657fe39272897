package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
)

// PathExecutions lists the executions of a Service by key.
const PathExecutions = "/executions"

// HeaderIdempotencyKey names a request whose body has no key field.
const HeaderIdempotencyKey = "Idempotency-Key"

// Service is a plain service without a memory of keys: it executes every call
// that reaches it, and counts.
type Service struct {
	switches[ServiceFaults]
	name  string
	field string

	mu         sync.Mutex
	executions map[string]int
}

// NewService returns a service. A call's key is the string in field of its
// JSON body; without it, the Idempotency-Key header; without that, the method
// and path.
func NewService(name, field string) *Service {
	return &Service{name: name, field: field, executions: make(map[string]int)}
}

// Executions returns how often each key was executed.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// serviceAnswer answers a call.
type serviceAnswer struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Execution int    `json:"execution"`
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		s.serveFaults(w, r)
	case PathExecutions:
		writeJSON(w, http.StatusOK, s.Executions())
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		// An incomplete call is not executed.
		http.Error(w, "body not readable", http.StatusBadRequest)
		return
	}
	if retryAfter, refused := s.refusal(); refused {
		refuse(w, retryAfter)
		return
	}
	key := s.key(r, body)
	count := s.execute(key)
	lose, fail, cut := s.callFaults()
	if !ctxtime.Sleep(r.Context(), s.Faults().Delay.Std()) || lose {
		panic(http.ErrAbortHandler)
	}
	if fail {
		http.Error(w, "failed after execution", http.StatusInternalServerError)
		return
	}
	answer := serviceAnswer{Service: s.name, Key: key, Execution: count}
	if body, err := json.Marshal(answer); cut && err == nil {
		cutBody(w, "application/json", body)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Service) key(r *http.Request, body []byte) string {
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		if key, ok := fields[s.field].(string); ok && key != "" {
			return key
		}
	}
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	return r.Method + " " + r.URL.Path
}

func (s *Service) execute(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	return s.executions[key]
}

func (s *Service) refusal() (retryAfter string, refused bool) {
	s.with(func(f *ServiceFaults) { retryAfter, refused = f.Refusals.take(time.Now()) })
	return retryAfter, refused
}

func (s *Service) callFaults() (lose, fail, cut bool) {
	s.with(func(f *ServiceFaults) {
		cut = f.Cuts.take()
		if f.LoseNext > 0 {
			f.LoseNext--
			lose = true
			return
		}
		if f.FailNext > 0 {
			f.FailNext--
			fail = true
		}
	})
	return lose, fail, cut
}

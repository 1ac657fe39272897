// Package standin holds small stand-ins for the services of the platform and
// for engines. Each is a Go value that implements its port, and an
// http.Handler. POST /faults sets its fault switches; fields that the body
// leaves out keep their values. Time is that of the time package, so all of
// them work in virtual time under testing/synctest.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// PathFaults is the path of the fault switches.
const PathFaults = "/faults"

// maxRequest bounds the size of a request body.
const maxRequest = 16 << 20

// LogFaults are the fault switches of Log.
type LogFaults struct {
	// Outage refuses all calls; nothing is stored.
	Outage bool `json:"outage"`
	// Delay holds each append before it takes effect, and each read. An
	// append whose caller leaves meanwhile still takes effect.
	Delay state.Duration `json:"delay"`
	// LoseAnswers stores appends but gives no answer.
	LoseAnswers bool `json:"lose_answers"`
	// The Next counters apply the fault to that many appends only.
	OutageNext int `json:"outage_next"`
	DelayNext  int `json:"delay_next"`
	LoseNext   int `json:"lose_next"`
	// NextDelay is the delay of the appends that DelayNext counts.
	NextDelay state.Duration `json:"next_delay"`
}

// StoreFaults are the fault switches of Store.
type StoreFaults struct {
	// Outage refuses all loads.
	Outage bool `json:"outage"`
	// Slowdown multiplies the time of loads; values below 1 count as 1.
	Slowdown float64 `json:"slowdown"`
}

// HostsFaults are the fault switches of Hosts.
type HostsFaults struct {
	// Outage refuses all calls.
	Outage bool `json:"outage"`
	// Lag is how old the list is that is given out.
	Lag state.Duration `json:"lag"`
}

// EngineFaults are the fault switches of Engine.
type EngineFaults struct {
	// CrashPrompt crashes the engine when it starts a prompt that contains
	// this text; empty means never.
	CrashPrompt string `json:"crash_prompt"`
	// Slowdown multiplies the time of tokens; values below 1 count as 1.
	Slowdown float64 `json:"slowdown"`
	// ReportLag is how old the load figures of the status are.
	ReportLag state.Duration `json:"report_lag"`
	// FailLoads refuses that many loads after their time has passed.
	FailLoads int `json:"fail_loads"`
	// LoseOrders carries out that many orders without an answer.
	LoseOrders int `json:"lose_orders"`
	Refusals
	Cuts
}

// ServiceFaults are the fault switches of Service.
type ServiceFaults struct {
	// Delay holds each call after its execution was counted.
	Delay state.Duration `json:"delay"`
	// LoseNext executes that many calls without an answer.
	LoseNext int `json:"lose_next"`
	// FailNext answers that many calls with status 500 after execution.
	FailNext int `json:"fail_next"`
	Refusals
	Cuts
}

// Refusals are the fault switches of an upstream that turns requests away with status
// 503 before it runs anything.
type Refusals struct {
	// RefuseNext turns that many requests away.
	RefuseNext int `json:"refuse_next"`
	// RefuseEvery turns each nth request away; zero means none.
	RefuseEvery int `json:"refuse_every"`
	// RefuseFor turns all requests away in that part of each second.
	RefuseFor state.Duration `json:"refuse_for"`
	// RetryAfter is the Retry-After header of these answers, sent as it stands; empty
	// means none.
	RetryAfter string `json:"retry_after"`

	requests int
}

// take reports whether a request that arrives now is turned away, and with which
// Retry-After.
func (f *Refusals) take(now time.Time) (retryAfter string, refused bool) {
	f.requests++
	switch {
	case f.RefuseNext > 0:
		f.RefuseNext--
	case f.RefuseEvery > 0 && f.requests%f.RefuseEvery == 0:
	case now.Sub(now.Truncate(time.Second)) < f.RefuseFor.Std():
	default:
		return "", false
	}
	return f.RetryAfter, true
}

// Cuts are the fault switches of an upstream that breaks answers off within their bodies.
type Cuts struct {
	// CutEvery breaks each nth answer off; zero means none.
	CutEvery int `json:"cut_every"`

	answers int
}

// take reports whether the next answer is broken off.
func (f *Cuts) take() bool {
	f.answers++
	return f.CutEvery > 0 && f.answers%f.CutEvery == 0
}

// cutBody writes the first half of a body of known length and breaks the answer off.
func cutBody(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A write error means that the caller left.
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// refuse turns a request away.
func refuse(w http.ResponseWriter, retryAfter string) {
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// switches holds fault switches that can be set at run time.
type switches[T any] struct {
	mu    sync.Mutex
	value T
}

// Faults returns the current switches.
func (s *switches[T]) Faults() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// SetFaults replaces all switches.
func (s *switches[T]) SetFaults(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// with runs f on the switches, for counters.
func (s *switches[T]) with(f func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.value)
}

func (s *switches[T]) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeJSON(w, http.StatusOK, s.Faults())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		http.Error(w, "body not readable", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	changed := s.value
	err = json.Unmarshal(body, &changed)
	if err == nil {
		s.value = changed
	}
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, changed)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error has no other recipient than the caller who left.
	_ = json.NewEncoder(w).Encode(value)
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	// The server notices that a caller left only after the body is read to its
	// end, which a JSON decoder does not do.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		http.Error(w, "body not readable as JSON", http.StatusBadRequest)
		return false
	}
	return true
}

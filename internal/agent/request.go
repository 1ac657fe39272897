package agent

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/admission"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Headers that entries send with a request.
const (
	HeaderRequestID   = "Lagoon-Request-Id"
	HeaderCaller      = "Lagoon-Caller"
	HeaderWeight      = "Lagoon-Weight"
	HeaderPriority    = "Lagoon-Priority"
	HeaderDeadline    = "Lagoon-Deadline-Ms"
	HeaderModel       = "Lagoon-Model"
	HeaderVersion     = "Lagoon-Version"
	HeaderAdapter     = "Lagoon-Adapter"
	HeaderCost        = "Lagoon-Cost-Ms"
	HeaderLong        = "Lagoon-Long"
	HeaderClaim       = "Lagoon-Claim"
	HeaderAgent       = "Lagoon-Agent"
	HeaderFingerprint = "Lagoon-Fingerprint"
)

// Headers that agents answer with.
const (
	// HeaderLoad carries the load, as in
	// "queue=3 running=5 short_wait_ms=12 agent=77".
	HeaderLoad = "Lagoon-Load"
	// HeaderStream is "true" if the answer is to be a stream.
	HeaderStream = "Lagoon-Stream"
	// HeaderSuspects is how many requests were running when the engine
	// crashed.
	HeaderSuspects = "Lagoon-Suspects"
)

const (
	// bodyTimeout bounds the time in which an entry sends a request's body.
	bodyTimeout = 10 * time.Second
	// maxDeadline bounds the time that a request may take.
	maxDeadline = time.Hour
	// requestOverhead is the memory of a waiting request beyond its body.
	requestOverhead = 8 * state.KiB
	// bodyFactor bounds the bodies in memory as a multiple of the queue's
	// bytes: as much again for those that are being read or are running.
	bodyFactor = 2
	// writeGrace is how long after its deadline an answer may be written to
	// an entry that reads slowly.
	writeGrace = 5 * time.Second
)

// call is a request as the entry sent it.
type call struct {
	item        admission.Item
	body        []byte
	claim       uuid.UUID
	claimed     bool
	fingerprint string
	// stream says that the answer is to be a stream, whose first token shows
	// the upstream's pace.
	stream bool
	// reserved is what the call takes of the memory for bodies.
	reserved int64
}

// readCall reads the headers and the body of a request.
func (a *Agent) readCall(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *verdict.Verdict) {
	c := &call{fingerprint: r.Header.Get(HeaderFingerprint), stream: r.Header.Get(HeaderStream) == "true"}
	if refusal := c.readClaim(r.Header); refusal != nil {
		return c, refusal
	}
	if refusal := a.readItem(c, r, now); refusal != nil {
		return c, refusal
	}
	if !a.reserveBody(c, r) {
		return c, verdict.Refuse(verdict.ReasonQueueFull, "the agent's memory for requests is full")
	}
	body, refusal := ingress.ReadBody(w, r, a.cfg.MaxBody, bodyTimeout)
	if refusal != nil && refusal.Reason == verdict.ReasonCallerGone {
		return c, verdict.Refuse(verdict.ReasonBadRequest, "reading the body failed")
	}
	if refusal != nil {
		return c, refusal
	}
	c.body = body
	c.item.Size = state.Bytes(len(body)) + requestOverhead
	return c, nil
}

// reserveBody takes memory for the body before it is read. A body of unknown
// length takes the most that it may have.
func (a *Agent) reserveBody(c *call, r *http.Request) bool {
	c.reserved = int64(a.cfg.MaxBody)
	if r.ContentLength >= 0 {
		c.reserved = min(r.ContentLength, c.reserved)
	}
	return a.bodies.Add(c.reserved) <= bodyFactor*int64(a.cfg.QueueBytes)
}

func (c *call) readClaim(h http.Header) *verdict.Verdict {
	text := h.Get(HeaderClaim)
	if text == "" {
		return nil
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, HeaderClaim+" is no UUID")
	}
	c.claim, c.claimed = id, true
	return nil
}

func (a *Agent) readItem(c *call, r *http.Request, now time.Time) *verdict.Verdict {
	h := r.Header
	class, ok := state.ParseClass(h.Get(HeaderPriority))
	if !ok && h.Get(HeaderPriority) != "" {
		return verdict.Refuse(verdict.ReasonBadRequest, HeaderPriority+" is not high, normal or low")
	}
	deadline, ok := milliseconds(h, HeaderDeadline, a.cfg.DefaultDeadline)
	cost, costOK := milliseconds(h, HeaderCost, 0)
	if !ok || !costOK {
		return verdict.Refuse(verdict.ReasonBadRequest, "a time in the headers is no number")
	}
	if deadline <= 0 {
		return verdict.Refuse(verdict.ReasonDeadlinePast, "the deadline has passed")
	}
	// Entries know the callers; a weight that is missing or wrong counts 1.
	weight, _ := strconv.Atoi(h.Get(HeaderWeight))
	c.item = admission.Item{
		Caller:   state.CallerName(h.Get(HeaderCaller)),
		Weight:   max(weight, 1),
		Class:    class,
		Arrived:  now,
		Deadline: now.Add(min(deadline, maxDeadline)),
		Cost:     cost,
		Long:     h.Get(HeaderLong) == "1" || h.Get(HeaderLong) == "true",
	}
	return a.readTarget(c, r)
}

func (a *Agent) readTarget(c *call, r *http.Request) *verdict.Verdict {
	if a.service {
		name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
		// Entries route by the configuration; an agent whose settings list
		// services checks them again.
		listed := len(a.services) == 0 || a.services[state.ServiceName(name)]
		if !listed || !strings.HasPrefix(r.URL.Path, "/v1/services/") {
			return verdict.Refuse(verdict.ReasonUnknownService, "the upstream doesn't run this service")
		}
		return nil
	}
	if strings.HasPrefix(r.URL.Path, "/v1/services/") {
		return verdict.Refuse(verdict.ReasonUnknownService, "the upstream runs no services")
	}
	c.item.Key = state.ReplicaKey{
		Model:   state.ModelName(r.Header.Get(HeaderModel)),
		Version: state.VersionName(r.Header.Get(HeaderVersion)),
	}
	c.item.Adapter = state.AdapterName(r.Header.Get(HeaderAdapter))
	if c.item.Key.Model == "" {
		return verdict.Refuse(verdict.ReasonBadRequest, HeaderModel+" is missing")
	}
	return nil
}

func milliseconds(h http.Header, name string, missing time.Duration) (time.Duration, bool) {
	text := h.Get(name)
	if text == "" {
		return missing, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n > maxDeadline.Milliseconds()*24 || n < -maxDeadline.Milliseconds()*24 {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
)

// HeaderRequestID names the stream of a request.
const HeaderRequestID = "Lagoon-Request-Id"

// errNotKept means that the engine has no stream to resume.
var errNotKept = errors.New("stream not kept")

// keptStreams are the streams whose readers have left. The engine's mutex
// guards them.
type keptStreams struct {
	until map[string]time.Time
}

func (k *keptStreams) keep(id string, now time.Time, d time.Duration) {
	for other, until := range k.until {
		if now.After(until) {
			delete(k.until, other)
		}
	}
	k.until[id] = now.Add(d)
}

// position returns after how many events the answer to r begins: zero for a
// new stream. Events are numbered from 1.
func (e *Engine) position(r *http.Request) (int, error) {
	last := r.Header.Get(sse.HeaderLastEventID)
	if last == "" {
		return 0, nil
	}
	position, err := strconv.Atoi(last)
	e.mu.Lock()
	defer e.mu.Unlock()
	until, ok := e.kept.until[r.Header.Get(HeaderRequestID)]
	if err != nil || !ok || time.Now().After(until) {
		return 0, errNotKept
	}
	return position, nil
}

// keepStream keeps the stream of r for a reader that comes back.
func (e *Engine) keepStream(r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if e.cfg.ResumeFor <= 0 || id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept.keep(id, time.Now(), e.cfg.ResumeFor)
}

package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// ServeHTTP implements http.Handler with the interface that
// platform.HTTPLog expects.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case platform.PathLogAppend:
		l.serveAppend(w, r)
	case platform.PathLogRead:
		l.serveRead(w, r)
	case PathFaults:
		l.serveFaults(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var request platform.AppendRequest
	if !readJSON(w, r, &request) {
		return
	}
	first, err := l.Append(r.Context(), request.Stream, request.Records)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, platform.AppendResponse{First: first})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	wait, errWait := time.ParseDuration(query.Get("wait"))
	if errFrom != nil || errLimit != nil || errWait != nil {
		http.Error(w, "want from, limit and wait", http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), platform.Stream(query.Get("stream")), state.Offset(from), limit, wait)
	switch {
	case errors.Is(err, platform.ErrTruncated):
		writeJSON(w, platform.StatusTruncated, page)
	case err != nil:
		writeError(w, err)
	default:
		writeJSON(w, http.StatusOK, page)
	}
}

// writeError answers with the status of err. A lost answer ends the
// connection.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, platform.ErrUnknownOutcome):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, platform.ErrRejected):
		status = http.StatusBadRequest
	case errors.Is(err, platform.ErrStaleToken):
		status = platform.StatusStaleToken
	case errors.Is(err, platform.ErrNoMemory):
		status = platform.StatusNoMemory
	}
	http.Error(w, http.StatusText(status), status)
}

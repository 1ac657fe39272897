package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/ctxtime"
	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	// resumeWithin bounds the tries to resume a stream. A restarted agent
	// serves again after one to two seconds.
	resumeWithin = 10 * time.Second
	// firstResume and lastResume bound the growing pause between tries.
	firstResume = 50 * time.Millisecond
	lastResume  = time.Second
)

// mayResume reports whether the rest of a stream that ended with v can be
// requested: the engine must be alive, and the agent of a claim refuses a
// second request for it.
func (e *execution) mayResume(v *verdict.Verdict) bool {
	if e.claim != "" || e.forwarded {
		return false
	}
	return v.Reason == verdict.ReasonStreamCut || v.Reason == verdict.ReasonDraining
}

// resume requests the events after last from the replica of a stream that was cut,
// until its agent is back. It returns nil if the upstream does not resume the
// stream. Nothing runs again: an upstream that can't resume refuses, and the
// answer of one that ignores the header is dropped.
func (e *execution) resume(ctx context.Context, cut *answer, last string) *answer {
	e.lastEvent = last
	end := time.Now().Add(resumeWithin)
	for pause := firstResume; time.Now().Before(end) && ctxtime.Sleep(ctx, pause); pause = min(2*pause, lastResume) {
		rest := e.do(ctx, cut.replica, cut.load)
		switch {
		case rest.failure == nil && rest.response.StatusCode == http.StatusOK && rest.response.Header.Get(sse.HeaderLastEventID) == last:
			e.sink.resumed(telemetry.ResumeDone)
			return rest
		case rest.failure == nil || !isAgentAway(rest.failure):
			rest.close()
			e.sink.resumed(telemetry.ResumeFailed)
			return nil
		}
		rest.close()
	}
	e.sink.resumed(telemetry.ResumeFailed)
	return nil
}

// isAgentAway reports whether a refusal may end with a restart of the agent.
func isAgentAway(v *verdict.Verdict) bool {
	switch v.Reason {
	case verdict.ReasonUpstreamFailed, verdict.ReasonNoReplica, verdict.ReasonNotReady, verdict.ReasonQueueFull, verdict.ReasonDraining, verdict.ReasonStreamCut:
		return true
	default:
		return false
	}
}

package verdict

import "net/http"

// Reason is the machine-readable cause of a verdict.
type Reason string

// The reasons. docs/verdicts.md says what a caller may do about each.
const (
	ReasonOK               Reason = "ok"
	ReasonBadRequest       Reason = "bad_request"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBodyTooSlow      Reason = "body_too_slow"
	ReasonHeadTooLarge     Reason = "head_too_large"
	ReasonAnswerTooLarge   Reason = "answer_too_large"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonTeamQuota        Reason = "team_quota"
	ReasonForbidden        Reason = "forbidden"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNotFound         Reason = "not_found"
	ReasonDeadlinePast     Reason = "deadline_past"
	ReasonDeadlineUnmet    Reason = "deadline_cannot_be_met"
	ReasonDeadlineExceeded Reason = "deadline_exceeded"
	ReasonQueueFull        Reason = "queue_full"
	ReasonShed             Reason = "shed"
	ReasonCallerLimit      Reason = "caller_limit"
	ReasonModelLimit       Reason = "model_limit"
	ReasonNoReplica        Reason = "no_replica"
	ReasonNoCapacity       Reason = "no_capacity"
	ReasonDraining         Reason = "draining"
	ReasonNotReady         Reason = "not_ready"
	ReasonConfigStale      Reason = "config_unconfirmed"
	ReasonQuarantined      Reason = "quarantined"
	ReasonClaimInProgress  Reason = "claim_in_progress"
	ReasonClaimRan         Reason = "claim_ran"
	ReasonClaimUnknown     Reason = "claim_outcome_unknown"
	ReasonKeyRequired      Reason = "idempotency_key_required"
	ReasonKeyInvalid       Reason = "idempotency_key_invalid"
	ReasonKeyTooOld        Reason = "idempotency_key_too_old"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonLogUnavailable   Reason = "log_unavailable"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonUpstreamCrashed  Reason = "upstream_crashed"
	ReasonStreamCut        Reason = "stream_cut"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonConflict         Reason = "conflict"
	ReasonInvalidChange    Reason = "invalid_change"
	ReasonUnknownOutcome   Reason = "unknown_outcome"
	ReasonInternal         Reason = "internal"
	ReasonLoadFailed       Reason = "load_failed"
)

var httpStatus = map[Reason]int{
	ReasonOK:               http.StatusOK,
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonBodyTooLarge:     http.StatusRequestEntityTooLarge,
	ReasonBodyTooSlow:      http.StatusRequestTimeout,
	ReasonHeadTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	ReasonAnswerTooLarge:   http.StatusUnprocessableEntity,
	ReasonUnauthorized:     http.StatusUnauthorized,
	ReasonTeamQuota:        http.StatusTooManyRequests,
	ReasonConfigStale:      http.StatusServiceUnavailable,
	ReasonForbidden:        http.StatusForbidden,
	ReasonUnknownModel:     http.StatusNotFound,
	ReasonUnknownService:   http.StatusNotFound,
	ReasonNotFound:         http.StatusNotFound,
	ReasonDeadlinePast:     http.StatusGatewayTimeout,
	ReasonDeadlineUnmet:    http.StatusServiceUnavailable,
	ReasonDeadlineExceeded: http.StatusGatewayTimeout,
	ReasonQueueFull:        http.StatusServiceUnavailable,
	ReasonShed:             http.StatusServiceUnavailable,
	ReasonCallerLimit:      http.StatusTooManyRequests,
	ReasonModelLimit:       http.StatusTooManyRequests,
	ReasonNoReplica:        http.StatusServiceUnavailable,
	ReasonNoCapacity:       http.StatusServiceUnavailable,
	ReasonDraining:         http.StatusServiceUnavailable,
	ReasonNotReady:         http.StatusServiceUnavailable,
	ReasonQuarantined:      http.StatusUnprocessableEntity,
	ReasonClaimInProgress:  http.StatusConflict,
	ReasonClaimRan:         http.StatusConflict,
	ReasonClaimUnknown:     http.StatusConflict,
	ReasonKeyRequired:      http.StatusBadRequest,
	ReasonKeyInvalid:       http.StatusBadRequest,
	ReasonKeyTooOld:        http.StatusUnprocessableEntity,
	ReasonKeyReused:        http.StatusUnprocessableEntity,
	ReasonLogUnavailable:   http.StatusServiceUnavailable,
	ReasonUpstreamFailed:   http.StatusBadGateway,
	ReasonUpstreamCrashed:  http.StatusBadGateway,
	ReasonStreamCut:        http.StatusBadGateway,
	ReasonCallerGone:       statusClientClosedRequest,
	ReasonConflict:         http.StatusConflict,
	ReasonInvalidChange:    http.StatusUnprocessableEntity,
	ReasonUnknownOutcome:   http.StatusBadGateway,
	ReasonInternal:         http.StatusInternalServerError,
	ReasonLoadFailed:       http.StatusServiceUnavailable,
}

// statusClientClosedRequest is the non-standard status, introduced by nginx, of a
// request whose caller closed the connection.
const statusClientClosedRequest = 499

// HTTPStatus returns the HTTP status code of r, 500 for an unknown reason.
func (r Reason) HTTPStatus() int {
	if status, ok := httpStatus[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Known reports whether r is one of the reasons of this package.
func (r Reason) Known() bool {
	_, ok := httpStatus[r]
	return ok
}

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(httpStatus))
	for r := range httpStatus {
		all = append(all, r)
	}
	return all
}

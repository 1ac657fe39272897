package telemetry

// Type is the type of a metric.
type Type string

// The types of metrics.
const (
	Counter   Type = "counter"
	Gauge     Type = "gauge"
	Histogram Type = "histogram"
)

// Definition describes a metric. docs/metrics.md lists all of them.
type Definition struct {
	Name   string
	Type   Type
	Labels []string
	Help   string
	// buckets are the upper bounds of a histogram.
	buckets []float64
}

// The metrics.
const (
	nameRequests       = "lagoonvalve_requests_total"
	nameModelRequests  = "lagoonvalve_model_requests_total"
	nameFirstToken     = "lagoonvalve_first_token_seconds"
	nameBetweenTokens  = "lagoonvalve_between_tokens_seconds"
	nameQueueWait      = "lagoonvalve_queue_wait_seconds"
	nameWaiting        = "lagoonvalve_waiting_requests"
	nameColdStart      = "lagoonvalve_cold_start_seconds"
	nameModelLoads     = "lagoonvalve_model_loads_total"
	nameAdapterLoads   = "lagoonvalve_adapter_loads_total"
	nameIdle           = "lagoonvalve_idle_accelerator_seconds_total"
	nameRetries        = "lagoonvalve_retries_total"
	nameHedges         = "lagoonvalve_hedges_total"
	nameEjections      = "lagoonvalve_ejections_total"
	nameClaims         = "lagoonvalve_claims_total"
	nameConfigLag      = "lagoonvalve_config_lag_seconds"
	nameLogAppends     = "lagoonvalve_log_appends_total"
	nameLogRecords     = "lagoonvalve_log_records_total"
	nameControlBytes   = "lagoonvalve_control_bytes_total"
	nameAuditDiscarded = "lagoonvalve_audit_discarded_total"
)

var (
	// latencyBuckets resolve the targets of the two-year size: 0.34 s to
	// the first token and 55 ms between tokens.
	latencyBuckets = []float64{0.005, 0.01, 0.025, 0.055, 0.1, 0.2, 0.34, 0.5, 1, 2.5, 5, 10, 30}
	// loadBuckets cover loads from an adapter's milliseconds to minutes.
	loadBuckets = []float64{0.005, 0.01, 0.05, 0.25, 1, 2.5, 5, 10, 20, 40, 80, 160, 320}
)

// Definitions returns all metrics.
func Definitions() []Definition {
	return []Definition{
		{Name: nameRequests, Type: Counter, Labels: []string{"verdict", "reason", "class"}, Help: "Ended requests by verdict, reason code and priority class."},
		{Name: nameModelRequests, Type: Counter, Labels: []string{"model", "verdict"}, Help: "Ended requests by model."},
		{Name: nameFirstToken, Type: Histogram, Labels: []string{"model"}, Help: "Time from the acceptance of a request to its first token.", buckets: latencyBuckets},
		{Name: nameBetweenTokens, Type: Histogram, Labels: []string{"model"}, Help: "Time between two tokens of an answer.", buckets: latencyBuckets},
		{Name: nameQueueWait, Type: Histogram, Labels: []string{"class"}, Help: "Time that a request waited before it was sent on.", buckets: latencyBuckets},
		{Name: nameWaiting, Type: Gauge, Labels: []string{"class"}, Help: "Requests that wait now."},
		{Name: nameColdStart, Type: Histogram, Labels: []string{"model"}, Help: "Time from the first request for an unloaded model to a ready replica.", buckets: loadBuckets},
		{Name: nameModelLoads, Type: Counter, Labels: []string{"model", "result"}, Help: "Loads of models that ended."},
		{Name: nameAdapterLoads, Type: Counter, Labels: []string{"adapter", "result"}, Help: "Loads of adapters that ended."},
		{Name: nameIdle, Type: Counter, Labels: []string{"model"}, Help: "Time that replicas were loaded without work."},
		{Name: nameRetries, Type: Counter, Labels: []string{"reason"}, Help: "Further attempts by the reason of the failed one."},
		{Name: nameHedges, Type: Counter, Labels: []string{"result"}, Help: "Hedged attempts by which attempt won."},
		{Name: nameEjections, Type: Counter, Labels: []string{"cause"}, Help: "Upstreams taken out of routing as outliers."},
		{Name: nameClaims, Type: Counter, Labels: []string{"result"}, Help: "Answered claims of non-idempotent requests."},
		{Name: nameConfigLag, Type: Gauge, Help: "Age of the oldest configuration record that the log has and this process has not applied."},
		{Name: nameLogAppends, Type: Counter, Labels: []string{"stream", "result"}, Help: "Appends to the log by kind of stream."},
		{Name: nameLogRecords, Type: Counter, Labels: []string{"stream"}, Help: "Records in the appends that succeeded."},
		{Name: nameControlBytes, Type: Counter, Labels: []string{"direction"}, Help: "Bytes on connections between processes."},
		{Name: nameAuditDiscarded, Type: Counter, Help: "Entries of the audit trail that found no room while the log was away."},
	}
}

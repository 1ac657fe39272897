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
	// observed is set for gauges whose values are computed when they are read.
	observed bool
}

// The metrics.
const (
	nameRequests         = "lagoonvalve_requests_total"
	nameModelRequests    = "lagoonvalve_model_requests_total"
	nameFirstToken       = "lagoonvalve_first_token_seconds"
	nameBetweenTokens    = "lagoonvalve_between_tokens_seconds"
	nameQueueWait        = "lagoonvalve_queue_wait_seconds"
	nameWaiting          = "lagoonvalve_waiting_requests"
	nameColdStart        = "lagoonvalve_cold_start_seconds"
	nameModelLoads       = "lagoonvalve_model_loads_total"
	nameAdapterLoads     = "lagoonvalve_adapter_loads_total"
	nameIdle             = "lagoonvalve_idle_accelerator_seconds_total"
	nameRetries          = "lagoonvalve_retries_total"
	nameIneligible       = "lagoonvalve_upstream_ineligible_total"
	nameKeysRefused      = "lagoonvalve_keys_refused_total"
	nameQuotaRequests    = "lagoonvalve_quota_requests_total"
	nameQuotaTokens      = "lagoonvalve_quota_tokens_total"
	nameQuotaShares      = "lagoonvalve_quota_share_tokens_total"
	nameQuotaHeld        = "lagoonvalve_quota_held_tokens"
	nameQuotaOutstanding = "lagoonvalve_quota_outstanding_tokens"
	nameFairness         = "lagoonvalve_fairness_requests_total"
	nameSpillRequests    = "lagoonvalve_spillover_requests_total"
	nameSpillBytes       = "lagoonvalve_spillover_bytes_total"
	nameCallersRefused   = "lagoonvalve_callers_refused_total"
	nameHedges           = "lagoonvalve_hedges_total"
	nameResumes          = "lagoonvalve_stream_resumes_total"
	nameNotRetried       = "lagoonvalve_not_retried_total"
	nameReselections     = "lagoonvalve_reselections_total"
	nameEjections        = "lagoonvalve_ejections_total"
	nameClaims           = "lagoonvalve_claims_total"
	nameConfigLag        = "lagoonvalve_config_lag_seconds"
	nameLogAppends       = "lagoonvalve_log_appends_total"
	nameLogRecords       = "lagoonvalve_log_records_total"
	nameControlBytes     = "lagoonvalve_control_bytes_total"
	nameAuditDiscarded   = "lagoonvalve_audit_discarded_total"
)

var (
	// latencyBuckets resolve the targets of the two-year size: 0.34 s to
	// the first token and 55 ms between tokens.
	latencyBuckets = []float64{0.005, 0.01, 0.025, 0.055, 0.1, 0.2, 0.34, 0.5, 1, 2.5, 5, 10, 30}
	// loadBuckets cover loads from an adapter's milliseconds to minutes.
	loadBuckets = []float64{0.005, 0.01, 0.05, 0.25, 1, 2.5, 5, 10, 20, 40, 80, 160, 320}
)

// prefix starts the names of all metrics.
const prefix = "lagoonvalve_"

// Definitions returns all metrics.
func Definitions() []Definition { return append(measurements(), events()...) }

func measurements() []Definition {
	return []Definition{
		{Name: nameRequests, Type: Counter, Labels: []string{"verdict", "reason", "class"}, Help: "Ended requests by verdict, reason code and priority class."},
		{Name: nameModelRequests, Type: Counter, Labels: []string{"model", "verdict"}, Help: "Ended requests by model."},
		{Name: nameFirstToken, Type: Histogram, Labels: []string{"model"}, Help: "Time from the acceptance of a request to its first token.", buckets: latencyBuckets},
		{Name: nameBetweenTokens, Type: Histogram, Labels: []string{"model"}, Help: "Mean time between the parts of a streamed answer after its first.", buckets: latencyBuckets},
		{Name: nameQueueWait, Type: Histogram, Labels: []string{"class"}, Help: "Time that a request waited before it was sent on.", buckets: latencyBuckets},
		{Name: nameWaiting, Type: Gauge, Labels: []string{"class"}, Help: "Requests that wait now."},
		{Name: nameColdStart, Type: Histogram, Labels: []string{"model"}, Help: "Time from the first request for an unloaded model to a ready replica.", buckets: loadBuckets},
		{Name: nameModelLoads, Type: Counter, Labels: []string{"model", "result"}, Help: "Loads of models that ended."},
		{Name: nameAdapterLoads, Type: Counter, Labels: []string{"adapter", "result"}, Help: "Loads of adapters that ended."},
		{Name: nameIdle, Type: Counter, Labels: []string{"model"}, Help: "Time that replicas were loaded without work."},
		{Name: nameRetries, Type: Counter, Labels: []string{"reason"}, Help: "Further attempts by the reason of the failed one."},
		{Name: nameResumes, Type: Counter, Labels: []string{"result"}, Help: "Cut streams that an upstream was asked to resume."},
		{Name: nameNotRetried, Type: Counter, Labels: []string{"obstacle"}, Help: "Requests, and rests of streams, that were not sent again after a failed attempt, by what forbade it."},
		{Name: nameReselections, Type: Counter, Labels: []string{"reason"}, Help: "Requests for which another upstream was chosen before they were sent, by why the first one was not eligible any more."},
		{Name: nameIneligible, Type: Counter, Labels: []string{"upstream", "reason"}, Help: "Times that an upstream's answers began to keep requests from it."},
		{Name: nameKeysRefused, Type: Counter, Labels: []string{"reason"}, Help: "Requests refused because of their key, by reason."},
		{Name: nameQuotaRequests, Type: Counter, Labels: []string{"team", "result"}, Help: "Requests for tokens of a team's quota, by how they ended."},
		{Name: nameQuotaTokens, Type: Counter, Labels: []string{"team", "result"}, Help: "Tokens of these requests, and those that were refunded since their request did not run."},
		{Name: nameQuotaShares, Type: Counter, Labels: []string{"event"}, Help: "Tokens that gateways requested from the controller in advance of requests, received in advance, and returned of all grants."},
		{Name: nameQuotaHeld, Type: Gauge, observed: true, Labels: []string{"team", "kind"}, Help: "Tokens of a team's quota that this gateway may spend now without asking the controller."},
		{Name: nameQuotaOutstanding, Type: Gauge, observed: true, Labels: []string{"team", "kind"}, Help: "At the controller only: tokens of a team's quota that were granted to gateways lately and not returned, spent or not."},
		{Name: nameFairness, Type: Counter, Labels: []string{"team", "band", "rank"}, Help: "Ended requests that were sent, by the priority band that their last attempt had and why; with two teams or more only."},
		{Name: nameSpillRequests, Type: Counter, Labels: []string{"from", "to", "reason"}, Help: "Requests sent to upstreams of a data centre, by the gateway's own one and why, and those that it refused since none serves them in time; with spillover only."},
		{Name: nameSpillBytes, Type: Counter, Labels: []string{"from", "to", "reason"}, Help: "Bytes of the bodies of these requests and their responses."},
		{Name: nameCallersRefused, Type: Counter, Labels: []string{"listener", "limit"}, Help: "Requests and connections that a limit on callers refused or ended, by listener and limit."},
		{Name: nameHedges, Type: Counter, Labels: []string{"result"}, Help: "Hedged attempts by which attempt won."},
		{Name: nameEjections, Type: Counter, Labels: []string{"cause"}, Help: "Upstreams taken out of routing as outliers."},
		{Name: nameClaims, Type: Counter, Labels: []string{"result"}, Help: "Answered claims of non-idempotent requests."},
		{Name: nameConfigLag, Type: Gauge, Help: "Time since this entry last had all configuration records that the log showed it; a quiet stream is read every few seconds, and a busy one at least every 2 s."},
		{Name: nameLogAppends, Type: Counter, Labels: []string{"stream", "result"}, Help: "Appends of entries to the log by kind of stream; agents append through entries."},
		{Name: nameLogRecords, Type: Counter, Labels: []string{"stream"}, Help: "Records in the appends that succeeded."},
		{Name: nameControlBytes, Type: Counter, Labels: []string{"direction"}, Help: "Bytes on connections between processes."},
		{Name: nameAuditDiscarded, Type: Counter, Help: "Entries of the audit trail that found no room while the log was away."},
	}
}

// events are counters without labels, which Instruments.Add feeds.
func events() []Definition {
	return []Definition{
		{Name: prefix + "control_commands_dropped_total", Type: Counter, Help: "Commands of an entry that were dropped because too many ran."},
		{Name: prefix + "region_append_failures_total", Type: Counter, Help: "Appends of decisions to the region's stream that failed."},
		{Name: prefix + "host_list_failures_total", Type: Counter, Help: "Readings of the host list that failed."},
		{Name: prefix + "audit_read_failures_total", Type: Counter, Help: "Queries for which the audit stream could not be read to its end."},
		{Name: prefix + "audit_flush_failures_total", Type: Counter, Help: "Writes of the audit trail or the counts that failed; they are repeated."},
		{Name: prefix + "crash_reports_lost_total", Type: Counter, Help: "Reports of crashed upstreams that did not reach the entry that attributes them."},
		{Name: prefix + "replica_changes_lost_total", Type: Counter, Help: "Changes of replicas that did not reach their home."},
		{Name: prefix + "log_read_events_total", Type: Counter, Help: "Failed, late or out-of-order reads of the log by an entry."},
		{Name: prefix + "entry_snapshots_total", Type: Counter, Help: "Snapshots that an entry took from another one, since the log had lost records and held no snapshot of them."},
		{Name: prefix + "records_without_effect_total", Type: Counter, Help: "Records read in the log that conflict with earlier ones or are invalid."},
		{Name: prefix + "agent_heartbeat_failures_total", Type: Counter, Help: "Heartbeats that no entry answered."},
		{Name: prefix + "agent_append_failures_total", Type: Counter, Help: "Records of an agent that were not stored at once."},
		{Name: prefix + "agent_refusals_total", Type: Counter, Help: "Requests that an agent refused."},
		{Name: prefix + "agent_listing_failures_total", Type: Counter, Help: "Listings of the engine that failed."},
		{Name: prefix + "agent_engine_restarts_total", Type: Counter, Help: "Restarts of the engine."},
		{Name: prefix + "agent_streams_cut_total", Type: Counter, Help: "Streams that the upstream cut."},
		{Name: prefix + "agent_part_failures_total", Type: Counter, Help: "Questions of an agent for its part of the tables that no entry answered."},
		{Name: prefix + "agent_orders_total", Type: Counter, Help: "Orders to the engine."},
		{Name: prefix + "agent_order_failures_total", Type: Counter, Help: "Orders to the engine that failed."},
		{Name: prefix + "agent_requests_started_total", Type: Counter, Help: "Requests that an agent sent to its upstream."},
	}
}

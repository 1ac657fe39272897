package telemetry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/access"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/eligibility"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/retry"
	"github.com/lagoonvalve/lagoonvalve/internal/ingress"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// Instruments records the metrics of a process. Its methods may be called
// from any goroutine.
type Instruments struct {
	models, adapters, upstreams, teams *TopNames

	counters map[string]metric.Int64Counter
	// events holds the counters without labels, with and without prefix.
	events     map[string]metric.Int64Counter
	seconds    map[string]metric.Float64Counter
	gauges     map[string]metric.Float64Gauge
	histograms map[string]metric.Float64Histogram
	// observed are the gauges that are read from quotas.
	observed map[string]metric.Float64ObservableGauge
	quotas   atomic.Pointer[QuotaSource]

	// sets holds the attribute sets in use; building one allocates.
	sets sync.Map
}

// LoadResult is how a load ended.
type LoadResult string

// The results of a load.
const (
	LoadReady  LoadResult = "ready"
	LoadFailed LoadResult = "failed"
)

// ClaimResult is how a claim was answered.
type ClaimResult string

// The results of a claim.
const (
	ClaimGranted  ClaimResult = "granted"
	ClaimRepeated ClaimResult = "repeated"
	ClaimRefused  ClaimResult = "refused"
)

// ResumeResult says what became of a stream that was cut.
type ResumeResult string

// The results.
const (
	ResumeDone   ResumeResult = "resumed"
	ResumeFailed ResumeResult = "failed"
)

// ShareEvent is what became of tokens between gateway and controller.
type ShareEvent string

// The events.
const (
	ShareRequested ShareEvent = "requested"
	ShareGranted   ShareEvent = "granted"
	ShareReturned  ShareEvent = "returned"
)

// HedgeResult says which attempt of a hedged request won.
type HedgeResult string

// The results of a hedge.
const (
	HedgeFirstWon  HedgeResult = "first_won"
	HedgeSecondWon HedgeResult = "second_won"
	HedgeBothLost  HedgeResult = "both_lost"
)

// EjectionCause says by which measure an upstream is an outlier.
type EjectionCause string

// The causes of an ejection.
const (
	EjectedFirstToken    EjectionCause = "first_token"
	EjectedBetweenTokens EjectionCause = "between_tokens"
)

// AppendResult is how an append to the log ended.
type AppendResult string

// The results of an append.
const (
	AppendStored  AppendResult = "stored"
	AppendRefused AppendResult = "refused"
	AppendUnknown AppendResult = "unknown"
)

// newInstruments makes the instruments of all definitions. Top is how many
// models, adapters and upstreams get a label value of their own at a time.
func newInstruments(meter metric.Meter, top int) (*Instruments, error) {
	i := &Instruments{
		models:     NewTopNames(top),
		adapters:   NewTopNames(top),
		upstreams:  NewTopNames(top),
		teams:      NewTopNames(top),
		counters:   make(map[string]metric.Int64Counter),
		events:     make(map[string]metric.Int64Counter),
		seconds:    make(map[string]metric.Float64Counter),
		gauges:     make(map[string]metric.Float64Gauge),
		histograms: make(map[string]metric.Float64Histogram),
		observed:   make(map[string]metric.Float64ObservableGauge),
	}
	for _, d := range Definitions() {
		if err := i.make(meter, d); err != nil {
			return nil, errors.Wrapf(err, "metric %s", d.Name)
		}
	}
	if err := i.observeQuotas(meter); err != nil {
		return nil, errors.Wrap(err, "register the gauges of quotas")
	}
	for _, d := range events() {
		i.events[d.Name] = i.counters[d.Name]
		i.events[strings.TrimPrefix(d.Name, prefix)] = i.counters[d.Name]
	}
	return i, nil
}

func (i *Instruments) make(meter metric.Meter, d Definition) (err error) {
	help := metric.WithDescription(d.Help)
	switch {
	case d.observed:
		i.observed[d.Name], err = meter.Float64ObservableGauge(d.Name, help)
	case d.Type == Gauge:
		i.gauges[d.Name], err = meter.Float64Gauge(d.Name, help)
	case d.Type == Histogram:
		i.histograms[d.Name], err = meter.Float64Histogram(d.Name, help,
			metric.WithExplicitBucketBoundaries(d.buckets...))
	case d.Name == nameIdle:
		i.seconds[d.Name], err = meter.Float64Counter(d.Name, help)
	default:
		i.counters[d.Name], err = meter.Int64Counter(d.Name, help)
	}
	return err
}

// RotateNames lets the labels follow the names that are used most. A process
// calls it about once a minute.
func (i *Instruments) RotateNames() {
	i.models.Rotate()
	i.adapters.Rotate()
	i.upstreams.Rotate()
	i.teams.Rotate()
}

// RequestEnded counts a request that ended with v; nil means that it was
// answered. Model is empty for a call of a plain service.
func (i *Instruments) RequestEnded(model state.ModelName, class state.Class, v *verdict.Verdict) {
	execution, reason := verdict.Ran, verdict.ReasonOK
	if v != nil {
		execution, reason = v.Execution, v.Reason
	}
	if !reason.Known() {
		reason = verdict.ReasonInternal
	}
	i.count(nameRequests, 1, execution.String(), string(reason), class.String())
	if model != "" {
		i.count(nameModelRequests, 1, i.models.Label(string(model)), execution.String())
	}
}

// FirstToken records the time to the first token of an answer.
func (i *Instruments) FirstToken(model state.ModelName, d time.Duration) {
	i.observe(nameFirstToken, d, i.models.Label(string(model)))
}

// BetweenTokens records the time between two tokens of an answer.
func (i *Instruments) BetweenTokens(model state.ModelName, d time.Duration) {
	i.observe(nameBetweenTokens, d, i.models.Label(string(model)))
}

// QueueWait records how long a request waited.
func (i *Instruments) QueueWait(class state.Class, d time.Duration) {
	i.observe(nameQueueWait, d, class.String())
}

// Waiting sets how many requests of a class wait now.
func (i *Instruments) Waiting(class state.Class, requests int) {
	i.set(nameWaiting, float64(requests), class.String())
}

// ColdStart records the time from the first request to a ready replica.
func (i *Instruments) ColdStart(model state.ModelName, d time.Duration) {
	i.observe(nameColdStart, d, i.models.Label(string(model)))
}

// ModelLoad counts a load of a model that ended.
func (i *Instruments) ModelLoad(model state.ModelName, result LoadResult) {
	i.count(nameModelLoads, 1, i.models.Label(string(model)), string(result))
}

// AdapterLoad counts a load of an adapter that ended.
func (i *Instruments) AdapterLoad(adapter state.AdapterName, result LoadResult) {
	i.count(nameAdapterLoads, 1, i.adapters.Label(string(adapter)), string(result))
}

// Idle adds time that a replica was loaded without work.
func (i *Instruments) Idle(model state.ModelName, d time.Duration) {
	set := i.attributes(nameIdle, i.models.Label(string(model)))
	i.seconds[nameIdle].Add(context.Background(), d.Seconds(), set)
}

// Retry counts a further attempt after one that failed for reason.
func (i *Instruments) Retry(reason verdict.Reason) {
	if !reason.Known() {
		reason = verdict.ReasonInternal
	}
	i.count(nameRetries, 1, string(reason))
}

// Resume counts a cut stream that the upstream was asked to resume.
func (i *Instruments) Resume(result ResumeResult) { i.count(nameResumes, 1, string(result)) }

// NotRetried counts a request, or the rest of a stream, that was not sent again after a failed
// attempt.
func (i *Instruments) NotRetried(obstacle retry.Obstacle) {
	i.count(nameNotRetried, 1, string(obstacle))
}

// Reselect counts a request for which another upstream is chosen before it was sent.
func (i *Instruments) Reselect(reason eligibility.Reason) {
	i.count(nameReselections, 1, string(reason))
}

// KeyRefused counts a request whose key may not be used.
func (i *Instruments) KeyRefused(result access.Result) { i.count(nameKeysRefused, 1, result.String()) }

// SpilloverRequest counts a request that is sent to an upstream of a data centre.
func (i *Instruments) SpilloverRequest(from, to state.DataCentre, reason string) {
	i.count(nameSpillRequests, 1, string(from), string(to), reason)
}

// SpilloverBytes adds bytes sent to and received from upstreams of a data centre.
func (i *Instruments) SpilloverBytes(from, to state.DataCentre, reason string, bytes int64) {
	i.count(nameSpillBytes, bytes, string(from), string(to), reason)
}

// CallerRefused counts a request or connection that a limit on callers refused or ended.
func (i *Instruments) CallerRefused(listener string, limit ingress.Limit) {
	i.count(nameCallersRefused, 1, listener, string(limit))
}

// UpstreamIneligible counts that an upstream's answers keep requests from it from now on.
func (i *Instruments) UpstreamIneligible(upstream state.UpstreamName, reason eligibility.Reason) {
	i.count(nameIneligible, 1, i.upstreams.Label(string(upstream)), string(reason))
}

// Hedge counts a hedged request that ended.
func (i *Instruments) Hedge(result HedgeResult) { i.count(nameHedges, 1, string(result)) }

// Ejection counts an upstream taken out of routing as an outlier.
func (i *Instruments) Ejection(cause EjectionCause) { i.count(nameEjections, 1, string(cause)) }

// Claim counts an answered claim.
func (i *Instruments) Claim(result ClaimResult) { i.count(nameClaims, 1, string(result)) }

// ConfigLag sets the age of the oldest configuration record not yet applied.
func (i *Instruments) ConfigLag(d time.Duration) { i.set(nameConfigLag, d.Seconds()) }

// LogAppend counts an append of records to a stream.
func (i *Instruments) LogAppend(stream platform.Stream, records int, result AppendResult) {
	kind := streamKind(stream)
	i.count(nameLogAppends, 1, kind, string(result))
	if result == AppendStored {
		i.count(nameLogRecords, int64(records), kind)
	}
}

// ControlBytes adds bytes sent and received between processes.
func (i *Instruments) ControlBytes(sent, received int) {
	i.count(nameControlBytes, int64(sent), "sent")
	i.count(nameControlBytes, int64(received), "received")
}

// AuditDiscarded adds audit entries that found no room.
func (i *Instruments) AuditDiscarded(entries int) { i.count(nameAuditDiscarded, int64(entries)) }

// Add counts events by the name of a counter without labels, with or without
// the prefix of all names. Names that are not defined count nothing; a test
// looks for them in the sources.
func (i *Instruments) Add(name string, delta uint64) {
	if counter, ok := i.events[name]; ok {
		counter.Add(context.Background(), int64(delta))
	}
}

// streamKind drops the region or shard from a stream's name.
func streamKind(stream platform.Stream) string {
	for end, letter := range stream {
		if letter == '/' {
			stream = stream[:end]
			break
		}
	}
	switch stream {
	case "config", "region", "claims", "audit":
		return string(stream)
	default:
		return Other
	}
}

func (i *Instruments) count(name string, n int64, values ...string) {
	i.counters[name].Add(context.Background(), n, i.attributes(name, values...))
}

func (i *Instruments) observe(name string, d time.Duration, values ...string) {
	i.histograms[name].Record(context.Background(), d.Seconds(), i.attributes(name, values...))
}

func (i *Instruments) set(name string, value float64, values ...string) {
	i.gauges[name].Record(context.Background(), value, i.attributes(name, values...))
}

var labelsOf = func() map[string][]string {
	labels := make(map[string][]string)
	for _, d := range Definitions() {
		labels[d.Name] = d.Labels
	}
	return labels
}()

// setKey is a metric's name and at most three label values.
type setKey [4]string

func (i *Instruments) attributes(name string, values ...string) metric.MeasurementOption {
	key := setKey{name}
	copy(key[1:], values)
	if known, ok := i.sets.Load(key); ok {
		return known.(metric.MeasurementOption)
	}
	attributes := make([]attribute.KeyValue, len(values))
	for n, label := range labelsOf[name] {
		attributes[n] = attribute.String(label, values[n])
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes...))
	i.sets.Store(key, option)
	return option
}

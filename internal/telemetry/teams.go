package telemetry

import (
	"context"
	"strconv"

	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/fairness"
	"github.com/lagoonvalve/lagoonvalve/internal/decide/quota"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// QuotaRequest counts a request for tokens of a team's quota.
func (i *Instruments) QuotaRequest(team state.TeamName, result quota.Result, tokens float64) {
	label := i.teams.Label(string(team))
	i.count(nameQuotaRequests, 1, label, result.String())
	i.count(nameQuotaTokens, int64(tokens), label, result.String())
}

// QuotaRefunded counts tokens of a request that did not run.
func (i *Instruments) QuotaRefunded(team state.TeamName, tokens float64) {
	i.count(nameQuotaTokens, int64(tokens), i.teams.Label(string(team)), "refunded")
}

// QuotaShare counts tokens that move between gateway and controller.
func (i *Instruments) QuotaShare(event ShareEvent, tokens float64) {
	if tokens > 0 {
		i.count(nameQuotaShares, int64(tokens), string(event))
	}
}

// FairnessRequest counts a request by how fairness has ranked its last attempt. Team is empty
// for a request of a route that needs no key.
func (i *Instruments) FairnessRequest(team state.TeamName, band int, reason fairness.Reason) {
	label := ""
	if team != "" {
		label = i.teams.Label(string(team))
	}
	i.count(nameFairness, 1, label, strconv.Itoa(band), reason.String())
}

// QuotaSource returns what a process has of the teams' quotas now. Its functions are called
// whenever the metrics are read, from any goroutine.
type QuotaSource struct {
	Holdings    func() []quota.Holding
	Outstanding func() []quota.Outstanding
}

// ObserveQuotas sets the source of the gauges of tokens.
func (i *Instruments) ObserveQuotas(source QuotaSource) { i.quotas.Store(&source) }

// observeQuotas makes the gauges of tokens report what the source has when they are read.
// Teams without a label value of their own are summed up.
func (i *Instruments) observeQuotas(meter metric.Meter) error {
	held, out := i.observed[nameQuotaHeld], i.observed[nameQuotaOutstanding]
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		source := i.quotas.Load()
		if source == nil {
			return nil
		}
		sums := make(map[[2]string]float64)
		for _, h := range source.Holdings() {
			team := i.teams.Value(string(h.Team))
			sums[[2]string{team, "share"}] += h.Share
			sums[[2]string{team, "standing"}] += h.Standing
			sums[[2]string{team, "own_part"}] += h.Own
		}
		i.observeSums(o, nameQuotaHeld, sums)
		clear(sums)
		for _, granted := range source.Outstanding() {
			team := i.teams.Value(string(granted.Team))
			sums[[2]string{team, "share"}] += granted.Shares
			sums[[2]string{team, "request"}] += granted.Requests
		}
		i.observeSums(o, nameQuotaOutstanding, sums)
		return nil
	}, held, out)
	return err
}

func (i *Instruments) observeSums(o metric.Observer, name string, sums map[[2]string]float64) {
	for values, sum := range sums {
		o.ObserveFloat64(i.observed[name], sum, i.attributes(name, values[0], values[1]))
	}
}

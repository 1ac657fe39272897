package bench

import (
	"fmt"
	"time"
)

const (
	// kvPerByte is the KV cache per byte of prompt: 128 KiB for each token of
	// four bytes, as of a model of eight billion weights with grouped heads.
	kvPerByte = 128 * 1024 / 4
	// kvSetup is the time to order an export and an import, without the
	// transfer.
	kvSetup = 20 * time.Millisecond
)

// kvMoveExperiment is prefixes under load, where a request that starts without
// its session's KV cache gets it from the upstream of its region that holds
// most of it, if that is faster than to prefill. All upstreams know all caches,
// so this is the most that moving can gain.
var kvMoveExperiment = experiment{
	name: "kv-move", length: 120 * time.Second, rate: func(time.Duration) float64 { return 4 }, preloaded: true, turns: 8, kvGbit: 25,
}

// importGain is the time that importing the rest of a session's cache saves.
func (u *upstream) importGain(r *request, hit int) time.Duration {
	if u.w.exp.kvGbit == 0 {
		return 0
	}
	var from *upstream
	held := hit
	for _, other := range u.w.ups {
		if size := min(other.prefixes.held[r.session].size, len(r.prompt)); other != u && other.region == u.region && size > held {
			from, held = other, size
		}
	}
	if from == nil {
		return 0
	}
	volume := float64(held-hit) * kvPerByte
	start := from.exporting
	if start.Before(u.w.now) {
		start = u.w.now
	}
	end := start.Add(time.Duration(volume * 8 / (u.w.exp.kvGbit * 1e9) * float64(time.Second)))
	gain := time.Duration(held-hit)*prefillPerByte - kvSetup - end.Sub(u.w.now)
	if gain <= 0 {
		return 0
	}
	from.exporting = end
	u.w.result.kvMoves++
	u.w.result.kvBytes += volume
	return gain
}

// judgeMoves compares with ours without moves.
func (t *table) judgeMoves(s size, e experiment, o outcomes) {
	for _, q := range []float64{50, 95, 99} {
		own, base := quantile(o.ours.first, q), quantile(o.base.first, q)
		t.target(s, e, fmt.Sprintf("p%.0f first token / without moves (%s)", q, show(base)), ratio(own, base), 1, true)
	}
	t.target(s, e, fmt.Sprintf("KV caches moved (%.1f GB)", o.ours.kvBytes/1e9), float64(o.ours.kvMoves), 1, false)
}

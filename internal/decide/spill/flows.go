package spill

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/decide/routing"
)

// flows computes what data centres send to each other. Excess and room are matched first
// within each region, then between regions. If there is less room than excess, each data
// centre gets its part of the room in proportion to its excess, so that all gateways of
// all data centres together send no more than there is room for.
type flows struct {
	cfg    Config
	kind   Kind
	home   int
	places []Place
	// kept is the load that is still served by the data centre itself, fresh the part of it
	// that new requests make up, and room what it still takes from others.
	kept, fresh, room []float64
	// sent is what the data centre home sends to each place.
	sent []float64
}

func newFlows(cfg Config, k Kind, home int, places []Place) *flows {
	f := &flows{
		cfg: cfg, kind: k, home: home, places: places,
		kept: make([]float64, len(places)), fresh: make([]float64, len(places)), room: make([]float64, len(places)), sent: make([]float64, len(places)),
	}
	confidence := 1 - float64(max(k.Age-fullConfidence, 0))/float64(maxAge-fullConfidence)
	for i := range places {
		f.kept[i], f.fresh[i] = load(k, &places[i]), places[i].Offered
		f.room[i] = max(lendLevel*places[i].Slots-f.kept[i], 0) * confidence
	}
	return f
}

func (f *flows) locality(from, to int) routing.Locality {
	switch {
	case from == to:
		return routing.SameDataCentre
	case f.places[from].Region == f.places[to].Region:
		return routing.SameRegion
	default:
		return routing.OtherRegion
	}
}

// excess returns what a data centre sends away if leaving to a locality costs as much as
// for a request of the mean size.
func (f *flows) excess(from int, l routing.Locality, extra time.Duration) float64 {
	p := &f.places[from]
	level := sendLevel(f.kind, p.SlotsEach, f.cfg.cost(l, f.kind.Bytes)+extra)
	if math.IsInf(level, 1) {
		return 0
	}
	return max(min(f.kept[from]-level*p.Slots, f.fresh[from]), 0)
}

// move matches the excess and the room of data centres at one locality. What the other
// data centres send is assumed not to be impeded by their links.
func (f *flows) move(l routing.Locality) {
	n := len(f.places)
	want := make([]float64, n)
	for from := range f.places {
		want[from] = f.excess(from, l, 0)
	}
	taken, left := make([]float64, n), make([]float64, n)
	for from, excess := range want {
		demand, room := f.competing(want, from, l)
		if excess == 0 || room == 0 {
			continue
		}
		fill := min(demand, room) / demand
		for to := range f.places {
			if f.locality(from, to) != l {
				continue
			}
			amount := excess * fill * f.room[to] / room
			taken[to] += amount
			if from == f.home {
				// What a link keeps back is left for other regions.
				amount = f.reachable(to, l, amount)
				f.sent[to] += amount
			}
			left[from] += amount
		}
	}
	for i := range f.places {
		f.kept[i] -= left[i]
		f.fresh[i] -= left[i]
		f.room[i] = max(f.room[i]-taken[i], 0)
	}
}

// competing returns the room that a data centre finds at a locality, and the excess of
// all data centres that find the same room.
func (f *flows) competing(want []float64, from int, l routing.Locality) (demand, room float64) {
	for i := range f.places {
		if f.locality(from, i) == l {
			room += f.room[i]
		}
		if l == routing.OtherRegion || i == from || f.locality(from, i) == l {
			demand += want[i]
		}
	}
	return demand, room
}

// reachable returns how much of an amount the data centre home sends to a place, given how
// well this gateway reaches it.
func (f *flows) reachable(to int, l routing.Locality, amount float64) float64 {
	reach := f.places[to].Reach
	switch {
	case reach.Lost:
		return 0
	case reach.Probe:
		return min(amount, probeShare*f.places[f.home].Offered)
	case reach.Extra > 0:
		return min(amount, f.excess(f.home, l, reach.Extra))
	default:
		return amount
	}
}

func sortShares(shares []Share) {
	slices.SortStableFunc(shares, func(a, b Share) int { return cmp.Compare(a.Locality, b.Locality) })
}

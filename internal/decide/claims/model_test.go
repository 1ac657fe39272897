package claims_test

import (
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// event is an input of the sequential model: a request for a claim with its
// reply, or the start of the work of a claim.
type event struct {
	key, claim  string
	start, done bool
}

// place returns the next place in the history.
func (w *world) place() int64 {
	w.clock++
	return w.clock
}

func (w *world) record(from, to int64, e event) {
	w.history = append(w.history, porcupine.Operation{Input: e, Call: from, Return: to})
}

// register is the sequential model of a key: the claim granted last, and
// whether its work has started.
type register struct {
	claim   string
	started bool
}

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(event).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return register{} },
	Step: func(s, input, _ any) (bool, any) {
		now, e := s.(register), input.(event)
		switch {
		case e.done:
			return now.started, now
		case e.start:
			return !now.started && now.claim == e.claim, register{e.claim, true}
		}
		return !now.started, register{claim: e.claim}
	},
}

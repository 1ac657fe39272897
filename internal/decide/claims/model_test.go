package claims_test

import (
	"maps"
	"slices"

	"github.com/anishathalye/porcupine"
)

// modelInput is an operation of the sequential model: a grant of a claim, a reply
// that the key's work ran (done), or the start of a claim's work (start).
type modelInput struct {
	key, claim  string
	start, done bool
}

// nextTime advances the logical clock of the history and returns its time.
func (h *harness) nextTime() int64 {
	h.logicalTime++
	return h.logicalTime
}

// recordOperation adds an operation to the history, with its logical times of call
// and return.
func (h *harness) recordOperation(from, to int64, e modelInput) {
	h.history = append(h.history, porcupine.Operation{Input: e, Call: from, Return: to})
}

// keyState is the state of a key in the sequential model: the claim granted last
// and whether its work has started.
type keyState struct {
	claim   string
	started bool
}

// claimModel allows each key's work to start once, for the claim granted last, and
// no grant after that.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(modelInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return keyState{} },
	Step: func(s, input, _ any) (bool, any) {
		now, e := s.(keyState), input.(modelInput)
		switch {
		case e.done:
			return now.started, now
		case e.start:
			return !now.started && now.claim == e.claim, keyState{e.claim, true}
		}
		return !now.started, keyState{claim: e.claim}
	},
}

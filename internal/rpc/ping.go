package rpc

import (
	"encoding/json"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Ping is both the request and the response of the failure detector with which the
// entries of a region determine which of them are alive. Its JSON keys are short
// because it is the message sent most often.
type Ping struct {
	From state.EntryName `json:"f"`
	// Sum is a hash of the entries that the sender takes for live. Entries with
	// equal sums need not send each other updates.
	Sum uint32 `json:"s"`
	// Target makes this an indirect ping: the receiver pings that entry and
	// answers only if the entry answered.
	Target  state.EntryName `json:"t,omitempty"`
	Updates []EntryUpdate   `json:"u,omitempty"`
}

// Peer is an entry and its control address.
type Peer struct {
	Name    state.EntryName `json:"name"`
	Control string          `json:"control"`
}

// EntryUpdate is a gossip update about an entry, sent by another or by itself. It
// is encoded as a JSON array of its fields.
type EntryUpdate struct {
	Name state.EntryName
	// Incarnation is at first the start time of the process in milliseconds.
	// Only the entry itself increments it, to refute a suspicion.
	Incarnation uint64
	// Health is the entry's state, as the number of a membership.Health.
	Health uint8
	// Control is the entry's control address and Run the short id of its
	// process. Only updates about live entries carry them.
	Control string
	Run     string
}

// MarshalJSON implements json.Marshaler.
func (u EntryUpdate) MarshalJSON() ([]byte, error) {
	fields := []any{u.Name, u.Incarnation, u.Health}
	if u.Control != "" {
		fields = append(fields, u.Control, u.Run)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler.
func (u *EntryUpdate) UnmarshalJSON(data []byte) error {
	*u = EntryUpdate{}
	return json.Unmarshal(data, &[]any{&u.Name, &u.Incarnation, &u.Health, &u.Control, &u.Run})
}

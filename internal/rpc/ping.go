package rpc

import (
	"encoding/json"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Ping is what entries of a region exchange to know who is alive, as a question
// and as its answer. Its keys are short because it is sent most often of all.
type Ping struct {
	From state.EntryName `json:"f"`
	// Sum is a hash of the entries that the sender takes for live. Entries with
	// the same sum need tell each other nothing.
	Sum uint32 `json:"s"`
	// Target asks the receiver to ping that entry and to answer only if it
	// was reached.
	Target  state.EntryName `json:"t,omitempty"`
	Updates []EntryUpdate   `json:"u,omitempty"`
}

// Peer is an entry and its control address.
type Peer struct {
	Name    state.EntryName `json:"name"`
	Control string          `json:"control"`
}

// EntryUpdate is what one entry says of another, or of itself. It is encoded as
// an array of its fields.
type EntryUpdate struct {
	Name state.EntryName
	// Incarnation starts at the time of the process's start in milliseconds.
	// Only the entry itself raises it, to refute a suspicion.
	Incarnation uint64
	// Health is the number of a membership state.
	Health uint8
	// Control is the entry's control address and Run identifies its process.
	// Only updates of live entries carry them.
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

package state

// Effect says what a record did to the tables.
type Effect uint8

// The effects of a record.
const (
	// EffectIgnored means that the record is at or below the applied offset
	// or does not concern the tables.
	EffectIgnored Effect = iota
	// EffectApplied means that the record took effect.
	EffectApplied
	// EffectConflict means that another record was there first.
	EffectConflict
	// EffectInvalid means that the record breaks a rule of its own.
	EffectInvalid
)

var effectNames = [...]string{"ignored", "applied", "conflict", "invalid"}

// String returns the lower-case name of e.
func (e Effect) String() string { return effectNames[e] }

// Winner is the record that a refused record lost against.
type Winner struct {
	Actor    string   `json:"actor"`
	Offset   Offset   `json:"offset"`
	Revision Revision `json:"revision"`
}

// Outcome is what became of a record at its position.
type Outcome struct {
	Effect Effect
	Offset Offset
	// Revision is the entity's revision after an applied config.change.
	Revision Revision
	// Winner is set for a conflict. Its revision is zero if the entity does
	// not exist.
	Winner Winner
	// Reasons lists every reason why the record is invalid, or the one why
	// a record of a region stream is in conflict.
	Reasons []string
}

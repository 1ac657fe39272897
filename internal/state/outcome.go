package state

// Effect says what a record did to the tables.
type Effect uint8

// The effects of a record.
const (
	// EffectIgnored means that the record is at or below the applied offset
	// or of a kind that does not change the tables.
	EffectIgnored Effect = iota
	// EffectApplied means that the record took effect.
	EffectApplied
	// EffectConflict means that an earlier record excludes this one, such as
	// a change of the same revision or a newer epoch.
	EffectConflict
	// EffectInvalid means that the record cannot be decoded or that its
	// contents break a rule.
	EffectInvalid
)

var effectNames = [...]string{"ignored", "applied", "conflict", "invalid"}

// String returns the lower-case name of e.
func (e Effect) String() string { return effectNames[e] }

// Winner identifies the earlier record that a conflicting record lost to.
type Winner struct {
	Actor    string   `json:"actor"`
	Offset   Offset   `json:"offset"`
	Revision Revision `json:"revision"`
}

// Outcome is the result of applying a record.
type Outcome struct {
	Effect Effect
	Offset Offset
	// Revision is the entity's revision after an applied config.change.
	Revision Revision
	// Winner is set for a conflict. Its offset is NoOffset if the winning
	// record is not known; its revision is zero if the entity does not
	// exist.
	Winner Winner
	// Reasons lists every reason why the record is invalid. For a conflict in
	// a region stream it holds the one reason of the conflict.
	Reasons []string
}

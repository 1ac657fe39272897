// Package access decides whether a request may use the team of its key. It fails closed:
// a gateway that can't tell whether a key is still valid refuses it.
package access

import "time"

// Result is whether a request may run for its team.
type Result uint8

// The results.
const (
	Allowed Result = iota
	// UnknownKey means that the manifest has no such key.
	UnknownKey
	// RevokedKey means that an earlier manifest had the key.
	RevokedKey
	// Unconfirmed means that the manifest is too old to tell whether the key is still
	// valid.
	Unconfirmed
)

// String returns the name of the result in logs.
func (r Result) String() string {
	return [...]string{"allowed", "unknown_key", "revoked_key", "manifest_unconfirmed"}[r]
}

// Policy is how long keys may be checked by a manifest after it was last confirmed as the
// newest.
type Policy struct {
	// RevocationBound is the time after the confirmed removal of a key from which no
	// new request may use it; zero never fails closed.
	RevocationBound time.Duration
}

// margin is the part of the bound that is kept for the time between a check and the
// arrival of the request at its upstream.
const margin = 200 * time.Millisecond

// Manifest holds the times by which the age of a gateway's manifest is judged, of a clock
// that continues while the host is suspended.
type Manifest struct {
	// ConfirmedAt is a time at which the manifest was certainly the newest: when the
	// latest successful read began.
	ConfirmedAt time.Time
	Now         time.Time
}

// Key is the state of a request's key in the manifest.
type Key struct {
	Known, Revoked bool
}

// Stale reports whether requests that need a key are refused: a key may have been
// removed for longer than the bound without the gateway's knowledge.
func (p Policy) Stale(m Manifest) bool {
	return p.RevocationBound > 0 && m.Now.Sub(m.ConfirmedAt) > p.RevocationBound-margin
}

// NeedsConfirmation reports whether half of the time until the manifest is stale has
// passed.
func (p Policy) NeedsConfirmation(m Manifest) bool {
	return p.RevocationBound > 0 && m.Now.Sub(m.ConfirmedAt) > p.RevocationBound/2
}

// Check decides on a request whose route requires a key. An unknown key is refused for
// good only by a manifest that is not stale: the key may have been added since.
func (p Policy) Check(m Manifest, k Key) Result {
	switch {
	case p.Stale(m):
		return Unconfirmed
	case k.Known:
		return Allowed
	case k.Revoked:
		return RevokedKey
	default:
		return UnknownKey
	}
}

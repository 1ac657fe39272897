// Package design describes the HTTP interface of an entry: callers' requests,
// the operators' interface and health. `go tool goa gen` makes the committed
// code in gen from it.
package design

import (
	. "goa.design/goa/v3/dsl"
)

var _ = API("lagoonvalve", func() {
	Title("lagoonvalve")
	Description("Serves rarely used machine-learning models.")
	Version("1")
	Server("entry", func() {
		Services("callers", "operators", "health")
	})
})

// Problem is the one shape of all error answers.
var Problem = Type("Problem", func() {
	Description("An error answer: why, and whether the work may have run.")
	Attribute("code", String, "Reason code; docs/verdicts.md lists all.", func() {
		Example("deadline_cannot_be_met")
	})
	Attribute("verdict", String, "Whether the work may have run.", func() {
		Enum("not-run", "may-have-run", "ran")
	})
	Attribute("message", String, "Text for a person.")
	Required("code", "verdict", "message")
})

// ErrorAnswer wraps Problem as clients of model engines expect it.
var ErrorAnswer = Type("ErrorAnswer", func() {
	Attribute("error", Problem)
	Required("error")
})

package oplang

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is a parsed statement. Exactly one field is set.
type Statement struct {
	Show       *Show       `parser:"'show' @@"`
	Explain    *Explain    `parser:"| 'explain' @@"`
	Create     *Assign     `parser:"| 'create' @@"`
	Change     *Assign     `parser:"| 'change' @@"`
	Delete     *Delete     `parser:"| 'delete' @@"`
	Drain      *Drain      `parser:"| 'drain' @@"`
	Undrain    *Drain      `parser:"| 'undrain' @@"`
	Pin        *Placement  `parser:"| 'pin' @@"`
	Unload     *Placement  `parser:"| 'unload' @@"`
	Prewarm    *Prewarm    `parser:"| 'prewarm' @@"`
	Activate   *Activate   `parser:"| 'activate' @@"`
	Quarantine *Quarantine `parser:"| 'quarantine' @@"`
	Release    *Release    `parser:"| 'release' @@"`
}

// Literal is a word or a quoted text.
type Literal struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Show is a query.
type Show struct {
	Table   string       `parser:"@('loaded' | 'waiting' | 'refused' | 'replicas' | 'grants' | 'upstreams' | 'hosts' | 'models' | 'versions' | 'adapters' | 'callers' | 'services' | 'audit' | 'claims' | 'counts')"`
	By      []*Literal   `parser:"( 'by' @@ ( ',' @@ )* )?"`
	Where   []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Since   *Literal     `parser:"( 'since' '<' @@ )?"`
	OrderBy *Literal     `parser:"( 'order' 'by' @@"`
	Desc    bool         `parser:"@'desc'? )?"`
	Limit   *Literal     `parser:"( 'limit' @@ )?"`
}

// Condition compares a column with a value. The operator "~" means that the
// column's text contains the value.
type Condition struct {
	Column   *Literal `parser:"@@"`
	Operator string   `parser:"@('=' | '!=' | '<=' | '>=' | '<' | '>' | '~')"`
	Value    *Literal `parser:"@@"`
}

// Explain asks why a model or a request is in its present state.
type Explain struct {
	Subject string   `parser:"@('model' | 'request')"`
	Name    *Literal `parser:"@@"`
}

// Options end a command, in any order.
type Options struct {
	List []*Option `parser:"@@*"`
}

// Option is one option of a command.
type Option struct {
	Pos      lexer.Position
	Reason   *string  `parser:"'reason' @String"`
	DryRun   bool     `parser:"| @'--dry-run'"`
	Revision *Literal `parser:"| 'if' 'revision' @@"`
}

// Assign creates or changes an entity.
type Assign struct {
	Kind        string        `parser:"@('model' | 'version' | 'adapter' | 'caller' | 'service' | 'upstream' | 'team')"`
	Name        *Literal      `parser:"@@"`
	Assignments []*Assignment `parser:"@@*"`
	Options     `parser:"@@"`
}

// Assignment sets a key of an entity. Several values are separated by commas.
type Assignment struct {
	Pos    lexer.Position
	Key    string     `parser:"@Word '='"`
	Values []*Literal `parser:"@@ ( ',' @@ )*"`
}

// Delete deletes an entity.
type Delete struct {
	Kind    string   `parser:"@('model' | 'version' | 'adapter' | 'caller' | 'service' | 'upstream' | 'team')"`
	Name    *Literal `parser:"@@"`
	Options `parser:"@@"`
}

// Drain starts or ends the drain of an upstream or a host.
type Drain struct {
	Kind    string   `parser:"@('upstream' | 'host')"`
	Name    *Literal `parser:"@@"`
	Options `parser:"@@"`
}

// Placement names a model on an upstream.
type Placement struct {
	Model    *Literal `parser:"@@ 'on'"`
	Upstream *Literal `parser:"@@"`
	Options  `parser:"@@"`
}

// Prewarm loads a model before the first request.
type Prewarm struct {
	Model   *Literal `parser:"@@"`
	Options `parser:"@@"`
}

// Activate makes new requests of a model use a version.
type Activate struct {
	Model   *Literal `parser:"@@"`
	Version *Literal `parser:"@@"`
	Options `parser:"@@"`
}

// Quarantine refuses the requests of a fingerprint.
type Quarantine struct {
	Fingerprint *Literal `parser:"@@"`
	For         *Literal `parser:"( 'for' @@ )?"`
	Options     `parser:"@@"`
}

// Release takes a fingerprint out of quarantine.
type Release struct {
	Fingerprint *Literal `parser:"@@"`
	Options     `parser:"@@"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Flag", Pattern: `--[a-z][a-z-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Comma", Pattern: `,`},
	// A word may be a name, an address, a path, a size or a time.
	{Name: "Word", Pattern: `(-?[0-9]|[A-Za-z_/])[A-Za-z0-9_./:@+\-\[\]]*`},
	{Name: "Space", Pattern: `\s+`},
})

// parser needs two tokens of lookahead to tell an assignment from an option.
var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Word", "Flag"),
	participle.UseLookahead(2),
)

package oplang

import (
	"strconv"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// check finds the mistakes that the grammar cannot tell.
func (s *Statement) check() error {
	switch {
	case s.Show != nil:
		return s.Show.check()
	case s.Create != nil:
		return s.Create.check()
	case s.Change != nil:
		if len(s.Change.Assignments) == 0 {
			return mistakeAt(s.Change.Name.Pos, "nothing to change: add key=value after the name")
		}
		return s.Change.check()
	case s.Delete != nil:
		return firstMistake(checkName(s.Delete.Kind, s.Delete.Name), s.Delete.check())
	case s.Quarantine != nil:
		return s.Quarantine.check()
	case s.Release != nil:
		_, err := fingerprint(s.Release.Fingerprint)
		return firstMistake(err, s.Release.check())
	}
	if options := s.options(); options != nil {
		return options.check()
	}
	return nil
}

// options returns the options of a command, nil for a query.
func (s *Statement) options() *Options {
	switch {
	case s.Create != nil:
		return &s.Create.Options
	case s.Change != nil:
		return &s.Change.Options
	case s.Delete != nil:
		return &s.Delete.Options
	case s.Drain != nil:
		return &s.Drain.Options
	case s.Undrain != nil:
		return &s.Undrain.Options
	case s.Pin != nil:
		return &s.Pin.Options
	case s.Unload != nil:
		return &s.Unload.Options
	case s.Prewarm != nil:
		return &s.Prewarm.Options
	case s.Activate != nil:
		return &s.Activate.Options
	case s.Quarantine != nil:
		return &s.Quarantine.Options
	case s.Release != nil:
		return &s.Release.Options
	default:
		return nil
	}
}

func firstMistake(found ...error) error {
	for _, err := range found {
		if err != nil {
			return err
		}
	}
	return nil
}

func (q *Show) check() error {
	_, sinceErr := q.since()
	_, limitErr := q.limit()
	return firstMistake(sinceErr, limitErr)
}

// since returns how far back the query looks; zero means without end.
func (q *Show) since() (time.Duration, error) {
	if q.Since == nil {
		return 0, nil
	}
	return positiveDuration(q.Since)
}

// SinceTime returns the time back to which the query looks at now, and false if
// it names none.
func (q *Show) SinceTime(now time.Time) (time.Time, bool) {
	back, err := q.since()
	return now.Add(-back), err == nil && back > 0
}

// limit returns the largest number of rows; zero means all.
func (q *Show) limit() (int, error) {
	if q.Limit == nil {
		return 0, nil
	}
	n, err := strconv.Atoi(q.Limit.Text)
	if err != nil || n < 1 {
		return 0, mistakeAt(q.Limit.Pos, "%q is no whole number above 0", q.Limit.Text)
	}
	return n, nil
}

func positiveDuration(literal *Literal) (time.Duration, error) {
	d, err := time.ParseDuration(literal.Text)
	if err != nil || d <= 0 {
		return 0, mistakeAt(literal.Pos, "%q is no duration such as 10m or 1h30m", literal.Text)
	}
	return d, nil
}

// fingerprint reads a request fingerprint: 1 to 16 hexadecimal digits.
func fingerprint(literal *Literal) (uint64, error) {
	value, err := strconv.ParseUint(literal.Text, 16, 64)
	if err != nil {
		return 0, mistakeAt(literal.Pos, "%q is no fingerprint of hexadecimal digits", literal.Text)
	}
	return value, nil
}

func (q *Quarantine) check() error {
	_, err := fingerprint(q.Fingerprint)
	_, forErr := q.duration()
	return firstMistake(err, forErr, q.Options.check())
}

// defaultQuarantine is how long a quarantine lasts if the operator does not
// say. It gives a team the time to find the faulty request.
const defaultQuarantine = time.Hour

func (q *Quarantine) duration() (time.Duration, error) {
	if q.For == nil {
		return defaultQuarantine, nil
	}
	return positiveDuration(q.For)
}

func (o *Options) check() error {
	var reason, dryRun, revision bool
	once := func(seen *bool, pos lexer.Position, name string) error {
		if *seen {
			return mistakeAt(pos, "%s is given twice", name)
		}
		*seen = true
		return nil
	}
	for _, option := range o.List {
		var err error
		switch {
		case option.Reason != nil:
			err = once(&reason, option.Pos, "reason")
		case option.DryRun:
			err = once(&dryRun, option.Pos, "--dry-run")
		default:
			err = once(&revision, option.Pos, "if revision")
			if _, numberErr := strconv.ParseUint(option.Revision.Text, 10, 64); err == nil && numberErr != nil {
				err = mistakeAt(option.Revision.Pos, "%q is no revision number", option.Revision.Text)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// DryRun reports whether the command is only to be checked.
func (o *Options) DryRun() bool {
	for _, option := range o.List {
		if option.DryRun {
			return true
		}
	}
	return false
}

// Reason returns the operator's reason, or "".
func (o *Options) Reason() string {
	for _, option := range o.List {
		if option.Reason != nil {
			return *option.Reason
		}
	}
	return ""
}

// Revision returns the revision that the command is bound to.
func (o *Options) Revision() (revision uint64, ok bool) {
	for _, option := range o.List {
		if option.Revision != nil {
			revision, err := strconv.ParseUint(option.Revision.Text, 10, 64)
			return revision, err == nil
		}
	}
	return 0, false
}

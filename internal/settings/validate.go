package settings

import (
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("toml")
	})
	checks := map[string]validator.Func{
		"listen_address": isListenAddress,
		"dial_address":   isDialAddress,
		"min_duration":   isMinDuration,
		"max_duration":   isMaxDuration,
	}
	for tag, check := range checks {
		if err := v.RegisterValidation(tag, check); err != nil {
			panic(err)
		}
	}
	v.RegisterStructValidation(checkCommon, Common{})
	v.RegisterStructValidation(checkEntry, Entry{})
	v.RegisterStructValidation(checkAgent, Agent{})
	v.RegisterStructValidation(checkEntryLimits, EntryLimits{})
	return v
}

// checkCommon checks that peer names are unique and that connections between
// processes are authenticated in both directions. The library's own "unique"
// rule is not used, as it would skip the checks of the elements.
func checkCommon(level validator.StructLevel) {
	common, ok := level.Current().Interface().(Common)
	if !ok {
		return
	}
	seen := make(map[state.EntryName]bool, len(common.Peers))
	for i, peer := range common.Peers {
		if seen[peer.Name] {
			level.ReportError(peer.Name, elementKey("peers", i)+".name", "Name", "unique", "")
		}
		seen[peer.Name] = true
	}
	// Without certificate authorities, any client that can reach the address
	// could give orders.
	if internal := common.TLS.Internal; internal.Enabled() && internal.CAFile == "" {
		level.ReportError("", "tls.internal.ca_file", "CAFile", "required", "")
	}
}

// checkEntry checks the rules that apply to entries only.
func checkEntry(level validator.StructLevel) {
	entry, ok := level.Current().Interface().(Entry)
	if !ok {
		return
	}
	if entry.Listen.Operators == "" {
		level.ReportError("", "listen.operators", "Operators", "required", "")
	}
	checkPlatformCAFile(level, entry.Common, entry.Platform.Log, entry.Platform.Hosts)
	seen := make(map[string]bool, len(entry.Tokens))
	for i, token := range entry.Tokens {
		if seen[token.SHA256] {
			level.ReportError("", elementKey("tokens", i)+".sha256", "SHA256", "unique", "")
		}
		seen[token.SHA256] = true
	}
}

// checkAgent checks the rules that apply to agents only.
func checkAgent(level validator.StructLevel) {
	if agent, ok := level.Current().Interface().(Agent); ok {
		checkPlatformCAFile(level, agent.Common, agent.Upstream.URL)
	}
}

// checkPlatformCAFile checks that at least one URL uses https if the CA file of
// the platform is set. Otherwise connections would be unencrypted although the
// settings suggest that they are not.
func checkPlatformCAFile(level validator.StructLevel, common Common, urls ...string) {
	if common.TLS.Platform.CAFile != "" && !slices.ContainsFunc(append(urls, common.Telemetry.OTLPEndpoint), IsHTTPS) {
		level.ReportError("", "tls.platform.ca_file", "CAFile", "https", "")
	}
}

// IsHTTPS reports whether a URL has the scheme https.
func IsHTTPS(url string) bool { return strings.HasPrefix(strings.ToLower(url), "https:") }

func checkEntryLimits(level validator.StructLevel) {
	limits, ok := level.Current().Interface().(EntryLimits)
	if ok && limits.MaxDeadline < limits.DefaultDeadline {
		level.ReportError(limits.MaxDeadline, "max_deadline", "MaxDeadline", "min", "default_deadline")
	}
}

func isListenAddress(field validator.FieldLevel) bool {
	_, ok := parsePort(field.Field().String())
	return ok
}

func isDialAddress(field validator.FieldLevel) bool {
	host, _, _ := net.SplitHostPort(field.Field().String())
	number, ok := parsePort(field.Field().String())
	return ok && number > 0 && host != ""
}

// parsePort returns the port of a "host:port" address.
func parsePort(address string) (uint64, bool) {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0, false
	}
	number, err := strconv.ParseUint(text, 10, 16)
	return number, err == nil
}

func isMinDuration(field validator.FieldLevel) bool {
	bound, err := time.ParseDuration(field.Param())
	return err == nil && time.Duration(field.Field().Int()) >= bound
}

func isMaxDuration(field validator.FieldLevel) bool {
	bound, err := time.ParseDuration(field.Param())
	return err == nil && time.Duration(field.Field().Int()) <= bound
}

// validate checks the decoded settings. It does not report keys again for which
// decoding already reported a mistake.
func (d *decoder) validate(settings any) {
	err := structValidator.Struct(settings)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		key := keyOf(failure.Namespace())
		reported := func(m Mistake) bool { return m.Key == key }
		if !slices.ContainsFunc(d.mistakes, reported) {
			d.report(key, failureMessage(failure))
		}
	}
}

// keyOf converts the validator's namespace, such as
// "Entry.Common.listen.callers", to the key in the file, "listen.callers".
func keyOf(namespace string) string {
	_, key, _ := strings.Cut(namespace, ".")
	return strings.TrimPrefix(key, "Common.")
}

func failureMessage(failure validator.FieldError) string {
	param := failure.Param()
	switch failure.Tag() {
	case "required", "required_if":
		return "required, but not set"
	case "required_with":
		return "required, because another key of this table is set"
	case "listen_address":
		return `want an address such as "10.0.0.1:8080"`
	case "dial_address":
		return `want an address with host and port, such as "10.0.0.1:8080"`
	case "http_url":
		return `want a URL such as "http://10.0.0.1:8080"`
	case "https":
		return "set, but no address of the platform begins with https"
	case "oneof":
		return "want one of " + strings.ReplaceAll(param, " ", ", ")
	case "unique":
		return "an earlier element has the same value"
	case "len":
		return "want exactly " + param + " characters"
	case "excludes":
		return "want no spaces"
	case "gt":
		return "want more than " + param
	case "min", "min_duration":
		return "want at least " + formatBound(failure)
	case "max", "max_duration":
		return "want at most " + formatBound(failure)
	default:
		return fmt.Sprintf("does not satisfy %s %s", failure.Tag(), param)
	}
}

// formatBound formats the parameter of a failed minimum or maximum rule with its
// unit.
func formatBound(failure validator.FieldError) string {
	param := failure.Param()
	if failure.Type() == reflect.TypeFor[state.Bytes]() {
		number, _ := strconv.ParseInt(param, 10, 64)
		return state.Bytes(number).String()
	}
	if kind := failure.Kind(); kind == reflect.String {
		return param + " characters"
	} else if kind == reflect.Slice {
		return param + " elements"
	}
	return param
}

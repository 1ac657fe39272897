package audit

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Bounds of one entry of the trail. The value of the largest entity, a service
// with 100 calls, takes about 8 KiB.
const (
	maxTextBytes  = 1 << 10
	maxValueBytes = 16 << 10
)

const redacted = "[redacted]"

// secretWords mark the keys whose values never enter the trail.
var secretWords = []string{"token", "secret", "password", "credential", "authorization", "sha256", "private_key"}

// bounded returns a without secrets and within the bounds of an entry.
func bounded(a state.Audit) state.Audit {
	a.Actor = cut(a.Actor)
	a.Action = cut(a.Action)
	a.Name = cut(a.Name)
	a.Reason = cut(a.Reason)
	a.Detail = cut(a.Detail)
	a.Before = boundedValue(a.Before)
	a.After = boundedValue(a.After)
	return a
}

func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

func boundedValue(raw json.RawMessage) json.RawMessage {
	if len(raw) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return json.RawMessage(`"[not JSON]"`)
	}
	clean, err := json.Marshal(redact(value))
	if err != nil {
		return json.RawMessage(`"[not JSON]"`)
	}
	if len(clean) > maxValueBytes {
		return json.RawMessage(`"[too large]"`)
	}
	return clean
}

func redact(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			if isSecret(key) {
				v[key] = redacted
			} else {
				v[key] = redact(inner)
			}
		}
	case []any:
		for i, inner := range v {
			v[i] = redact(inner)
		}
	}
	return value
}

func isSecret(key string) bool {
	key = strings.ToLower(key)
	for _, word := range secretWords {
		if strings.Contains(key, word) {
			return true
		}
	}
	return false
}

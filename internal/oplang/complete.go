package oplang

import (
	"strings"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// Complete returns the lines that line may be completed to: its last word
// replaced by each keyword or key that fits there.
func Complete(line string) []string {
	start := strings.LastIndexAny(line, " \t") + 1
	before, word := line[:start], strings.ToLower(line[start:])
	var lines []string
	for _, candidate := range append(entityKeys(before), Expected(before)...) {
		if strings.HasPrefix(candidate, word) && isWord(candidate) {
			lines = append(lines, before+candidate)
		}
	}
	return lines
}

// isWord tells keywords and keys from signs and placeholders.
func isWord(candidate string) bool {
	return len(candidate) > 1 && !strings.ContainsAny(candidate, " !<>")
}

// entityKeys returns the keys, each with "=", that fit after "create KIND NAME"
// or "change KIND NAME" and are not set yet.
func entityKeys(before string) []string {
	words := strings.Fields(before)
	if len(words) < 3 {
		return nil
	}
	if verb := strings.ToLower(words[0]); verb != "create" && verb != "change" {
		return nil
	}
	var keys []string
	for _, key := range Keys(state.EntityKind(strings.ToLower(words[1]))) {
		if !strings.Contains(before, " "+key+"=") {
			keys = append(keys, key+"=")
		}
	}
	return keys
}

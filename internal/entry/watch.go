package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// tokenWatch measures an answer as it passes and keeps short answers of
// claimed requests.
type tokenWatch struct {
	started time.Time
	first   time.Duration
	last    time.Time
	chunks  int
	keep    bool
	kept    *keptBody
	end     sse.EndDetector
}

// chunk implements progress.
func (t *tokenWatch) chunk(now time.Time, _ int) {
	if t.chunks == 0 {
		t.first = now.Sub(t.started)
	}
	t.chunks++
	t.last = now
}

// Write implements io.Writer; it never fails.
func (t *tokenWatch) Write(p []byte) (int, error) {
	t.end.Add(p)
	if t.keep {
		t.kept.add(p)
	}
	return len(p), nil
}

// between is the mean time between the parts of a stream.
func (t *tokenWatch) between() time.Duration {
	if t.chunks < 2 {
		return 0
	}
	return (t.last.Sub(t.started) - t.first) / time.Duration(t.chunks-1)
}

// keptBody holds an answer of at most keptAnswer bytes.
type keptBody struct {
	data     []byte
	tooLarge bool
}

func (k *keptBody) add(p []byte) {
	if k.tooLarge || len(k.data)+len(p) > keptAnswer {
		k.tooLarge = true
		k.data = nil
		return
	}
	k.data = append(k.data, p...)
}

// done is the record of the outcome of a claim.
func (k *keptBody) done(claim string, response *http.Response) state.ClaimDone {
	done := state.ClaimDone{Claim: claim, Status: response.StatusCode, AnswerKept: !k.tooLarge}
	if !k.tooLarge {
		done.ContentType = response.Header.Get("Content-Type")
		done.Answer = k.data
	}
	return done
}

func decodeJSON(r io.Reader, into any) error {
	return json.NewDecoder(r).Decode(into)
}

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/lagoonvalve/lagoonvalve/internal/sse"
)

// answer writes a completion, as server-sent events or as one JSON object.
type answer struct {
	w    http.ResponseWriter
	work *completion
	text strings.Builder
	sent int
}

// completionAnswer is a whole answer or one event of a stream.
type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newAnswer(w http.ResponseWriter, work *completion) *answer {
	if work.stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	if work.position > 0 {
		w.Header().Set(sse.HeaderLastEventID, strconv.Itoa(work.position))
	}
	return &answer{w: w, work: work, sent: work.position}
}

// add takes the next token.
func (a *answer) add(text string) {
	a.text.WriteString(text)
	if !a.work.stream {
		return
	}
	a.sent++
	body := a.body(text)
	if a.sent == a.work.tokens {
		body.Choices[0].FinishReason = finished()
	}
	a.event(body)
}

func (a *answer) finish() {
	if a.work.stream {
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
		a.flush()
		return
	}
	writeJSON(a.w, http.StatusOK, a.whole())
}

// cut breaks the answer off, a stream within its next event.
func (a *answer) cut() {
	if a.work.stream {
		a.begin(a.sent + 1)
		_, _ = fmt.Fprint(a.w, "data: {")
		a.flush()
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(a.whole())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	cutBody(a.w, "application/json", body)
}

// whole is the answer that is no stream.
func (a *answer) whole() completionAnswer {
	body := a.body(a.text.String())
	body.Choices[0].FinishReason = finished()
	prompt := len(strings.Fields(a.work.prompt))
	body.Usage = &completionUsage{
		PromptTokens:     prompt,
		CompletionTokens: a.work.tokens,
		TotalTokens:      prompt + a.work.tokens,
	}
	return body
}

func (a *answer) body(text string) completionAnswer {
	id := "cmpl-" + token(a.work.model, a.work.adapter, a.work.prompt, 0)
	body := completionAnswer{ID: id, Object: "text_completion", Model: string(a.work.model)}
	choice := completionChoice{}
	message := &chatMessage{Role: "assistant", Content: text}
	switch {
	case a.work.chat && a.work.stream:
		body.Object, choice.Delta = "chat.completion.chunk", message
	case a.work.chat:
		body.Object, choice.Message = "chat.completion", message
	default:
		choice.Text = text
	}
	body.Choices = []completionChoice{choice}
	return body
}

func (a *answer) event(body completionAnswer) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.begin(a.sent)
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", encoded)
	a.flush()
}

// begin writes the first line of an event if events have ids. A write error means that the
// caller left, which ends the request.
func (a *answer) begin(id int) {
	if a.work.ids {
		_, _ = fmt.Fprintf(a.w, "id: %d\n", id)
	}
}

func (a *answer) flush() {
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func finished() *string {
	reason := "length"
	return &reason
}

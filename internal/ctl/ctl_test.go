package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/lagoonvalve/lagoonvalve/internal/ctl"
	"github.com/lagoonvalve/lagoonvalve/internal/oplang"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// standIn answers the operators' API and keeps the last request.
type standIn struct {
	*httptest.Server
	status  int
	body    string
	request ctl.Request
	header  http.Header
	path    string
	calls   int
}

func newStandIn(t *testing.T) *standIn {
	s := &standIn{status: http.StatusOK}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls++
		s.header, s.path = r.Header, r.Method+" "+r.URL.Path
		_ = json.NewDecoder(r.Body).Decode(&s.request)
		w.WriteHeader(s.status)
		_, _ = io.WriteString(w, s.body)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *standIn) session(out, complaints io.Writer) *ctl.Session {
	client := &ctl.Client{URL: s.URL + "/", Token: "t0ken", HTTP: s.Client()}
	return &ctl.Session{Client: client, Out: out, Err: complaints}
}

func encode(answer oplang.Answer) string {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// endlessAnswer answers with rows that never end and counts what is read.
type endlessAnswer struct{ read int }

// RoundTrip implements http.RoundTripper.
func (a *endlessAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(a)}, nil
}

// Read implements io.Reader.
func (a *endlessAnswer) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	a.read += len(p)
	return len(p), nil
}

// Guards against an answer without a bound that fills the memory of ctl, and
// against one that is cut in silence and looks whole.
func TestAnswerBeyondTheBoundIsToldInEachForm(t *testing.T) {
	const bound = 32 << 20
	for _, format := range []oplang.Format{oplang.FormatTable, oplang.FormatJSON, oplang.FormatCSV} {
		g := NewWithT(t)
		answer := &endlessAnswer{}
		var out, complaints bytes.Buffer
		client := &ctl.Client{URL: "http://entry", HTTP: &http.Client{Transport: answer}}
		session := &ctl.Session{Client: client, Format: format, Out: &out, Err: &complaints}
		g.Expect(session.Run(t.Context(), "show counts")).To(Equal(ctl.ExitUnreachable), string(format))
		g.Expect(out.String()).To(BeEmpty(), string(format))
		g.Expect(complaints.String()).To(ContainSubstring("longer than 32MiB; narrow a query"), string(format))
		g.Expect(complaints.String()).NotTo(ContainSubstring("taken effect"), string(format))
		g.Expect(answer.read).To(Equal(bound+1), string(format))
	}
}

// Guards against exit codes by which a script would take a failure for a
// success, or something that may have happened for something refused.
func TestExitCodes(t *testing.T) {
	_, mistake := oplang.Parse("show lodaed")
	for _, c := range []struct {
		status      int
		body        string
		code        ctl.ExitCode
		out, errors string
	}{
		{200, `{"columns":["name","n"],"rows":[["a",12345678901234567]]}`, ctl.ExitOK, "name  n\na     12345678901234567\n", ""},
		{200, `{"columns":["n"],"rows":[[1]],"incomplete":["entry-2"]}`, ctl.ExitIncomplete, "n\n1\nincomplete: no answer from entry-2\n", "incomplete: 1"},
		{400, encode(oplang.NewErrorAnswer(mistake)), ctl.ExitMistake, "", "show lodaed\n     ^\ncolumn 6: unexpected"},
		{409, encode(oplang.NewErrorAnswer(verdict.Refuse(verdict.ReasonConflict, "revision 3"))), ctl.ExitRefused, "", "conflict: "},
		{422, encode(oplang.NewErrorAnswer(verdict.Refuse(verdict.ReasonAnswerTooLarge, "add: limit 7"))), ctl.ExitRefused, "", "answer_too_large: "},
		{502, encode(oplang.NewErrorAnswer(verdict.Unknown(verdict.ReasonUnknownOutcome, "log"))), ctl.ExitUnreachable, "", "unknown_outcome: "},
		{503, `{"error":{"code":"not_ready","verdict":"not-run","message":"starting"}}`, ctl.ExitRefused, "", "not_ready: starting"},
		{401, "", ctl.ExitRefused, "", "unauthorized: the token is unknown"},
		{403, "no", ctl.ExitRefused, "", "forbidden: "},
		{502, "<html>", ctl.ExitUnreachable, "", "may have taken effect"},
		{200, "<html>", ctl.ExitUnreachable, "", "may have taken effect"},
		{500, "{}", ctl.ExitUnreachable, "", "may have taken effect"},
	} {
		g := NewWithT(t)
		s := newStandIn(t)
		s.status, s.body = c.status, c.body
		var out, complaints bytes.Buffer
		g.Expect(s.session(&out, &complaints).Run(t.Context(), "show lodaed")).To(Equal(c.code), c.body)
		g.Expect(out.String()).To(Equal(c.out))
		g.Expect(complaints.String()).To(ContainSubstring(c.errors))
		g.Expect(complaints.Len() == 0).To(Equal(c.code == ctl.ExitOK))
		g.Expect(s.request).To(Equal(ctl.Request{Statement: "show lodaed", Format: oplang.FormatJSON}))
		g.Expect(s.path).To(Equal("POST /v1/operate"))
		g.Expect(s.header.Get("Authorization")).To(Equal("Bearer t0ken"))
		g.Expect(s.calls).To(Equal(1))
	}
}

// Guards against a lost connection reported as nothing done, and against a
// query or a refused connection reported as possibly done.
func TestUnreachableTellsWhatMayHaveHappened(t *testing.T) {
	g := NewWithT(t)
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, handler := range []http.HandlerFunc{abort, resetConnection} {
		server := httptest.NewServer(handler)
		client := &ctl.Client{URL: server.URL, HTTP: server.Client()}
		var complaints bytes.Buffer
		session := &ctl.Session{Client: client, Out: io.Discard, Err: &complaints}
		g.Expect(session.Run(t.Context(), "prewarm m")).To(Equal(ctl.ExitUnreachable))
		g.Expect(complaints.String()).To(ContainSubstring("may have taken effect"))
		complaints.Reset()
		g.Expect(session.Run(t.Context(), "explain model m")).To(Equal(ctl.ExitUnreachable))
		g.Expect(complaints.String()).NotTo(ContainSubstring("may have taken effect"))
		server.Close()
		complaints.Reset()
		_, err := client.Operate(t.Context(), "prewarm m")
		g.Expect(err).To(MatchError(ctl.ErrNotSent))
		g.Expect(session.Run(t.Context(), "prewarm m")).To(Equal(ctl.ExitUnreachable))
		g.Expect(complaints.String()).NotTo(ContainSubstring("may have taken effect"))
	}
}

// resetConnection ends the connection so that the client's read fails.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// script is a prompter that reads from a list.
type script struct {
	lines   []string
	history []string
	closed  bool
}

func (s *script) Prompt(string) (string, error) {
	if len(s.lines) == 0 {
		return "", io.EOF
	}
	line := s.lines[0]
	s.lines = s.lines[1:]
	return line, nil
}

func (s *script) AppendHistory(line string) { s.history = append(s.history, line) }

func (s *script) Close() error {
	s.closed = true
	return nil
}

// Guards against sessions that send local words to the entry, forget the
// history or leave the terminal in raw mode.
func TestInteractiveSession(t *testing.T) {
	g := NewWithT(t)
	s := newStandIn(t)
	s.body = `{"columns":["n"],"rows":[[1]]}`
	var out, complaints bytes.Buffer
	session := s.session(&out, &complaints)
	lines := &script{lines: []string{"help", "", "format csv", "show loaded", "format xml", "  show hosts ", "exit", "show models"}}
	g.Expect(session.Interactive(t.Context(), lines)).To(Equal(ctl.ExitOK))
	g.Expect(s.calls).To(Equal(2))
	g.Expect(s.request.Statement).To(Equal("show hosts"))
	g.Expect(out.String()).To(Equal("n\n1\nn\n1\n"))
	g.Expect(complaints.String()).To(ContainSubstring("want table, json or csv"))
	g.Expect(lines.history).To(HaveLen(6))
	g.Expect(lines.closed).To(BeTrue())
	s.body = ""
	g.Expect(session.Interactive(t.Context(), &script{lines: []string{"show loaded"}})).To(Equal(ctl.ExitUnreachable))
}

// Guards against completion that offers words that do not fit.
func TestCompletion(t *testing.T) {
	g := NewWithT(t)
	for line, want := range map[string][]string{
		"sh":                            {"show"},
		"show lo":                       {"show loaded"},
		"show loaded o":                 {"show loaded order"},
		"show loaded order ":            {"show loaded order by"},
		"UN":                            {"undrain", "unload"},
		"create model m ma":             {"create model m max_replicas="},
		"change model m team=a re":      {"change model m team=a reason"},
		"prewarm m --":                  {"prewarm m --dry-run"},
		"change version m/v weights=1 ": {"change version m/v weights=1 kv_headroom=", "change version m/v weights=1 reason", "change version m/v weights=1 if", "change version m/v weights=1 --dry-run"},
		"nonsense ":                     nil,
	} {
		g.Expect(oplang.Complete(line)).To(Equal(want), line)
	}
}

// Guards against flags that are not passed on and against exit codes that the
// program does not return.
func TestCommand(t *testing.T) {
	g := NewWithT(t)
	s := newStandIn(t)
	s.body = `{"columns":["n"],"rows":[[1]],"incomplete":["entry-2"]}`
	token := filepath.Join(t.TempDir(), "token")
	g.Expect(os.WriteFile(token, []byte("from-file\n"), 0o600)).To(Succeed())
	out, code := runProgram(t, "ctl", "--url", s.URL, "--token-file", token, "--format", "json", "show", "loaded")
	g.Expect(code).To(Equal(4))
	g.Expect(strings.TrimSpace(out)).To(Equal(s.body))
	g.Expect(s.header.Get("Authorization")).To(Equal("Bearer from-file"))
	g.Expect(s.request.Statement).To(Equal("show loaded"))
	_, code = runProgram(t, "ctl", "--format", "xml", "show loaded")
	g.Expect(code).To(Equal(2))
	_, code = runProgram(t, "ctl", "--url", s.URL, "--ca-file", token, "show loaded")
	g.Expect(code).To(Equal(2))
	s.Close()
	_, code = runProgram(t, "ctl", "--url", s.URL, "show loaded")
	g.Expect(code).To(Equal(3))
}

// Guards against a token that is sent to an entry whose certificate no given
// authority has signed.
func TestCommandOverTLS(t *testing.T) {
	g := NewWithT(t)
	served := 0
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served++
		_, _ = io.WriteString(w, `{"columns":["n"],"rows":[[1]]}`)
	}))
	defer s.Close()
	authority := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}
	g.Expect(os.WriteFile(authority, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	_, code := runProgram(t, "ctl", "--url", s.URL, "--ca-file", authority, "show loaded")
	g.Expect(code).To(Equal(0))
	_, code = runProgram(t, "ctl", "--url", s.URL, "show loaded")
	g.Expect(code).To(Equal(3))
	g.Expect(served).To(Equal(1))
}

// runProgram runs a subcommand and returns its output and exit code.
func runProgram(t *testing.T, args ...string) (string, int) {
	var out bytes.Buffer
	app := &cli.Command{
		Name: "lagoonvalve", Writer: &out, ErrWriter: io.Discard,
		Commands: []*cli.Command{ctl.Command(), ctl.CheckConfigCommand()},
	}
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := app.Run(t.Context(), append([]string{"lagoonvalve"}, args...))
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return out.String() + exit.Error(), exit.ExitCode()
	}
	return out.String(), 0
}

// Guards against a file that is checked for the wrong role or passes in spite
// of its mistakes.
func TestCheckConfig(t *testing.T) {
	g := NewWithT(t)
	entry, agent := "../../examples/entry.toml", "../../examples/agent.toml"
	for _, good := range [][]string{{"entry", entry}, {"agent", agent}, {entry}, {agent}} {
		_, code := runProgram(t, append([]string{"check-config"}, good...)...)
		g.Expect(code).To(Equal(0))
	}
	for _, wrong := range [][]string{{"entry", agent}, {"agent", entry}, {"router", entry}, {"entry"}, {"entry", "absent.toml"}} {
		message, code := runProgram(t, append([]string{"check-config"}, wrong...)...)
		g.Expect(code).To(Equal(2))
		g.Expect(message).NotTo(BeEmpty())
	}
}

// Command cases runs the cases of the review: real gateways as processes, beside
// stand-ins of the platform's store, of runners and of consumers in this process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// trouble says whether the case has its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// record writes record.txt.
var record = struct {
	sync.Mutex
	file  *os.File
	began time.Time
}{}

// note writes a line to record.txt, with the seconds since the start.
func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(record.began).Seconds()}, args...)...)
}

// cannotRun ends the case with exit code 2.
func cannotRun(format string, args ...any) {
	panic(caseError(fmt.Sprintf(format, args...)))
}

type caseError string

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

var cases = map[string]func(*world) int{}

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER, in the repository's root")
		return noRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	record.file, record.began = file, time.Now()
	defer func() { _ = file.Close() }()
	w := newWorld()
	defer func() {
		if problem, ok := recover().(caseError); ok {
			note("the case could not run: %s", string(problem))
			fmt.Fprintln(os.Stderr, string(problem))
			code = noRun
		}
		w.close()
	}()
	note("case %s, disruption: %v", os.Args[1], trouble)
	code = cases[os.Args[1]](w)
	note("exit code %d", code)
	return code
}

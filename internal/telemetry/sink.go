package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// sinkRoom is how many lines may wait to be written.
const sinkRoom = 512

// Sink is a writer for logs that never blocks: lines that find no room are
// dropped and counted, and a line says so once there is room again.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewSink returns a sink that Run writes to out.
func NewSink(out io.Writer) *Sink {
	return &Sink{out: out, lines: make(chan []byte, sinkRoom)}
}

// Write implements io.Writer. It takes one line and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	// There is nowhere to report a failure of the log itself.
	_, _ = s.out.Write(line)
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
}

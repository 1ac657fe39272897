package logclient_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
)

// Guards against a paced tail that reads a quiet stream late, that reads a busy
// one as often as it changes, that catches up slowly with a long stream, or
// that does not follow a changed rate.
func TestTailPacesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		stored := standin.NewLog(standin.LogConfig{})
		log := &countingLog{Log: stored}
		for range 20 {
			_, err := stored.Append(t.Context(), stream, numbered("old", 500))
			g.Expect(err).NotTo(HaveOccurred())
		}
		var rate, next atomic.Int64
		rate.Store(1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			opts := logclient.TailOptions{Limit: 500, ReadLimit: logclient.ReadLimit{PerSecond: func() float64 { return float64(rate.Load()) / 2 }}}
			_ = logclient.Tail(t.Context(), log, stream, 0, opts, func(page platform.Page) error {
				next.Store(int64(page.Next))
				if page.Next == 10_200 {
					return errDone
				}
				return nil
			})
		}()
		time.Sleep(100 * time.Millisecond)
		g.Expect(next.Load()).To(Equal(int64(10_000)), "catching up")
		// Four tokens of the burst are left, one read waits.
		time.Sleep(65 * time.Second)
		appendOne := func() {
			_, err := stored.Append(t.Context(), stream, numbered("new", 1))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
		}
		for i := range 4 {
			appendOne()
			g.Expect(next.Load()).To(Equal(int64(10_001+i)), "quiet stream")
		}
		began, before := next.Load(), log.count()
		for range 100 {
			appendOne()
			time.Sleep(190 * time.Millisecond)
		}
		g.Expect(next.Load()).To(BeNumerically(">", began+85))
		g.Expect(log.count() - before).To(BeNumerically("~", 10, 3))
		rate.Store(100)
		time.Sleep(2 * time.Second)
		for range 96 {
			appendOne()
			time.Sleep(20 * time.Millisecond)
		}
		<-done
		g.Expect(log.count()-before).To(BeNumerically(">", 90), "changed rate")
	})
}

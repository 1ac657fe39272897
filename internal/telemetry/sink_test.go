package telemetry_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
)

// Guards against a log that blocks the process while nobody reads it, and
// against lines that are lost without a word.
func TestSinkDropsAndCounts(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	sink := telemetry.NewSink(&out)
	const lines = 2000
	for i := range lines {
		n, err := fmt.Fprintf(sink, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", 0))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sink.Run(ctx)
	kept := strings.Count(out.String(), "line ")
	g.Expect(kept).To(BeNumerically(">", 100))
	g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf(`"lines":%d`, lines-kept)))
}

package controller

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// noStore is a lease store that is away.
type noStore struct{}

func (noStore) Read(context.Context) (*fleet.LeaseRecord, state.Offset, state.Offset, error) {
	return nil, 0, 0, platform.ErrUnavailable
}

func (noStore) Write(context.Context, fleet.LeaseRecord, state.Offset) error {
	return platform.ErrUnavailable
}

// The pattern is 300 gateways that report their demand several times a second to
// a holder of 3,000 engines (56% of a core). Guards against a plan over all
// engines for each report, and against one that is put off for good.
func TestPlansArePaced(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := New(Options{HolderName: "a", Lease: noStore{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	c.acting, c.nextAct = true, now.Add(7*time.Millisecond)
	g.Expect(c.step(t.Context(), now)).To(Equal(7 * time.Millisecond))
	g.Expect(c.acting).To(BeTrue(), "nothing was done")
	c.step(t.Context(), now.Add(7*time.Millisecond))
	g.Expect(c.acting).To(BeFalse(), "without a lease it stops acting")
}

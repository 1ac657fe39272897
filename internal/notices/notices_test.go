package notices

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

func newExchange(t *testing.T) (*Exchange, string) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return New(conn, slog.New(slog.NewTextHandler(io.Discard, nil))), conn.LocalAddr().String()
}

// Guards against a notice that does not arrive, or arrives changed, and against
// an address that can't be read keeping the others from being told.
func TestNoticesReachThePeers(t *testing.T) {
	g := NewWithT(t)
	from, _ := newExchange(t)
	to, address := newExchange(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got, acts := make(chan SentNotice, 1), make(chan ControllerNotice, 1)
	go from.Run(ctx, Handler{})
	go to.Run(ctx, Handler{Sent: func(n SentNotice) { got <- n }, Controller: func(n ControllerNotice) { acts <- n }})
	from.SetPeers([]string{"nonsense", address})
	sent := SentNotice{Upstream: "u", Started: 5, ExpectedPrefill: state.Duration(200 * time.Millisecond), Parts: []uint64{1, 1<<64 - 1}}
	from.NotifySent(sent)
	g.Eventually(got).WithTimeout(3 * time.Second).Should(Receive(Equal(sent)))
	from.Announce(ControllerNotice{Holder: "a/1", Control: "10.0.0.1:1", LeaseOffset: 7})
	g.Eventually(acts).WithTimeout(3 * time.Second).Should(Receive(Equal(ControllerNotice{Holder: "a/1", Control: "10.0.0.1:1", LeaseOffset: 7})))
}

// Guards against a request that waits for notices to be sent.
func TestTellNeverWaits(t *testing.T) {
	g := NewWithT(t)
	e, _ := newExchange(t)
	for range 10 * queueRoom {
		e.NotifySent(SentNotice{Upstream: "u"})
	}
	g.Expect(e.dropped.Load()).To(Equal(int64(9 * queueRoom)))
}

// Guards against datagrams of another sender that end the process or count as
// work.
func FuzzTake(f *testing.F) {
	good, err := encode(methodSent, SentNotice{Upstream: "u", ExpectedPrefill: 1})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{
		good, nil, []byte("{}"), []byte(`{"method":"upstream.sent"}`), []byte(`{"method":"upstream.sent","params":{"u":"u","w":"-1s"}}`),
		[]byte(`{"method":"controller.acts","params":{"holder":"a","control":"b","at":-1}}`),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		err := Handler{
			Sent: func(n SentNotice) {
				if n.Upstream == "" || n.ExpectedPrefill < 0 {
					t.Fatalf("taken: %+v", n)
				}
			},
			Controller: func(n ControllerNotice) {
				if n.Holder == "" || n.Control == "" || n.LeaseOffset < 0 {
					t.Fatalf("taken: %+v", n)
				}
			},
		}.take(datagram)
		_ = err // Most datagrams are no notices.
	})
}

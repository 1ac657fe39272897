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
// an invalid peer address that keeps the other peers from receiving notices.
func TestNoticesReachThePeers(t *testing.T) {
	g := NewWithT(t)
	from, _ := newExchange(t)
	to, address := newExchange(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sentNotices, controllerNotices := make(chan SentNotice, 1), make(chan ControllerNotice, 1)
	go from.Run(ctx, Handler{})
	go to.Run(ctx, Handler{Sent: func(n SentNotice) { sentNotices <- n }, Controller: func(n ControllerNotice) { controllerNotices <- n }})
	from.SetPeers([]string{"nonsense", address})
	sent := SentNotice{Upstream: "u", Started: 5, ExpectedPrefill: state.Duration(200 * time.Millisecond), Parts: []uint64{1, 1<<64 - 1}}
	from.NotifySent(sent)
	g.Eventually(sentNotices).WithTimeout(3 * time.Second).Should(Receive(Equal(sent)))
	from.Announce(ControllerNotice{Holder: "a/1", Control: "10.0.0.1:1", LeaseOffset: 7})
	g.Eventually(controllerNotices).WithTimeout(3 * time.Second).Should(Receive(Equal(ControllerNotice{Holder: "a/1", Control: "10.0.0.1:1", LeaseOffset: 7})))
}

// Guards against a request that blocks until notices are sent.
func TestSendingNoticeNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	e, _ := newExchange(t)
	for range 10 * queueSize {
		e.NotifySent(SentNotice{Upstream: "u"})
	}
	g.Expect(e.dropped.Load()).To(Equal(int64(9 * queueSize)))
}

// Guards against datagrams of other senders that crash the process or are
// accepted without the required fields.
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
					t.Fatalf("invalid notice accepted: %+v", n)
				}
			},
			Controller: func(n ControllerNotice) {
				if n.Holder == "" || n.Control == "" || n.LeaseOffset < 0 {
					t.Fatalf("invalid notice accepted: %+v", n)
				}
			},
		}.dispatch(datagram)
		_ = err // Most datagrams are not valid notices.
	})
}

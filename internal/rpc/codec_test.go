package rpc_test

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
)

func startEcho(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(map[string]rpc.MethodFunc{
		"echo": rpc.Method(func(_ context.Context, text string) (string, error) { return text, nil }),
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Addr().String()
}

// Guards against a message that is cut or read beyond its end, so that the next
// message of the connection is lost, and against long messages as sent before
// compression.
func TestShortAndLongMessagesFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	addr := startEcho(t)
	meter := &byteMeter{}
	client := rpc.NewClient()
	client.Counter = meter
	defer client.Close()
	for _, length := range []int{0, 1, 400, 450, 511, 512, 513, 5000, 1 << 20, 3} {
		text := strings.Repeat("a", length)
		var result string
		g.Expect(client.Call(t.Context(), addr, "echo", text, &result)).To(Succeed())
		g.Expect(result == text).To(BeTrue(), "%d bytes", length)
	}
	g.Expect(meter.sent.Load()).To(BeNumerically("<", 8000))
	g.Expect(meter.received.Load()).To(BeNumerically("<", 8000))
}

// Guards against a process that reserves or awaits whatever length a broken
// peer names.
func TestFrameOfForbiddenLength(t *testing.T) {
	for _, length := range []uint64{0, 64<<20 + 1, 1 << 62} {
		g := NewWithT(t)
		conn, err := net.Dial("tcp", startEcho(t))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(binary.AppendUvarint(nil, length<<1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError("EOF"), "the connection is closed")
	}
}

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

func startEchoServer(t *testing.T) string {
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

// Guards against reading less or more than one message, which loses the next
// message of the connection, and against sending long messages uncompressed.
func TestMixedMessageLengthsOnOneConnection(t *testing.T) {
	g := NewWithT(t)
	addr := startEchoServer(t)
	meter := &byteTotals{}
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

// Guards against allocating memory for, or waiting for, whatever length a faulty
// peer puts into a frame's header.
func TestInvalidFrameLengthClosesConnection(t *testing.T) {
	for _, length := range []uint64{0, 64<<20 + 1, 1 << 62} {
		g := NewWithT(t)
		conn, err := net.Dial("tcp", startEchoServer(t))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write(binary.AppendUvarint(nil, length<<1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError("EOF"), "the connection is closed")
	}
}

package rpc

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// Guards against taking the end of a compressed message for the next message when
// it arrives later than the rest. The decompressor may return all data before it
// has read the end.
func TestFramesReadByteByByte(t *testing.T) {
	g := NewWithT(t)
	var stream bytes.Buffer
	var sent []string
	for i := range 20 {
		text := ""
		for j := range i * 20 {
			text += fmt.Sprint(j*j, ",")
		}
		sent = append(sent, text)
		g.Expect(FrameCodec{}.WriteObject(&stream, []string{text})).To(Succeed())
	}
	// The decompressor returns all of this message before it reads the last block.
	sent = append(sent, strings.Repeat("a", 32<<10-4), "last")
	for _, text := range sent[20:] {
		g.Expect(FrameCodec{}.WriteObject(&stream, []string{text})).To(Succeed())
	}
	reader := bufio.NewReader(iotest.OneByteReader(&stream))
	for _, text := range sent {
		var got []string
		g.Expect(FrameCodec{}.ReadObject(reader, &got)).To(Succeed())
		g.Expect(got).To(Equal([]string{text}))
	}
	g.Expect(stream.Len()).To(BeZero())
}

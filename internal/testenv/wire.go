package testenv

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
)

// Framings returns the ways in which HTTP/1.1 marks the end of a response's body, each as a
// function from a body to the rest of the response after its first headers.
func Framings() map[string]func(body string) string {
	return map[string]func(body string) string{
		"chunks": func(body string) string {
			chunk := ""
			if body != "" {
				chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			return "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
		},
		"length": func(body string) string {
			return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		},
		"end of the connection": func(body string) string { return "\r\n" + body },
	}
}

// WriteRaw writes the bytes of a response, whole or not, and closes the connection.
func WriteRaw(w http.ResponseWriter, response string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// An error means that the client has closed the connection.
	_, _ = io.WriteString(conn, response)
}

// Flood writes begin, and then repeat until the client closes the connection. It returns how
// many bytes were written.
func Flood(w http.ResponseWriter, begin, repeat string) int {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	total, err := io.WriteString(conn, begin)
	for err == nil {
		var n int
		n, err = io.WriteString(conn, repeat)
		total += n
	}
	return total
}

// LiveHeap returns the bytes of the heap that are in use after a collection.
func LiveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

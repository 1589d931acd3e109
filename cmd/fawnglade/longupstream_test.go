package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// startLongUpstream starts an upstream that answers a request with its ID, or with some MB for a path that asks for it.
func startLongUpstream(t *testing.T) string {
	return startTCPServer(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			forwardedIDs.Store(r.Header.Get("X-Txn"), true)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if err := writeLongResponse(c, r); err != nil {
				return
			}
		}
	})
}

// The responses are made once, on first use: the node's process is of the same program.
var (
	longBody         = sync.OnceValue(func() string { return strings.Repeat("y", 4<<20) })
	longResponseText = sync.OnceValue(func() string { return responseWith("200 OK", longBody()) })

	chunkedResponseText = sync.OnceValue(func() string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(longBody()), longBody())
	})
)

func writeLongResponse(c net.Conn, r *http.Request) error {
	text := responseWith("200 OK", r.Header.Get("X-Txn"))
	switch {
	case strings.HasSuffix(r.URL.Path, "/long"):
		text = longResponseText()
	case strings.HasSuffix(r.URL.Path, "/chunked"):
		text = chunkedResponseText()
	}
	_, err := io.WriteString(c, text)
	return err
}

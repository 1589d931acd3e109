package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/quick"
)

// Parsing gives the same message for every segmentation into reads. A corrupted message ends in an error, or in a body
// that is not longer than the original.
func TestParsingIsIndependentOfSegmentation(t *testing.T) {
	property := func(body []byte, chunked, corrupt bool, segments []uint8) bool {
		text := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if chunked {
			text = fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				len(body), body)
			if len(body) > 0 { // an empty chunk is already the last chunk
				text += "0\r\n\r\n"
			}
		}
		if corrupt {
			text = "x" + text[:len(text)/2] + "\r\n\r\n"
		}
		local, remote := net.Pipe()
		defer local.Close()
		go func() {
			defer remote.Close()
			for i, rest := 0, text; rest != ""; i++ {
				n := len(rest)
				if len(segments) > 0 {
					n = min(n, 1+int(segments[i%len(segments)]))
				}
				if _, err := io.WriteString(remote, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		c := newBufferedConn(local, nil)
		_, m, err := c.readRequestHead(func() bool { return false })
		var got []byte
		complete := false
		if err == nil {
			got, complete, err = m.readUpTo(nil, 1<<20)
			m.end()
		}
		if corrupt {
			return err != nil || len(got) <= len(body)
		}
		return err == nil && complete && string(got) == string(body) && len(c.buffered()) == 0
	}
	if err := quick.Check(property, &quick.Config{MaxCount: 300}); err != nil {
		t.Error(err)
	}
}

// Guards against using splice and sendfile, which some systems refuse; how the standard library handles the refusal
// should not matter. No connection type implements io.ReaderFrom or io.WriterTo, so io.Copy reads and writes through
// buffers.
func TestBodiesAreCopiedByReadAndWriteOnly(t *testing.T) {
	for name, c := range map[string]any{
		"conn": &bufferedConn{}, "serverConn": &upstreamConn{},
		"source": &bodySource{}, "message": &message{},
	} {
		if _, ok := c.(io.ReaderFrom); ok {
			t.Errorf("%s implements io.ReaderFrom, want plain reads and writes", name)
		}
		if _, ok := c.(io.WriterTo); ok {
			t.Errorf("%s implements io.WriterTo, want plain reads and writes", name)
		}
	}
}

// Guards against a response whose length can be read in two ways: its framing would be served as its body.
func TestResponseWithAmbiguousLengthIsNotServed(t *testing.T) {
	const chunked = "2\r\nok\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"Content-Length and chunked":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, 502},
		"chunked in HTTP/1.0":             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, 502},
		"chunked with a space":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunked, 502},
		"Content-Length with a space":     {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", 502},
		"two different lengths":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok", 502},
		"the same length twice":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", 200},
		"chunked, in a folded line":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n" + chunked, 200},
		"chunked twice":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, 502},
		"a version of another protocol":   {"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 502},
		"a version from before headers":   {"HTTP/0.9 200 OK\r\n\r\nok", 502},
		"another protocol from here on":   {"HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 502},
		"interim":                         {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200},
		"Content-Length":                  {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200},
		"Content-Length in HTTP/1.0":      {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 200},
		"chunked":                         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked, 200},
		"until the end of the connection": {"HTTP/1.1 200 OK\r\n\r\nok", 200},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := startUpstream(t, func(conn net.Conn, _ *http.Request, _ string) bool {
				writeText(conn, c.text)
				return false
			})
			n := startNode(t, nil, server)
			status, body, _ := sendRequest(t, n, "pay", "t1", "")
			if status != c.status || status == 200 && body != "ok" {
				t.Errorf("got status %d and body %q, want %d", status, body, c.status)
			}
		})
	}
}

// Guards against a body that is taken for the next request, as only some readers accept its misspelled length.
func TestRequestWithMisspelledLengthIsRejected(t *testing.T) {
	for _, header := range []string{"Content-Length : 2", "Transfer-Encoding : chunked"} {
		server, requests := startUpstream(t, echo)
		n := startNode(t, nil, server)
		client, in := dial(t, n)
		writef(client, "POST /pay HTTP/1.1\r\nHost: h\r\nX-Txn: t1\r\n%s\r\n\r\nok", header)
		if status, _, _ := readResponse(in); status != 400 || requests.Load() != 0 {
			t.Errorf("%s: got status %d and %d requests at the upstream, want 400 and 0", header, status, requests.Load())
		}
	}
}

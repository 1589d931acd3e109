package node

import (
	"fmt"
	"io"
	"net"
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
		c := newBufferedConn(local)
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

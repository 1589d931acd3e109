package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against losing what an upstream says of a retry while the end of its body is withheld.
func TestUpstreamEndsGuardedWriteEarly(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(net.Conn) // of the second attempt, whose body is not read
		counted counter
	}{
		"rejection": {
			func(conn net.Conn) {
				writeText(conn, "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
			},
			attemptsRejected,
		},
		"answer that can't be one": {
			func(conn net.Conn) { writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") },
			attemptsConnectFailed,
		},
		"close": {func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }, attemptsConnectFailed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int64
			serve := func(conn net.Conn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				switch attempts.Add(1) {
				case 1:
					_, _ = io.Copy(io.Discard, r.Body)
				case 2:
					c.end(conn)
					time.Sleep(200 * time.Millisecond)
				default:
					body, err := io.ReadAll(r.Body)
					if err == nil {
						echo(conn, r, string(body))
					}
				}
			}
			n := startNode(t, nil, listen(t, serve), listen(t, serve), listen(t, serve))
			body := strings.Repeat("x", 900<<10)
			status, answer, _ := sendRequest(t, n, "update", "t1", body)
			if status != http.StatusOK || !strings.HasSuffix(answer, body) || attempts.Load() != 3 {
				t.Errorf("got status %d after %d attempts, want 200 with the body after 3", status, attempts.Load())
			}
			if n.count(c.counted) != 1 || n.count(attemptsReset) != 1 {
				t.Errorf("got %d attempts that ended so, %d reset, want one each", n.count(c.counted), n.count(attemptsReset))
			}
		})
	}
}

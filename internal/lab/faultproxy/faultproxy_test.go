package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"fawnglade/internal/lab/netfault"
)

// startEchoServer starts a server that echoes what it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

var (
	nodeEnd     = netfault.End{Kind: netfault.Node, Index: 0}
	endpointEnd = netfault.End{Kind: netfault.Endpoint, Index: 0}
)

func fault(kind netfault.Kind) netfault.Fault {
	return netfault.Fault{Kind: kind, From: []netfault.End{nodeEnd}, To: []netfault.End{endpointEnd}, Begin: 0, End: 1 << 62, Seed: 1}
}

func setFaults(proxies *Proxies, stream *Stream, want linkState, faults ...netfault.Fault) {
	proxies.SetSchedule(netfault.New(faults))
	for {
		stream.mu.Lock()
		current := stream.state
		stream.mu.Unlock()
		if current == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func roundTrip(c net.Conn, timeout time.Duration) error {
	if _, err := c.Write([]byte("hello")); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	got := make([]byte, 5)
	_, err := io.ReadFull(c, got)
	if err == nil && !bytes.Equal(got, []byte("hello")) {
		return errors.New("the echoed bytes differ from those sent")
	}
	return err
}

func TestStreamCutRestoredAndRefused(t *testing.T) {
	begin := time.Now()
	proxies := NewProxies(func() int64 { return int64(time.Since(begin)) })
	defer proxies.Close()
	stream, err := NewStream(proxies, "127.0.0.1:0", nodeEnd, endpointEnd, func() string { return echoAddress })
	if echoAddress = startEchoServer(t); err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	conn, err := net.Dial("tcp", stream.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(conn, 5*time.Second); err != nil {
		t.Fatal("open link: ", err)
	}
	for _, oneWay := range []bool{false, true} {
		if conn, err = net.Dial("tcp", stream.Address()); err != nil {
			t.Fatal(err)
		}
		_ = roundTrip(conn, 5*time.Second)
		f := fault(netfault.Cut)
		f.OneWay = oneWay
		setFaults(proxies, stream, stateCut, f)
		if err := roundTrip(conn, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("cut: expected a read timeout, got ", err)
		}
		if _, err := net.DialTimeout("tcp", stream.Address(), 50*time.Millisecond); err == nil {
			t.Error("cut: a new connection was accepted, want a dial timeout")
		}
		setFaults(proxies, stream, stateOpen)
		if err := roundTrip(conn, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("restored: expected a reset of the connection whose data was held back, got ", err)
		}
	}
	f := fault(netfault.Cut)
	f.Variant = "refused"
	setFaults(proxies, stream, stateRefusing, f)
	if _, err := net.DialTimeout("tcp", stream.Address(), time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("refused: expected a refused connection, got ", err)
	}
}

var echoAddress string

// With loss, delay and limited bandwidth at once, a stream still delivers all bytes in order.
func TestStreamDeliversAllBytesInOrder(t *testing.T) {
	begin := time.Now()
	proxies := NewProxies(func() int64 { return int64(time.Since(begin)) })
	defer proxies.Close()
	target := startEchoServer(t)
	stream, err := NewStream(proxies, "127.0.0.1:0", nodeEnd, endpointEnd, func() string { return target })
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	lossy, delayed, throttled := fault(netfault.Drop), fault(netfault.Delay), fault(netfault.Throttle)
	lossy.Share, delayed.Variant, delayed.Wait, throttled.Rate = 0.1, "drawn", 1e6, 4e6
	proxies.SetSchedule(netfault.New([]netfault.Fault{lossy, delayed, throttled}))
	conn, err := net.Dial("tcp", stream.Address())
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	go func() {
		for rest := sent; len(rest) > 0; rest = rest[min(4096, len(rest)):] {
			_, _ = conn.Write(rest[:min(4096, len(rest))])
		}
		conn.(*net.TCPConn).CloseWrite()
	}()
	if got, err := io.ReadAll(conn); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("got %d bytes, want the %d bytes that were sent, unchanged; error: %v", len(got), len(sent), err)
	}
}

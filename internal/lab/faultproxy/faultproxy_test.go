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

// echo serves connections that get back what they send.
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

func fault(t netfault.Kind) netfault.Fault {
	return netfault.Fault{Kind: t, From: []netfault.End{nodeEnd}, To: []netfault.End{endpointEnd}, Begin: 0, End: 1 << 62, Seed: 1}
}

func setFaults(b *Proxies, s *Stream, want linkState, faults ...netfault.Fault) {
	b.SetSchedule(netfault.New(faults))
	for {
		s.mu.Lock()
		is := s.state
		s.mu.Unlock()
		if is == want {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func roundTrip(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("hello")); err != nil {
		return err
	}
	c.SetReadDeadline(time.Now().Add(wait))
	got := make([]byte, 5)
	_, err := io.ReadFull(c, got)
	if err == nil && !bytes.Equal(got, []byte("hello")) {
		return errors.New("changed on the way")
	}
	return err
}

func TestStreamCutRestoredAndRefused(t *testing.T) {
	begin := time.Now()
	b := NewProxies(func() int64 { return int64(time.Since(begin)) })
	defer b.Close()
	s, err := NewStream(b, "127.0.0.1:0", nodeEnd, endpointEnd, func() string { return echoAddress })
	if echoAddress = startEchoServer(t); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := roundTrip(c, 5*time.Second); err != nil {
		t.Fatal("whole: ", err)
	}
	for _, oneWay := range []bool{false, true} {
		if c, err = net.Dial("tcp", s.Address()); err != nil {
			t.Fatal(err)
		}
		_ = roundTrip(c, 5*time.Second)
		f := fault(netfault.Cut)
		f.OneWay = oneWay
		setFaults(b, s, stateCut, f)
		if err := roundTrip(c, 100*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("cut: expected silence, got ", err)
		}
		if _, err := net.DialTimeout("tcp", s.Address(), 50*time.Millisecond); err == nil {
			t.Error("cut: a new connection came up")
		}
		setFaults(b, s, stateOpen)
		if err := roundTrip(c, 5*time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("mended: expected a reset of what was held up, got ", err)
		}
	}
	f := fault(netfault.Cut)
	f.Variant = "refused"
	setFaults(b, s, stateRefusing, f)
	if _, err := net.DialTimeout("tcp", s.Address(), time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("refused: ", err)
	}
}

var echoAddress string

// TestStreamDeliversAllBytesInOrder has loss, delay and a narrow way at once: all comes, in order.
func TestStreamDeliversAllBytesInOrder(t *testing.T) {
	begin := time.Now()
	b := NewProxies(func() int64 { return int64(time.Since(begin)) })
	defer b.Close()
	to := startEchoServer(t)
	s, err := NewStream(b, "127.0.0.1:0", nodeEnd, endpointEnd, func() string { return to })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	lossy, late, narrow := fault(netfault.Drop), fault(netfault.Delay), fault(netfault.Throttle)
	lossy.Share, late.Variant, late.Wait, narrow.Rate = 0.1, "drawn", 1e6, 4e6
	b.SetSchedule(netfault.New([]netfault.Fault{lossy, late, narrow}))
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	sent := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	go func() {
		for rest := sent; len(rest) > 0; rest = rest[min(4096, len(rest)):] {
			_, _ = c.Write(rest[:min(4096, len(rest))])
		}
		c.(*net.TCPConn).CloseWrite()
	}()
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("%d bytes of %d, %v", len(got), len(sent), err)
	}
}

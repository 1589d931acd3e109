package distsim

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fawnglade/internal/lab/emulator"
)

const (
	startTimeout     = 10 * time.Second
	startPoll        = 20 * time.Millisecond
	maxStartAttempts = 3   // another process may have taken the port in the meantime
	logTailBytes     = 400 // length of the end of the log in an error message
)

// relayProcess is a relay with a fixed address. Its process may be killed and restarted.
type relayProcess struct {
	name    string
	address string
	config  string // path of the configuration file
	log     *os.File
	logRead int64            // bytes of the log that warnings has read
	process emulator.Process // nil: not running
}

// prepareRelay chooses a free address, creates the log and writes the relay's configuration.
func (p *processes) prepareRelay(name string, upstreams, scopes []string, bytesPerSecond int) (*relayProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	r := &relayProcess{name: name, address: listener.Addr().String(), config: filepath.Join(p.dir, name+".toml")}
	r.log, err = os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return r, os.WriteFile(r.config, []byte(relayConfig(p.size, r, upstreams, scopes, bytesPerSecond)), 0o600)
}

func relayConfig(s Size, r *relayProcess, upstreams, scopes []string, bytesPerSecond int) string {
	const spareSubscribers = 16
	return fmt.Sprintf("name = %q\nlisten = %q\nrole = \"relay\"\nupstream = %s\nscopes = %s\npace = %d\n"+
		"[limits]\nrecords = %d\nsubscribers = %d\n",
		r.name, r.address, tomlList(upstreams), tomlList(scopes), bytesPerSecond,
		2*s.records(), s.Nodes+s.UpperRelays+s.LowerRelays+spareSubscribers)
}

func tomlList(words []string) string {
	var quoted []string
	for _, w := range words {
		quoted = append(quoted, strconv.Quote(w))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// relayScopes returns the scopes of a lower relay: those of its regions, and the configuration that nodes follow.
func (p *processes) relayScopes(i int) []string {
	var scopes []string
	for region := range p.size.Regions {
		if region/2 == i%p.size.relayGroups() {
			scopes = append(scopes, regionName(region)+"/*")
		}
	}
	for service := range p.size.SharedServices {
		scopes = append(scopes, configScope(service))
	}
	return scopes
}

// relaysOf returns the addresses of the lower relays that a node may follow.
func (p *processes) relaysOf(node int) []string {
	var addresses []string
	for i, r := range p.lower {
		if i%p.size.relayGroups() == node%p.size.Regions/2 {
			addresses = append(addresses, r.address)
		}
	}
	return addresses
}

// start starts a relay without records, and waits until it accepts connections.
func (p *processes) start(r *relayProcess) error {
	command := append(slices.Clone(p.programs.Relay), "--config", r.config)
	for range maxStartAttempts {
		process, err := emulator.Command(command)("", nil, r.log)
		if err != nil {
			return err
		}
		r.process = process
		if r.waitUntilAccepting() {
			return nil
		}
		r.kill()
	}
	text, err := os.ReadFile(r.log.Name())
	return errors.Join(fmt.Errorf("relay %s did not accept connections after several starts; end of its log: %s", r.name, text[max(0, len(text)-logTailBytes):]), err)
}

// waitUntilAccepting waits until the relay accepts connections. It returns false if the process ends or startTimeout
// passes first.
func (r *relayProcess) waitUntilAccepting() bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startPoll) {
		select {
		case <-r.process.Done():
			return false
		default:
		}
		if conn, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
			conn.Close()
			return true
		}
	}
	return false
}

// kill kills the process and waits until it has ended.
func (r *relayProcess) kill() {
	if r.process == nil {
		return
	}
	r.signal(syscall.SIGKILL)
	<-r.process.Done()
	r.process = nil
}

func (r *relayProcess) freeze() { r.signal(syscall.SIGSTOP) }
func (r *relayProcess) thaw()   { r.signal(syscall.SIGCONT) }

// signal sends a signal to the process. It has no effect if the process has ended.
func (r *relayProcess) signal(s syscall.Signal) {
	_ = r.process.Signal(s)
}

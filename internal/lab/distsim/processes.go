package distsim

// This file owns the processes of a run: the origin and the relays, their configuration, their ends, and what they cost by the
// system's account. It must never leave one behind, nor end one that it did not start.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fawnglade/internal/lab/emulator"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Programs are the commands of the processes.
type Programs struct {
	Relay  []string // with relay; --config FILE is put behind
	Origin []string // the lab's own
}

// relayProcess is one place for a relay, with its life of now.
type relayProcess struct {
	name    string
	address string
	config  string
	log     *os.File
	logRead int64            // of the log
	process emulator.Process // nil: none runs
	frozen  bool             // by a signal
}

type processes struct {
	size     Size
	programs Programs
	dir      string
	upper    []*relayProcess
	lower    []*relayProcess
	origin   *exec.Cmd
	input    io.WriteCloser
	output   *bufio.Scanner
	through  uint64
}

const (
	replyTimeout     = 60 * time.Second
	startTimeout     = 10 * time.Second
	maxStartAttempts = 3
)

// newProcesses starts the origin and waits until it has all records.
func newProcesses(size Size, programs Programs) (*processes, error) {
	p := &processes{size: size, programs: programs}
	if err := p.startAll(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *processes) startAll() (err error) {
	size, programs := p.size, p.programs
	if p.dir, err = os.MkdirTemp("", "fawnglade-tree-"); err != nil {
		return err
	}
	p.origin = exec.Command(programs.Origin[0], programs.Origin[1:]...)
	p.origin.Stderr = os.Stderr
	p.origin.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if p.input, err = p.origin.StdinPipe(); err != nil {
		return err
	}
	out, err := p.origin.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.origin.Start(); err != nil {
		p.origin = nil
		return err
	}
	p.output = bufio.NewScanner(out)
	line, err := p.send(size)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	var up []string
	for i := range size.UpperRelays {
		r, err := p.prepareRelay(fmt.Sprintf("u%d", i), []string{line.Address}, []string{"*"}, 0)
		if err != nil {
			return err
		}
		p.upper, up = append(p.upper, r), append(up, r.address)
	}
	for i := range size.LowerRelays {
		r, err := p.prepareRelay(fmt.Sprintf("l%d", i), append(append([]string(nil), up[i%len(up):]...), up[:i%len(up)]...), p.relayScopes(i), size.BytesPerSecond)
		if err != nil {
			return err
		}
		p.lower = append(p.lower, r)
	}
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		if err := p.start(r); err != nil {
			return err
		}
	}
	return nil
}

// scopes of lower relay i: its regions whole, and the configuration that its nodes follow.
func (p *processes) relayScopes(i int) (all []string) {
	for region := range p.size.Regions {
		if region/2 == i%p.size.relayGroups() {
			all = append(all, regionName(region)+"/*")
		}
	}
	for s := range p.size.SharedServices {
		all = append(all, configScope(s))
	}
	return all
}

// group are the lower relays of a node.
func (p *processes) relaysOf(node int) (all []string) {
	for i, r := range p.lower {
		if i%p.size.relayGroups() == node%p.size.Regions/2 {
			all = append(all, r.address)
		}
	}
	return all
}

// order sends the origin one line and waits for its answer.
func (p *processes) send(what any) (line originReply, err error) {
	text, err := json.Marshal(what)
	if err != nil {
		return line, err
	}
	overdue := time.AfterFunc(replyTimeout, func() { p.origin.Process.Kill() })
	defer overdue.Stop()
	if _, err := p.input.Write(append(text, '\n')); err != nil {
		return line, err
	}
	if !p.output.Scan() {
		return line, errors.New("the origin's process ended, or did not answer in time")
	}
	err = json.Unmarshal(p.output.Bytes(), &line)
	p.through = line.Version
	return line, err
}

// place takes a port that the system chooses and writes a relay's configuration.
func (p *processes) prepareRelay(name string, upstream, scopes []string, pace int) (*relayProcess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	r := &relayProcess{name: name, address: l.Addr().String(), config: filepath.Join(p.dir, name+".toml")}
	if r.log, err = os.Create(filepath.Join(p.dir, name+".log")); err != nil {
		return nil, err
	}
	return r, os.WriteFile(r.config, []byte(relayConfig(p.size, name, r.address, upstream, scopes, pace)), 0o600)
}

func tomlList(words []string) string {
	var quoted []string
	for _, w := range words {
		quoted = append(quoted, strconv.Quote(w))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// start begins a relay's life, with nothing, and waits until it takes connections.
func (p *processes) start(r *relayProcess) (err error) {
	for try := 0; try < maxStartAttempts; try++ {
		words := append(append([]string(nil), p.programs.Relay...), "--config", r.config)
		if r.process, err = emulator.Command(words)("", nil, r.log); err != nil {
			r.process = nil
			return err
		}
		r.frozen = false
		for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			select {
			case <-r.process.Done():
				end = time.Time{}
				continue
			default:
			}
			if c, err := net.DialTimeout("tcp", r.address, time.Second); err == nil {
				c.Close()
				return nil
			}
		}
		p.kill(r)
	}
	text, _ := os.ReadFile(r.log.Name())
	return fmt.Errorf("relay %s did not come up: %s", r.name, text[max(0, len(text)-400):])
}

func (p *processes) kill(r *relayProcess) {
	if r.process != nil {
		r.process.Signal(syscall.SIGKILL)
		<-r.process.Done()
		r.process, r.frozen = nil, false
	}
}

func (p *processes) freeze(r *relayProcess) { r.process.Signal(syscall.SIGSTOP); r.frozen = true }
func (p *processes) thaw(r *relayProcess)   { r.process.Signal(syscall.SIGCONT); r.frozen = false }

func (p *processes) running() (all []*relayProcess) {
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		if r.process != nil {
			all = append(all, r)
		}
	}
	return all
}

// complaints are the kinds of warnings in the relays' logs since the last call.
func (p *processes) warnings() map[string]int {
	all := map[string]int{}
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		text, err := os.ReadFile(r.log.Name())
		if err != nil || int64(len(text)) <= r.logRead {
			continue
		}
		for line := range strings.Lines(string(text[r.logRead:])) {
			var is struct{ Level, Msg, Why string }
			if json.Unmarshal([]byte(line), &is) != nil {
				all[strings.TrimSpace(line)]++
			} else if is.Level != "info" {
				all[strings.TrimSpace(is.Msg+" "+is.Why)]++
			}
		}
		r.logRead = int64(len(text))
	}
	return all
}

// close ends all processes.
func (p *processes) close() {
	var group sync.WaitGroup
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		group.Go(func() { p.kill(r) })
	}
	group.Wait()
	if p.origin != nil {
		p.input.Close()
		overdue := time.AfterFunc(2*time.Second, func() { p.origin.Process.Kill() })
		p.origin.Wait()
		overdue.Stop()
	}
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		r.log.Close()
	}
	if p.dir != "" {
		os.RemoveAll(p.dir)
	}
}

// cpuOf is what a process has used, ns.
func processorTime(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return (user + system) * int64(time.Second) / 100 // USER_HZ
}

// memoryOf is what a process holds now, bytes.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

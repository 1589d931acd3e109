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
	read    int64            // of the log
	proc    emulator.Process // nil: none runs
	held    bool             // by a signal
}

type processes struct {
	size     Size
	programs Programs
	dir      string
	upper    []*relayProcess
	lower    []*relayProcess
	origin   *exec.Cmd
	orders   io.WriteCloser
	answers  *bufio.Scanner
	through  uint64
}

const (
	answerWithin = 60 * time.Second
	upWithin     = 10 * time.Second
	mostTries    = 3
)

// newProcesses starts the origin and waits until it has all records.
func newProcesses(size Size, programs Programs) (*processes, error) {
	p := &processes{size: size, programs: programs}
	if err := p.begin(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *processes) begin() (err error) {
	size, programs := p.size, p.programs
	if p.dir, err = os.MkdirTemp("", "fawnglade-tree-"); err != nil {
		return err
	}
	p.origin = exec.Command(programs.Origin[0], programs.Origin[1:]...)
	p.origin.Stderr = os.Stderr
	p.origin.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if p.orders, err = p.origin.StdinPipe(); err != nil {
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
	p.answers = bufio.NewScanner(out)
	line, err := p.order(size)
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	var up []string
	for i := range size.Upper {
		r, err := p.place(fmt.Sprintf("u%d", i), []string{line.Address}, []string{"*"}, 0)
		if err != nil {
			return err
		}
		p.upper, up = append(p.upper, r), append(up, r.address)
	}
	for i := range size.Lower {
		r, err := p.place(fmt.Sprintf("l%d", i), append(append([]string(nil), up[i%len(up):]...), up[:i%len(up)]...), p.scopes(i), size.Bytes)
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
func (p *processes) scopes(i int) (all []string) {
	for region := range p.size.Regions {
		if region/2 == i%p.size.pairs() {
			all = append(all, regionName(region)+"/*")
		}
	}
	for s := range p.size.Shared {
		all = append(all, configScope(s))
	}
	return all
}

// group are the lower relays of a node.
func (p *processes) group(node int) (all []string) {
	for i, r := range p.lower {
		if i%p.size.pairs() == node%p.size.Regions/2 {
			all = append(all, r.address)
		}
	}
	return all
}

// order sends the origin one line and waits for its answer.
func (p *processes) order(what any) (line originLine, err error) {
	text, err := json.Marshal(what)
	if err != nil {
		return line, err
	}
	overdue := time.AfterFunc(answerWithin, func() { _ = p.origin.Process.Kill() })
	defer overdue.Stop()
	if _, err := p.orders.Write(append(text, '\n')); err != nil {
		return line, err
	}
	if !p.answers.Scan() {
		return line, errors.New("the origin's process ended, or did not answer in time")
	}
	err = json.Unmarshal(p.answers.Bytes(), &line)
	p.through = line.Through
	return line, err
}

// place takes a port that the system chooses and writes a relay's configuration.
func (p *processes) place(name string, upstream, scopes []string, pace int) (*relayProcess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	r := &relayProcess{name: name, address: l.Addr().String(), config: filepath.Join(p.dir, name+".toml")}
	if r.log, err = os.Create(filepath.Join(p.dir, name+".log")); err != nil {
		return nil, err
	}
	return r, os.WriteFile(r.config, []byte(relayText(p.size, name, r.address, upstream, scopes, pace)), 0o600)
}

func list(words []string) string {
	var quoted []string
	for _, w := range words {
		quoted = append(quoted, strconv.Quote(w))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// start begins a relay's life, with nothing, and waits until it takes connections.
func (p *processes) start(r *relayProcess) (err error) {
	for try := 0; try < mostTries; try++ {
		words := append(append([]string(nil), p.programs.Relay...), "--config", r.config)
		if r.proc, err = emulator.Command(words)("", nil, r.log); err != nil {
			r.proc = nil
			return err
		}
		r.held = false
		for end := time.Now().Add(upWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			select {
			case <-r.proc.Done():
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
	if r.proc != nil {
		_ = r.proc.Signal(syscall.SIGKILL)
		<-r.proc.Done()
		r.proc, r.held = nil, false
	}
}

func (p *processes) freeze(r *relayProcess) { _ = r.proc.Signal(syscall.SIGSTOP); r.held = true }
func (p *processes) thaw(r *relayProcess)   { _ = r.proc.Signal(syscall.SIGCONT); r.held = false }

func (p *processes) running() (all []*relayProcess) {
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		if r.proc != nil {
			all = append(all, r)
		}
	}
	return all
}

// complaints are the kinds of warnings in the relays' logs since the last call.
func (p *processes) complaints() map[string]int {
	all := map[string]int{}
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		text, err := os.ReadFile(r.log.Name())
		if err != nil || int64(len(text)) <= r.read {
			continue
		}
		for line := range strings.Lines(string(text[r.read:])) {
			var is struct{ Level, Msg, Why string }
			if json.Unmarshal([]byte(line), &is) != nil {
				all[strings.TrimSpace(line)]++
			} else if is.Level != "info" {
				all[strings.TrimSpace(is.Msg+" "+is.Why)]++
			}
		}
		r.read = int64(len(text))
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
		p.orders.Close()
		overdue := time.AfterFunc(2*time.Second, func() { _ = p.origin.Process.Kill() })
		_ = p.origin.Wait()
		overdue.Stop()
	}
	for _, r := range append(append([]*relayProcess(nil), p.upper...), p.lower...) {
		r.log.Close()
	}
	if p.dir != "" {
		_ = os.RemoveAll(p.dir)
	}
}

// cpuOf is what a process has used, ns.
func cpuOf(pid int) int64 {
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
func memoryOf(pid int) int64 {
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

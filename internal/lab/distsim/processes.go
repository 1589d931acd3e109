package distsim

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	replyTimeout     = 60 * time.Second // of the origin
	originEndTimeout = 2 * time.Second
)

// Programs are the command lines of the processes.
type Programs struct {
	Relay  []string // with relay; --config FILE is added
	Origin []string // the lab's own
}

// processes are the origin and the relays of a run.
type processes struct {
	size     Size
	programs Programs
	dir      string // for configurations and logs
	upper    []*relayProcess
	lower    []*relayProcess
	origin   *exec.Cmd
	input    io.WriteCloser // of the origin
	output   *bufio.Scanner
}

// newProcesses starts the origin, waits until it has all records, and starts the relays.
func newProcesses(size Size, programs Programs) (*processes, error) {
	p := &processes{size: size, programs: programs}
	if err := p.startAll(); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *processes) startAll() error {
	var err error
	p.dir, err = os.MkdirTemp("", "fawnglade-tree-")
	if err != nil {
		return err
	}
	address, err := p.startOrigin()
	if err != nil {
		return err
	}
	if err := p.prepareRelays(address); err != nil {
		return err
	}
	for _, r := range p.relays() {
		if err := p.start(r); err != nil {
			return err
		}
	}
	return nil
}

// startOrigin returns the address at which relays follow the origin.
func (p *processes) startOrigin() (string, error) {
	origin := exec.Command(p.programs.Origin[0], p.programs.Origin[1:]...)
	origin.Stderr = os.Stderr
	origin.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	input, err := origin.StdinPipe()
	if err != nil {
		return "", err
	}
	output, err := origin.StdoutPipe()
	if err != nil {
		return "", err
	}
	if err := origin.Start(); err != nil {
		return "", err
	}
	p.origin, p.input, p.output = origin, input, bufio.NewScanner(output)
	reply, err := p.send(p.size)
	if err != nil {
		return "", fmt.Errorf("origin: %w", err)
	}
	return reply.Address, nil
}

// prepareRelays makes the relays' configurations. Lower relays prefer different upper ones.
func (p *processes) prepareRelays(origin string) error {
	var upstreams []string
	for i := range p.size.UpperRelays {
		r, err := p.prepareRelay(fmt.Sprintf("u%d", i), []string{origin}, []string{"*"}, 0)
		if err != nil {
			return err
		}
		p.upper = append(p.upper, r)
		upstreams = append(upstreams, r.address)
	}
	for i := range p.size.LowerRelays {
		first := i % len(upstreams)
		order := slices.Concat(upstreams[first:], upstreams[:first])
		r, err := p.prepareRelay(fmt.Sprintf("l%d", i), order, p.relayScopes(i), p.size.BytesPerSecond)
		if err != nil {
			return err
		}
		p.lower = append(p.lower, r)
	}
	return nil
}

// send writes the origin one line, and waits for its reply.
func (p *processes) send(line any) (originReply, error) {
	text, err := json.Marshal(line)
	if err != nil {
		return originReply{}, err
	}
	timeout := time.AfterFunc(replyTimeout, p.killOrigin)
	defer timeout.Stop()
	if _, err := p.input.Write(append(text, '\n')); err != nil {
		return originReply{}, err
	}
	if !p.output.Scan() {
		return originReply{}, errors.New("the origin's process ended, or did not answer in time")
	}
	var reply originReply
	err = json.Unmarshal(p.output.Bytes(), &reply)
	return reply, err
}

func (p *processes) killOrigin() {
	_ = p.origin.Process.Kill() // fails only if it has ended
}

func (p *processes) relays() []*relayProcess { return slices.Concat(p.upper, p.lower) }

func (p *processes) running() []*relayProcess {
	return slices.DeleteFunc(p.relays(), func(r *relayProcess) bool { return r.process == nil })
}

// warnings counts the warnings in the relays' logs since the last call, by message.
func (p *processes) warnings() map[string]int {
	count := map[string]int{}
	for _, r := range p.relays() {
		text, err := os.ReadFile(r.log.Name())
		if err != nil || int64(len(text)) <= r.logRead {
			continue
		}
		for line := range strings.Lines(string(text[r.logRead:])) {
			if warning := warningOf(line); warning != "" {
				count[warning]++
			}
		}
		r.logRead = int64(len(text))
	}
	return count
}

// warningOf returns the message of a log line above the level info; a line that is no JSON is its own message.
func warningOf(line string) string {
	var entry struct {
		Level   string `json:"level"`
		Message string `json:"msg"`
		Reason  string `json:"reason"`
	}
	if json.Unmarshal([]byte(line), &entry) != nil {
		return strings.TrimSpace(line)
	}
	if entry.Level == "info" {
		return ""
	}
	return strings.TrimSpace(entry.Message + " " + entry.Reason)
}

// close ends all processes, and removes their files.
func (p *processes) close() error {
	var kills sync.WaitGroup
	for _, r := range p.relays() {
		kills.Go(r.kill)
	}
	kills.Wait()
	if p.origin != nil {
		p.closeOrigin()
	}
	for _, r := range p.relays() {
		r.log.Close()
	}
	if p.dir == "" {
		return nil
	}
	return os.RemoveAll(p.dir)
}

// closeOrigin ends the origin's input, with which it ends, and kills it if it does not.
func (p *processes) closeOrigin() {
	p.input.Close()
	timeout := time.AfterFunc(originEndTimeout, p.killOrigin)
	defer timeout.Stop()
	_ = p.origin.Wait() // how it ends makes no difference to the run
}

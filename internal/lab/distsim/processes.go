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
	replyTimeout     = 60 * time.Second // for a reply of the origin
	originEndTimeout = 2 * time.Second
)

// Programs holds the command lines of the processes.
type Programs struct {
	Relay  []string // including the relay command; --config FILE is appended
	Origin []string // of the lab's hidden origin command
}

// processes holds the origin and relay processes of a run.
type processes struct {
	size     Size
	programs Programs
	dir      string // directory for configuration files and logs
	upper    []*relayProcess
	lower    []*relayProcess
	origin   *exec.Cmd
	input    io.WriteCloser // standard input of the origin
	output   *bufio.Scanner
}

// newProcesses starts the origin, waits until it has all records, and then starts the relays.
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

// startOrigin starts the origin and returns the address that relays connect to.
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

// prepareRelays writes the configurations of all relays. The lower relays list the upper ones in different orders.
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

// send writes one line of JSON to the origin, and waits for its reply.
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
		return originReply{}, errors.New("origin process ended or did not reply within the timeout")
	}
	var reply originReply
	err = json.Unmarshal(p.output.Bytes(), &reply)
	return reply, err
}

func (p *processes) killOrigin() {
	_ = p.origin.Process.Kill() // fails only if the process has ended
}

func (p *processes) relays() []*relayProcess { return slices.Concat(p.upper, p.lower) }

func (p *processes) running() []*relayProcess {
	return slices.DeleteFunc(p.relays(), func(r *relayProcess) bool { return r.process == nil })
}

// warnings counts the new warnings in the relays' logs since the last call, by message.
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

// warningOf returns the message of a log line above level info, else an empty string. A line that is not JSON is
// returned whole.
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

// close kills the relays, ends the origin, and removes all files.
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

// closeOrigin closes the origin's input, at whose end the process exits, and kills it after a timeout.
func (p *processes) closeOrigin() {
	p.input.Close()
	timeout := time.AfterFunc(originEndTimeout, p.killOrigin)
	defer timeout.Stop()
	_ = p.origin.Wait() // its exit status does not matter to the run
}

package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

// plan says which processes there are and at which addresses. All commands of a case read the same plan.
type plan struct {
	// Discovery has, for each zone, the address at which its nodes reach discovery, which is one service.
	Discovery []string     `json:"discovery"`
	Nodes     []planNode   `json:"nodes"`
	Servers   []planServer `json:"servers"`
	Zones     []string     `json:"zones"`
}

type planNode struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	News   string `json:"news"` // where messages of other nodes come, if the settings allow them
	Zone   int    `json:"zone"`
}

type planServer struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // where the server itself listens
	// Dial has, for each zone, the address at which nodes of that zone reach the server: the near end of a link.
	Dial []string `json:"dial"`
	Zone int      `json:"zone"`
	Pod  int      `json:"pod"`
}

// errBroken means that a rule was broken. The commands that judge return it.
var errBroken = errors.New("a rule was broken")

func exitCode(err error) int {
	if errors.Is(err, errBroken) {
		return 1
	}
	return 2
}

func readPlan(path string) (*plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &plan{}
	return p, json.Unmarshal(text, p)
}

// planCommand chooses free ports, and writes plan.json and the configuration of each node into a folder.
func planCommand(args []string) error {
	flags := flag.NewFlagSet("plan", flag.ExitOnError)
	folder := flags.String("folder", "", "where plan.json and the configurations are written")
	settingsPath := flags.String("settings", "", "settings of the deployment, as in a node's configuration")
	nodes := flags.Int("nodes", 3, "number of nodes")
	servers := flags.Int("servers", 10, "number of servers")
	if err := flags.Parse(args); err != nil {
		return err
	}
	text, err := os.ReadFile(*settingsPath)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(text, &settings); err != nil {
		return err
	}
	p, err := newPlan(settings, *nodes, *servers)
	if err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(*folder, "plan.json"), p); err != nil {
		return err
	}
	for i, n := range p.Nodes {
		settings["position"], settings["group_size"], settings["zone"] = i, len(p.Nodes), n.Zone
		config := map[string]any{
			"name": n.Name, "listen": n.Listen, "discovery": p.Discovery[n.Zone], "seed": fmt.Sprintf("%x", 1000+i),
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":    p.endpointList(n.Zone),
			"settings": settings,
		}
		if limits, _ := settings["limits"].(map[string]any); limits["peer_messages"] == true {
			config["news"] = map[string]any{"listen": n.News, "peers": p.newsAddresses()}
		}
		if err := writeJSON(filepath.Join(*folder, n.Name+".json"), config); err != nil {
			return err
		}
	}
	return nil
}

// newPlan spreads nodes and servers evenly over the zones. The servers of a zone form one pod.
func newPlan(settings map[string]any, nodes, servers int) (*plan, error) {
	p := &plan{}
	zones, _ := settings["zones"].([]any)
	for _, zone := range zones {
		p.Zones = append(p.Zones, fmt.Sprint(zone))
	}
	addresses, err := freeAddresses(len(p.Zones) + 2*nodes + servers*(1+len(p.Zones)))
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	for range p.Zones {
		p.Discovery = append(p.Discovery, next())
	}
	for i := range nodes {
		p.Nodes = append(p.Nodes, planNode{Name: fmt.Sprintf("n%d", i), Listen: next(), News: next(), Zone: i % len(p.Zones)})
	}
	for i := range servers {
		server := planServer{Name: fmt.Sprintf("s-%d", i), Listen: next(), Zone: i % len(p.Zones), Pod: i % len(p.Zones)}
		for range p.Zones {
			server.Dial = append(server.Dial, next())
		}
		p.Servers = append(p.Servers, server)
	}
	return p, nil
}

// freeAddresses returns loopback addresses with ports that nobody uses now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close() // only at the end, so that no port is given out twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// endpointList returns the complete list as a node of a zone sees it, in discovery's form.
func (p *plan) endpointList(zone int) map[string]any {
	hosts := []map[string]any{}
	for _, s := range p.Servers {
		hosts = append(hosts, map[string]any{
			"host": s.Name, "dial": s.Dial[zone], "site": p.Zones[s.Zone], "class": "std-2core",
			"block": s.Pod, "health": "up", "share": 1.0, "born_ms": 0,
		})
	}
	return map[string]any{"seq": 1, "whole": true, "hosts": hosts}
}

func (p *plan) newsAddresses() []string {
	var addresses []string
	for _, n := range p.Nodes {
		addresses = append(addresses, n.News)
	}
	return addresses
}

func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

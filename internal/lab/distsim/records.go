package distsim

import (
	"bytes"
	"fmt"
	"strconv"
)

// Scopes, keys and bodies of the records of a run, which are functions of its size. The last field of each body is the
// number of the change that wrote it.

// Classes of records in the JSON of a Change.
const (
	classWithdrawal    = "withdrawal"
	classEndpoint      = "endpoint"
	classConfiguration = "configuration"
)

func regionName(i int) string  { return fmt.Sprintf("r%02d", i) }
func serviceName(i int) string { return fmt.Sprintf("s%04d", i) }

// endpointName returns the name of an endpoint. The name of a replacement contains the number of its start.
func endpointName(i, start int) string {
	if start == 0 {
		return fmt.Sprintf("e%06d", i)
	}
	return fmt.Sprintf("e%06d-%d", i, start)
}

func endpointKey(name string) string { return "endpoint/" + name }

// configScope returns the scope of a service's routes and tenants, which is the same in all regions.
func configScope(service int) string { return "configuration/" + serviceName(service) }

// endpointScope returns the scope of an endpoint, which is a service within a region.
func (s Size) endpointScope(i int) string {
	i %= s.Services * s.Regions
	return regionName(i%s.Regions) + "/" + serviceName(i/s.Regions)
}

// zoneOf returns the zone of an endpoint, which is one of the zones of its region.
func (s Size) zoneOf(i int) int {
	scopes := s.Services * s.Regions
	region := i % scopes % s.Regions
	zones := (s.Zones - region + s.Regions - 1) / s.Regions
	return region + s.Regions*(i/scopes+i/s.Regions%zones)%(s.Regions*zones)
}

func (s Size) endpointBody(i int, name, health string, start, change int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.%d.%d.%d:8080","site":"z%02d","block":%d,"health":%q,"share":1,"born_ms":%d,"n":%d}`,
		name, i>>16&255, i>>8&255, i&255, s.zoneOf(i), i%512, health, start, change)
}

// configurationRecord returns the initial state of a configuration record. Routes have the first numbers, then tenants.
func (s Size) configurationRecord(i int) Change {
	service := i % s.Services
	c := Change{Scope: configScope(service), Class: classConfiguration}
	if i < s.Routes {
		c.Key = fmt.Sprintf("route/%06d", i)
		c.Body = fmt.Sprintf(`{"path":"/p%06d","service":%q,"timeout_ms":%d,"retries":2,"n":0}`, i, serviceName(service), 200+i%1800)
		return c
	}
	c.Key = fmt.Sprintf("tenant/%07d", i-s.Routes)
	c.Body = fmt.Sprintf(`{"rate":%d,"burst":%d,"weight":1,"n":0}`, 10+i%90, 20+i%180)
	return c
}

// forEachRecord visits the initial state of all records, always in the same order.
func (s Size) forEachRecord(visit func(Change)) {
	for i := range s.Endpoints {
		name := endpointName(i, 0)
		visit(Change{
			Scope: s.endpointScope(i), Key: endpointKey(name), Class: classEndpoint, Body: s.endpointBody(i, name, "up", 0, 0),
		})
	}
	for i := range s.Routes + s.Tenants {
		visit(s.configurationRecord(i))
	}
}

// scopesOf returns the scopes that a node follows: some services of its region, and the shared configuration.
func (s Size) scopesOf(node int) []string {
	region := regionName(node % s.Regions)
	first := int(uint64(node/s.Regions) * 2654435761 % uint64(s.Services))
	step := 1
	if s.Services%7 != 0 {
		step = 7 // spreads the services; none repeats, as 7 does not divide their number
	}
	var scopes []string
	for i := range s.ServicesPerNode {
		scopes = append(scopes, region+"/"+serviceName((first+i*step)%s.Services))
	}
	for i := range s.SharedServices {
		scopes = append(scopes, configScope(i))
	}
	return scopes
}

// changeNumber returns the change number in a body, or -1 if there is none.
func changeNumber(body []byte) int {
	at := bytes.LastIndexByte(body, ':')
	if at < 0 || !bytes.HasSuffix(body, []byte("}")) {
		return -1
	}
	n, err := strconv.Atoi(string(body[at+1 : len(body)-1]))
	if err != nil {
		return -1
	}
	return n
}

// withChangeNumber returns a body with its change number replaced.
func withChangeNumber(body string, n int) string {
	return body[:bytes.LastIndexByte([]byte(body), ':')+1] + strconv.Itoa(n) + "}"
}

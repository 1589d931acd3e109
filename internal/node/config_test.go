package node

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestInvalidConfigurationErrors(t *testing.T) {
	validConfig := func() *Config {
		return &Config{
			Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Seed: "a",
			Settings: json.RawMessage(settingsText),
		}
	}
	if err := validConfig().check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Config){
		"listen: expected an address":  func(c *Config) { c.Listen = "here" },
		"discovery: expected an addre": func(c *Config) { c.Discovery = "" },
		"seed: expected":               func(c *Config) { c.Seed = "seed" },
		"limits.sockets: expected":     func(c *Config) { c.Limits.Sockets = 20 },
		"settings: expected an object": func(c *Config) { c.Settings = nil },
		"profiles.count":               func(c *Config) { c.Settings = json.RawMessage(`{}`) },
		"settings: limits.connect_tim": func(c *Config) {
			c.Settings = json.RawMessage(strings.Replace(settingsText, "connect_timeout_us", "other", 1))
		},
	} {
		c := validConfig()
		change(c)
		if err := c.check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

package distsim

// This file owns the text of a relay's configuration file. It must never be used for what is not a relay of a run.

import "fmt"

// relayText is the configuration of a relay that follows others.
func relayConfig(s Size, name, listen string, upstream, scopes []string, pace int) string {
	records := 2 * (s.Endpoints + s.Routes + s.Tenants)
	return fmt.Sprintf("name = %q\nlisten = %q\nrole = \"relay\"\nupstream = %s\nscopes = %s\npace = %d\n[limits]\nrecords = %d\nsubscribers = %d\n",
		name, listen, tomlList(upstream), tomlList(scopes), pace, records, s.Nodes+s.UpperRelays+s.LowerRelays+16)
}

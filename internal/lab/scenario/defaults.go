package scenario

import (
	"strings"
	"time"

	"fawnglade/internal/lab/netfault"
)

// Default returns what a file need not say: a small, healthy site.
func Default() *Scenario {
	return &Scenario{
		Length:  Duration(10 * time.Second),
		Seed:    1,
		Network: Network{Zones: []string{"a"}, SameZone: milliseconds(0.2), CrossZone: milliseconds(5), Client: milliseconds(0.3), Jitter: 0.1},
		Nodes:   Nodes{Count: 1, MemoryMB: 192, Sockets: 1024, DeathNotice: milliseconds(1000), ProtocolPeriod: milliseconds(500)},
		Reports: Reports{Fields: []string{"queue", "inflight"}, Period: milliseconds(400), Delay: milliseconds(100), Noise: 0.03},
		Discovery: Discovery{
			MustPoll: true, ChangeDelay: milliseconds(500), UpdateInterval: milliseconds(200), CallTime: milliseconds(20), CallTimeout: milliseconds(2000),
		},
		Rules: Rules{
			StopSending: milliseconds(500), PollWithin: milliseconds(10000), CrashMultiple: 3, CrashWindow: milliseconds(1000), CrashSlack: "tight",
			AnswerGrace: milliseconds(20), MaxAttempts: 4, MayCancel: true, MaxRetryAfter: milliseconds(1500), ConnectTimeout: milliseconds(75),
		},
		Load:    Load{Rate: 200, Shape: "steady", Swing: 0.3, Period: milliseconds(5000), Body: 200},
		Clients: Clients{Retries: 2, Backoff: milliseconds(20), HonorShare: 0.8, RequestTimeoutShare: 1, MaxConnections: 200},
	}
}

// fillDefaults fills what the tables of a file leave out.
func (s *Scenario) fillDefaults() {
	for i := range s.Fleets {
		f := &s.Fleets[i]
		f.fillDefaults()
		if len(f.Zones) == 0 {
			f.Zones = s.Network.Zones
		}
	}
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Quota, s.Tenants[i].Share)
	}
	for i := range s.Faults {
		s.Faults[i].fillDefaults()
	}
}

func (f *Fleet) fillDefaults() {
	setDefault(&f.Name, "s")
	setDefault(&f.PodSize, 4)
	setDefault(&f.Cores, 2)
	setDefault(&f.Speed, 1)
	setDefault(&f.Concurrency, 16)
	setDefault(&f.QueueLimit, 16)
	setDefault(&f.SlowStartCapacity, 0.25)
	setDefault(&f.SlowStartWindow, milliseconds(15000))
	setDefault(&f.Connections, 1000)
	setDefault(&f.IdleClose, milliseconds(60000))
	setDefault(&f.Cancel, "nothing")
	if f.PauseEvery > 0 {
		setDefault(&f.PauseFor, milliseconds(100))
	}
}

func (c *Class) fillDefaults() {
	setDefault(&c.Idempotency, Idempotent)
	setDefault(&c.Share, 1)
	setDefault(&c.PriorityWeight, 1)
	if c.Idempotency == IdempotentByKey {
		setDefault(&c.DedupGroup, "fleet")
		setDefault(&c.DedupWindow, milliseconds(5000))
	}
}

func (f *Fault) fillDefaults() {
	setDefault(&f.AttemptShare, 1)
	switch f.Kind {
	case "slow":
		setDefault(&f.Factor, 0.2)
	case "discovery-slow":
		setDefault(&f.Factor, 20)
	case "crowd":
		setDefault(&f.Factor, 0.5)
	case "bad-clients":
		setDefault(&f.Rate, 20)
	case "lists-late":
		setDefault(&f.Wait, milliseconds(3000))
	case "clock":
		setDefault(&f.Factor, 1)
	case "link-drop", "link-spoil", "link-twice", "link-reorder":
		setDefault(&f.Share, 0.3)
	}
	if strings.HasPrefix(f.Kind, "link-") {
		if variants := netfault.Variants[netfault.Kind(f.Kind)]; len(variants) > 0 {
			setDefault(&f.How, variants[0])
		}
		setDefault(&f.Burst, 1)
	}
}

func setDefault[T comparable](v *T, missing T) {
	var zero T
	if *v == zero {
		*v = missing
	}
}

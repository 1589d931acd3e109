package scale

// This file owns which probes there are, in the order in which they run.

// Probes are all that can be measured.
func Probes() []Probe {
	return []Probe{decisionsProbe(), tenantsProbe(), classesProbe(), servicesProbe(), processProbe(), membersProbe(), diskProbe(), endpointsProbe(), routesProbe(), tenantRecordsProbe(), subscribersProbe(), inForceProbe(), hearsayProbe(), hollowProbe()}
}

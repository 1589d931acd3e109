package simadapter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"fawnglade/internal/gossip"
	"fawnglade/internal/settings"
	"fawnglade/policy"
)

// instance is the decisions of one simulated node.
type instance struct {
	number   []byte
	session  *session
	balancer *policy.Balancer
	classes  int
	inbox    gossip.Inbox
}

// instanceEvents are the events for one instance that has been configured. Each takes its fields, and nothing happens
// if one of them is wrong.
var instanceEvents = map[string]func(*instance, *fields) error{
	eventEndpointsUpdate: (*instance).endpointsUpdated,
	eventRequestArrived:  (*instance).requestArrived,
	eventResponseStarted: (*instance).responseStarted,
	eventAttemptEnded:    (*instance).attemptEnded,
	eventClientGone:      (*instance).clientGone,
	eventTimerFired:      (*instance).timerFired,
	eventHealthChecked:   (*instance).healthChecked,
	eventGossipReceived:  (*instance).gossipReceived,
}

func (s *session) handleEvent(name []byte, f *fields) error {
	switch string(name) {
	case eventList:
		return s.readEndpointList(f)
	case eventConfigure:
		return s.configure(f)
	case eventStop:
		return s.stop(f)
	}
	handle, known := instanceEvents[string(name)]
	if !known {
		return fmt.Errorf("%s: expected an event of the wire, got %q", fieldMessage, name)
	}
	i, err := s.findInstance(f)
	if err != nil {
		return err
	}
	defer i.reportPanic()
	return handle(i, f)
}

// instanceNumber takes the number of an instance.
func instanceNumber(f *fields) ([]byte, error) {
	number := f.token(fieldInstance)
	if f.err != nil {
		return nil, f.err
	}
	if _, err := strconv.ParseUint(string(number), 10, 64); err != nil {
		return nil, fmt.Errorf("%s: expected a whole number, got %q", fieldInstance, number)
	}
	return number, nil
}

func (s *session) findInstance(f *fields) (*instance, error) {
	number, err := instanceNumber(f)
	if err != nil {
		return nil, err
	}
	i := s.instances[string(number)]
	if i == nil {
		return nil, fmt.Errorf("%s: expected an instance that was configured, got %q", fieldInstance, number)
	}
	return i, nil
}

// configure starts an instance, in place of an earlier one with its number.
func (s *session) configure(f *fields) error {
	number, err := instanceNumber(f)
	if err != nil {
		return err
	}
	seed := f.unsigned(fieldSeed, 64)
	if f.err != nil {
		return f.err
	}
	decoded, err := settings.FromLine(string(f.rest))
	if err != nil {
		return fmt.Errorf("%s: %w", fieldSettings, err)
	}
	i := &instance{number: bytes.Clone(number), session: s, classes: len(decoded.Policy.Classes)}
	i.balancer = policy.New(decoded.Policy, seed, i)
	s.instances[string(number)] = i
	return nil
}

func (s *session) stop(f *fields) error {
	i, err := s.findInstance(f)
	if err != nil {
		return err
	}
	delete(s.instances, string(i.number))
	return nil
}

// readEndpointList reads an endpoint list, for the instances that are referred to it later.
func (s *session) readEndpointList(f *fields) error {
	number, count := f.listNumber(), f.unsigned(fieldListLength, 32)
	if f.err != nil {
		return f.err
	}
	list := s.endpointLists[number].endpoints[:0]
	for ; count > 0; count-- {
		text, err := s.readLine()
		if err != nil {
			return fmt.Errorf("%s: expected %d more %s lines", fieldListLength, count, lineEndpoint)
		}
		listed, err := parseEndpoint(text)
		if err != nil {
			return err
		}
		list = append(list, listed)
	}
	s.endpointLists[number] = endpointList{endpoints: list, defined: true}
	return nil
}

func parseEndpoint(text []byte) (policy.EndpointInfo, error) {
	f := fields{rest: text}
	if name := f.token(fieldMessage); string(name) != lineEndpoint {
		return policy.EndpointInfo{}, fmt.Errorf("%s: expected %s, got %q", fieldMessage, lineEndpoint, name)
	}
	listed := policy.EndpointInfo{
		ID:   policy.EndpointID(f.unsigned(fieldEndpoint, 32)),
		Zone: int(f.unsigned(fieldZone, 31)),
	}
	f.unsigned(fieldHostKind, 31) // nothing is decided on kinds of machines
	listed.Pod = int(f.unsigned(fieldPod, 31))
	state := f.token(fieldState)
	var known bool
	listed.State, known = endpointStates[string(state)]
	listed.Weight = f.decimalOrZero(fieldWeight)
	listed.StartedAt = policy.Time(f.timeOrZero(fieldStartedAt))
	if !known {
		f.fail("%s: expected active, leaving or left, got %q", fieldState, state)
	}
	return listed, f.err
}

// reportPanic, when deferred, reports a panic in the decisions as the simulator wants it.
func (i *instance) reportPanic() {
	if broken := recover(); broken != nil {
		text := bytes.ReplaceAll(fmt.Append(nil, broken), []byte{'\n'}, []byte{' '})
		i.action(actionPanicked).text(string(text)).write()
	}
}

func (i *instance) endpointsUpdated(f *fields) error {
	form := string(f.token(fieldUpdateForm))
	f.token(fieldSequence)
	switch form {
	case updateFailed:
		if f.err == nil {
			i.balancer.WatchFailed(i.session.now)
		}
		return f.err
	case updateIncremental, updateComplete, updateSaved:
	default:
		return fmt.Errorf("%s: expected INCREMENTAL, FULL, SAVED or FAILED, got %q", fieldUpdateForm, form)
	}
	number := f.listNumber()
	if f.err != nil {
		return f.err
	}
	list := i.session.endpointLists[number]
	if !list.defined {
		return fmt.Errorf("%s: expected a list that was given, got %d", fieldListNumber, number)
	}
	i.balancer.EndpointsUpdated(i.session.now, list.endpoints, form != updateIncremental)
	return nil
}

func (i *instance) requestArrived(f *fields) error {
	request := policy.Request{
		ID:       policy.RequestID(f.token(fieldRequest)),
		Class:    int(f.unsigned(fieldClass, 31)),
		Tenant:   int(f.unsignedOrZero(fieldTenant, 31)),
		Deadline: policy.Time(f.time(fieldDeadline)),
	}
	flags := f.unsignedOrZero(fieldRequestFlags, 63)
	request.ClientRetry = flags&flagClientRetry != 0
	if cost := f.timeOrZero(fieldCostHint); flags&flagCostHint != 0 && cost > 0 {
		request.CostHint = time.Duration(cost)
	}
	request.Key = f.optionalToken()
	if f.err != nil {
		return f.err
	}
	if request.Class >= i.classes {
		return fmt.Errorf("%s: expected a category of the settings, got %d", fieldClass, request.Class)
	}
	i.balancer.RequestArrived(i.session.now, request)
	return nil
}

// responseStarted ignores the begin of an answer, which decides nothing.
func (i *instance) responseStarted(f *fields) error { return f.err }

func (i *instance) attemptEnded(f *fields) error {
	result := policy.AttemptResult{
		Request:     policy.RequestID(f.token(fieldRequest)),
		Elapsed:     time.Duration(f.time(fieldElapsed)),
		Endpoint:    policy.EndpointID(f.unsigned(fieldEndpoint, 32)),
		RequestDone: f.boolean(fieldRequestDone),
		Outcome:     outcomes[string(f.token(fieldOutcome))],
		Attempt:     int(f.unsigned(fieldAttempt, 31)),
		Report:      f.loadReport(),
	}
	if f.err == nil {
		i.balancer.AttemptEnded(i.session.now, result)
	}
	return f.err
}

func (i *instance) clientGone(f *fields) error {
	id := policy.RequestID(f.token(fieldRequest))
	if f.err == nil {
		i.balancer.ClientGone(i.session.now, id)
	}
	return f.err
}

func (i *instance) timerFired(f *fields) error {
	timer := f.unsigned(fieldTimer, 63)
	if f.err == nil {
		i.balancer.TimerFired(i.session.now, timer)
	}
	return f.err
}

func (i *instance) healthChecked(f *fields) error {
	endpoint := policy.EndpointID(f.unsigned(fieldEndpoint, 32))
	outcome := outcomes[string(f.token(fieldOutcome))]
	f.time(fieldElapsed)
	report := f.loadReport()
	if f.err == nil {
		i.balancer.HealthChecked(i.session.now, endpoint, outcome, report)
	}
	return f.err
}

func (i *instance) gossipReceived(f *fields) error {
	peer := int(f.unsigned(fieldPeer, 31))
	text := f.optionalToken()
	encoded, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		f.fail("%s: expected base64, got %q", fieldGossipMessage, text)
	}
	if f.err != nil {
		return f.err
	}
	message, err := i.inbox.Open(peer, encoded, int64(i.session.now))
	if err != nil {
		i.session.ignoredGossip++ // no message of a peer may end this process
		return nil
	}
	i.balancer.GossipReceived(i.session.now, message)
	return nil
}

package control

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// Parts of Bounds.AcknowledgeMs.
const (
	// operatorReadRatio is how long one attempt of an operator's read may take.
	operatorReadRatio = 0.6
	// maxReadAnswerAgeRatio bounds how old the state that a read gave may be
	// when the answer to it is ready.
	maxReadAnswerAgeRatio = 0.1
	// directChangeRatio is how long a change that came directly from its
	// operator is tried.
	directChangeRatio = 0.8
	// frontsWaitRatio is how long the answer to a change that is decided waits
	// for the fronts to hold it.
	frontsWaitRatio = 0.1
	// proposalReadRatio bounds a read in the middle of a proposal.
	proposalReadRatio = 0.3
)

// HandleConfiguration answers the operator's calls for the configuration: GET,
// and PUT and PATCH of a new version. deadline is when the caller goes on.
func (s *Server) HandleConfiguration(c *app.RequestContext, deadline time.Time) {
	if string(c.Request.Header.Method()) == http.MethodGet {
		s.getConfiguration(c, deadline)
		return
	}
	change := configurationChange{
		isPatch: string(c.Request.Header.Method()) == http.MethodPatch,
		body:    string(c.Request.Body()),
		ifMatch: string(c.Request.Header.Peek("If-Match")),
	}
	// A late change is recognised by its base version. So one that came directly
	// from its operator is tried for longer than the operator waits: when it is
	// sent again, it is found to be applied.
	changeDeadline := deadline
	if len(c.Request.Header.Peek(nodeapi.HeaderForwardedBy)) == 0 {
		changeDeadline = time.Now().Add(s.acknowledgeTime(directChangeRatio))
	}
	version, err := s.changeConfiguration(change, changeDeadline)
	if err != nil {
		events.Log(events.ConfigRejected, "status", httpStatus(err), "why", err)
		s.writeOperatorError(c, err)
		return
	}
	s.fronts.waitHold(s.State().Slot, min(s.acknowledgeTime(frontsWaitRatio), time.Until(deadline)/2))
	transport.WriteJSON(c, http.StatusOK, nodeapi.ConfigurationAcknowledgement{
		Version:     version,
		Unsupported: change.unsupported(),
	})
}

// getConfiguration answers with the newest configuration, as it was put.
func (s *Server) getConfiguration(c *app.RequestContext, deadline time.Time) {
	s.answerRead(c, deadline, func(state consensus.State) {
		if state.Version == 0 {
			s.writeOperatorError(c, ErrNoConfiguration)
			return
		}
		c.SetStatusCode(http.StatusOK)
		c.Response.Header.SetContentType("application/json")
		c.Response.Header.Set("ETag", strconv.FormatInt(state.Version, 10))
		c.Response.SetBodyRaw([]byte(state.Body))
	})
}

// answerRead reads the newest state until deadline and gives it to answer, which
// only prepares the response. Where the process was paused between the read and
// the prepared response, a later change may have been acknowledged elsewhere:
// the response is dropped and the state is read again.
func (s *Server) answerRead(c *app.RequestContext, deadline time.Time, answer func(consensus.State)) {
	for time.Now().Before(deadline) {
		state, ok := s.readQuorum(min(s.acknowledgeTime(operatorReadRatio), time.Until(deadline)))
		if !ok {
			break
		}
		readAt := time.Now()
		answer(state)
		if time.Since(readAt) < s.acknowledgeTime(maxReadAnswerAgeRatio) {
			return
		}
		c.Response.Reset()
	}
	events.Log(events.ReadNoQuorum)
	s.writeOperatorError(c, ErrNoMajority)
}

// configurationChange is an operator's PUT or PATCH.
type configurationChange struct {
	isPatch bool
	body    string
	// ifMatch is the header that names the version which the change builds on.
	ifMatch string
}

// baseVersion reads the version that the change builds on.
func (c configurationChange) baseVersion() (int64, error) {
	entityTag := strings.Trim(strings.TrimPrefix(strings.TrimSpace(c.ifMatch), "W/"), "\"")
	base, err := strconv.ParseInt(entityTag, 10, 64)
	if err != nil || base < 0 {
		return 0, invalid("If-Match must hold the version that this one builds on")
	}
	return base, nil
}

// parse checks the change and makes the value to propose. patch is nil for a
// PUT; for a PATCH the body of the value is still the patch, to be merged into
// the version that it builds on. Its fingerprint is that of the request, so that
// the change is recognised when it is sent again.
func (c configurationChange) parse() (value *consensus.Value, patch *config.Patch, err error) {
	value = &consensus.Value{Body: c.body}
	if c.isPatch {
		if patch, err = config.ParsePatch([]byte(c.body)); err != nil {
			return nil, nil, &InvalidError{Reason: err}
		}
		value.Version, value.RequestFingerprint = patch.Version, consensus.Fingerprint("PATCH\n"+c.body)
	} else {
		configuration, err := config.ParseConfiguration([]byte(c.body))
		if err != nil {
			return nil, nil, &InvalidError{Reason: err}
		}
		value.Version, value.RequestFingerprint = configuration.Version, consensus.Fingerprint(c.body)
	}
	if value.BaseVersion, err = c.baseVersion(); err != nil {
		return nil, nil, err
	}
	if value.Version <= value.BaseVersion {
		return nil, nil, invalid("Version is not above the one it builds on")
	}
	return value, patch, nil
}

// unsupported returns what the change asks for and this program does not do.
func (c configurationChange) unsupported() []string {
	if !c.isPatch {
		return config.Unsupported([]byte(c.body))
	}
	patch, err := config.ParsePatch([]byte(c.body))
	if err != nil {
		return nil
	}
	return config.UnsupportedOfPatch(patch)
}

// changeConfiguration has a change decided and returns its version once enough
// disks hold it.
func (s *Server) changeConfiguration(change configurationChange, deadline time.Time) (version int64, err error) {
	value, patch, err := s.parseChange(change)
	if err != nil {
		return 0, err
	}
	if err := s.decideConfiguration(value, patch, deadline); err != nil {
		return 0, err
	}
	// The proposal lock is released by now: a node that is to become a voter,
	// without which there may be too few replicas, must be let in meanwhile.
	if !s.waitReplicated(deadline) {
		return 0, ErrTooFewReplicas
	}
	return value.Version, nil
}

// parseChange is configurationChange.parse, of one change at a time: what is
// parsed takes many times the memory of its text for a moment.
func (s *Server) parseChange(change configurationChange) (*consensus.Value, *config.Patch, error) {
	s.parsing.Lock()
	defer s.parsing.Unlock()
	return change.parse()
}

// decideConfiguration proposes a configuration until it is applied, whoever had
// it chosen, or can't be any more. A patch is merged into the version that it
// builds on, once: a version has one body, whichever ballot chooses it.
func (s *Server) decideConfiguration(value *consensus.Value, patch *config.Patch, deadline time.Time) error {
	s.proposalLock.Lock()
	defer s.proposalLock.Unlock()
	merged := patch == nil
	for attempt := 0; ; attempt++ {
		s.proposalLock.YieldToUrgent()
		state := s.State()
		switch {
		case state.HasApplied(value.Version, value.BaseVersion, value.RequestFingerprint):
			return nil
		case value.BaseVersion < state.Version:
			return &StaleBaseError{Current: state.Version}
		case time.Now().After(deadline):
			return ErrNotInTime
		case s.isolated():
			return ErrNoMajority
		case value.BaseVersion > state.Version:
			// This node may be behind: a majority knows whether there is such a version.
			fresh, ok := s.readDuringProposal(deadline)
			if ok && fresh.Version < value.BaseVersion {
				return &StaleBaseError{Current: fresh.Version}
			}
			if !ok {
				s.backOff(attempt)
			}
			continue
		}
		if !merged {
			body, err := mergePatch(patch, state.Body)
			if err != nil {
				return err
			}
			value.Body, merged = body, true
		}
		if !s.propose(state, value) {
			s.backOff(attempt)
		}
	}
}

// mergePatch returns the configuration that a patch makes of its base.
func mergePatch(patch *config.Patch, base string) (string, error) {
	merged, err := patch.Apply([]byte(base))
	if err != nil {
		return "", &InvalidError{Reason: err}
	}
	if _, err := config.ParseConfiguration(merged); err != nil {
		return "", &InvalidError{Reason: err}
	}
	return string(merged), nil
}

// readDuringProposal reads the newest state while the proposal lock is held, for
// no longer than other proposals may be kept waiting by it.
func (s *Server) readDuringProposal(deadline time.Time) (consensus.State, bool) {
	return s.readQuorum(min(s.acknowledgeTime(proposalReadRatio), time.Until(deadline)))
}

package control

import (
	"strconv"
	"strings"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// The operator's calls for the configuration.

// maxReadAnswerAge is how old, of AcknowledgeMs, what a read gave may be when it is answered.
const maxReadAnswerAge = 0.1

// answerRead reads the newest state within the caller's patience and gives it to
// answer, which only prepares the answer; should the node have stood still
// meanwhile, it reads anew.
func (h *Server) answerRead(c *app.RequestContext, until time.Time, answer func(consensus.State)) {
	ack := h.host.Settings().Bounds.AcknowledgeMs
	for time.Now().Before(until) {
		s, ok := h.readQuorum(min(config.Milliseconds(ack, 0.6), time.Until(until)))
		if !ok {
			break
		}
		at := time.Now()
		if answer(s); time.Since(at) < config.Milliseconds(ack, maxReadAnswerAge) {
			return
		}
		c.Response.Reset()
	}
	events.Log(events.ReadNoQuorum)
	h.host.WriteUnavailable(c, "no majority can be reached")
}

// HandleConfiguration takes the operator's calls.
func (h *Server) HandleConfiguration(c *app.RequestContext, until time.Time) {
	if string(c.Request.Header.Method()) == "GET" {
		h.answerRead(c, until, func(s consensus.State) {
			if s.Version == 0 {
				transport.WriteError(c, 404, "there is no configuration yet")
				return
			}
			c.SetStatusCode(200)
			c.Response.Header.SetContentType("application/json")
			c.Response.Header.Set("ETag", strconv.FormatInt(s.Version, 10))
			c.Response.SetBodyRaw([]byte(s.Body))
		})
		return
	}
	body := string(c.Request.Body())
	// A change is known as late by its base: one that came directly may be tried
	// for longer than its caller waits, and is found settled when it is sent again.
	settleBy := until
	if len(c.Request.Header.Peek(nodeapi.HeaderForwardedBy)) == 0 {
		settleBy = time.Now().Add(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.8))
	}
	status, text := h.changeConfiguration(string(c.Request.Header.Method()) == "PATCH", body, string(c.Request.Header.Peek("If-Match")), settleBy)
	if status == 200 {
		h.waitFrontsHold(h.State().Slot, min(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.1), time.Until(until)/2))
		transport.WriteJSON(c, 200, map[string]int64{"Version": text.version})
		return
	}
	events.Log(events.ConfigRejected, "status", status, "why", text.why)
	switch status {
	case 503:
		h.host.WriteUnavailable(c, text.why)
		return
	case 412:
		c.Response.Header.Set("ETag", strconv.FormatInt(text.version, 10))
	}
	transport.WriteError(c, status, text.why)
}

// changeResult is how a change ended: version is its own, or the current one where it lost.
type changeResult struct {
	version int64
	why     string
}

// staleBase is a change that builds on another version than the current one.
func staleBase(current int64) changeResult {
	return changeResult{current, "version " + strconv.FormatInt(current, 10) + " is current"}
}

// changeConfiguration settles a PUT, or a PATCH: that is merged here into a whole version,
// on top of the one it builds on.
func (h *Server) changeConfiguration(isPatch bool, body, match string, until time.Time) (int, changeResult) {
	var version int64
	var patch *config.Patch
	sum := consensus.Fingerprint(body)
	if isPatch {
		p, err := config.ParsePatch([]byte(body))
		if err != nil {
			return 400, changeResult{why: err.Error()}
		}
		version, patch, sum = p.Version, p, consensus.Fingerprint("PATCH\n"+body)
	} else {
		conf, err := config.ParseConfiguration([]byte(body))
		if err != nil {
			return 400, changeResult{why: err.Error()}
		}
		version = conf.Version
	}
	base, err := strconv.ParseInt(strings.Trim(strings.TrimPrefix(strings.TrimSpace(match), "W/"), "\""), 10, 64)
	if err != nil || base < 0 {
		return 400, changeResult{why: "If-Match must hold the version that this one builds on"}
	}
	if version <= base {
		return 400, changeResult{why: "Version is not above the one it builds on"}
	}
	status, end := h.decideConfiguration(&consensus.Value{Version: version, BaseVersion: base, Body: body, RequestFingerprint: sum}, patch, until)
	if status != 200 {
		return status, end
	}
	// Not under the lock of proposals: a node that is to vote must be let in meanwhile.
	if !h.waitReplicated(until) {
		return 503, changeResult{why: "too few nodes hold it yet"}
	}
	return 200, changeResult{version: version}
}

// decideConfiguration has a configuration decided, merged from a patch where there is one.
func (h *Server) decideConfiguration(own *consensus.Value, patch *config.Patch, until time.Time) (int, changeResult) {
	h.proposalLock.Lock()
	defer h.proposalLock.Unlock()
	merged := patch == nil
	for try := 0; ; try++ {
		h.proposalLock.YieldToUrgent()
		s := h.State()
		switch {
		case s.HasApplied(own.Version, own.BaseVersion, own.RequestFingerprint):
			return 200, changeResult{}
		case own.BaseVersion < s.Version:
			return 412, staleBase(s.Version)
		case time.Now().After(until):
			return 503, changeResult{why: "no majority agreed in time"}
		case h.isolated():
			return 503, changeResult{why: "no majority can be reached"}
		case own.BaseVersion > s.Version:
			// This node may be behind: whoever knows more will say so.
			fresh, ok := h.readDuringProposal(until)
			if ok && fresh.Version < own.BaseVersion {
				return 412, staleBase(fresh.Version)
			}
			if !ok {
				h.backOff(try)
			}
			continue
		}
		if !merged {
			// A version has one body, so it is merged once.
			whole, err := patch.Apply([]byte(s.Body))
			if err == nil {
				_, err = config.ParseConfiguration(whole)
			}
			if err != nil {
				return 400, changeResult{why: err.Error()}
			}
			own.Body, merged = string(whole), true
		}
		if !h.propose(s, own) {
			h.backOff(try)
		}
	}
}

// readDuringProposal is a read in the middle of settling an order, no longer than that may take.
func (h *Server) readDuringProposal(until time.Time) (consensus.State, bool) {
	return h.readQuorum(min(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.3), time.Until(until)))
}

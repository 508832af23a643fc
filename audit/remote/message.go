package remote

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit"
)

// The paths of an auditor.
const (
	// PathAudit answers a GET with an [Audit].
	PathAudit = "/audit"
	// PathUsage answers a GET with an [audit.Usage].
	PathUsage     = "/audit/usage"
	PathSubmitted = "/audit/asked"
	PathAnswered  = "/audit/answered"
	PathCutOff    = "/audit/cut-off"
	PathInForce   = "/audit/in-force"
	// PathClose judges the callers without an answer, see [audit.Auditor.Close].
	PathClose = "/audit/close"
)

// Audit is what an auditor has found up to now.
type Audit struct {
	audit.Result
	Usage audit.Usage `json:"usage"`
}

// Submitted tells of a request before it is sent for the first time.
type Submitted struct {
	Key lovagestand.RequestKey `json:"key"`
	// Due is the body of the whole answer.
	Due []byte `json:"due"`
}

// Answered tells what the caller of a key was told.
type Answered struct {
	At     time.Time              `json:"at"`
	Key    lovagestand.RequestKey `json:"key"`
	Answer lovagestand.Answer     `json:"answer"`
}

// CutOff tells of a request that a planned stop broke off.
type CutOff struct {
	At       time.Time              `json:"at"`
	Key      lovagestand.RequestKey `json:"key"`
	Instance string                 `json:"instance"`
	Reason   string                 `json:"reason"`
}

// InForce tells which revision of the tables an instance says is in force.
type InForce struct {
	At       time.Time            `json:"at"`
	Instance string               `json:"instance"`
	Revision lovagestand.Revision `json:"revision"`
}

// Close ends an audit.
type Close struct {
	At time.Time `json:"at"`
}

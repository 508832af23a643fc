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
	// PathClose ends the audit, see [audit.Auditor.Close].
	PathClose = "/audit/close"
)

// Audit holds the violations found up to now and the use of the workers.
type Audit struct {
	audit.Result
	Usage audit.Usage `json:"usage"`
}

// Submitted is the message of [Client.Submitted].
type Submitted struct {
	Key lovagestand.RequestKey `json:"key"`
	// Expected is the body of the complete answer.
	Expected []byte `json:"due"`
}

// Answered is the message of [Client.Answered].
type Answered struct {
	At     time.Time              `json:"at"`
	Key    lovagestand.RequestKey `json:"key"`
	Answer lovagestand.Answer     `json:"answer"`
}

// CutOff is the message of [Client.CutOff].
type CutOff struct {
	At       time.Time              `json:"at"`
	Key      lovagestand.RequestKey `json:"key"`
	Instance string                 `json:"instance"`
	Reason   string                 `json:"reason"`
}

// InForce is the message of [Client.InForce].
type InForce struct {
	At       time.Time            `json:"at"`
	Instance string               `json:"instance"`
	Revision lovagestand.Revision `json:"revision"`
}

// Close is the message of [Client.Close].
type Close struct {
	At time.Time `json:"at"`
}

package credential

// Rejection is the reason for which the key of a call is not accepted. Its text is the
// kind in metrics and logs.
type Rejection string

// The reasons for which a key is not accepted.
const (
	// NotRejected means that the key is accepted.
	NotRejected Rejection = ""
	// RejectionMissing means that the call has no Authorization header.
	RejectionMissing Rejection = "missing"
	// RejectionMalformed means that the header does not have the form "Token KEY", or
	// that there are several of them.
	RejectionMalformed Rejection = "malformed"
	// RejectionUnknown means that no team has the key in the version in force: it was
	// withdrawn or never issued.
	RejectionUnknown Rejection = "unknown"
	// RejectionUnconfirmed means that the store has not confirmed the version in force
	// for too long, so that the key may have been withdrawn.
	RejectionUnconfirmed Rejection = "unconfirmed"
)

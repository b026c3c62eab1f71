package intake

// Verdict is what becomes of a new flow.
type Verdict uint8

const (
	// Take means that the flow is placed now.
	Take Verdict = iota
	// Wait means that the flow is kept until Next returns it.
	Wait
	// Refuse means that the flow is placed nowhere and its caller is told so.
	Refuse
)

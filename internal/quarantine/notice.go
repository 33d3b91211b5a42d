package quarantine

import "time"

// Notice is a message about crashes from one node to another. Ages are relative to the
// time of sending, so that the nodes' clocks need not agree.
type Notice struct {
	Crashes []Crash `cbor:"c,omitempty"`
	// Completed lists requests that completed after they had run at the time of a crash.
	Completed []Completion `cbor:"d,omitempty"`
	// Blocks lists the blocked requests.
	Blocks []Block `cbor:"q,omitempty"`
}

// Empty reports whether the notice has no content.
func (n *Notice) Empty() bool {
	return len(n.Crashes) == 0 && len(n.Completed) == 0 && len(n.Blocks) == 0
}

// Crash is the end of a target's process, as reported by its own node.
type Crash struct {
	// ID identifies the crash.
	ID uint64 `cbor:"i"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"a"`
	// Answered reports whether the target had answered requests since its start. A
	// target that never did may crash under any request.
	Answered bool `cbor:"p,omitempty"`
	// Suspects lists the requests that were running at the target, without duplicates.
	Suspects []Fingerprint `cbor:"s"`
}

// Completion reports that a request completed.
type Completion struct {
	Request Fingerprint `cbor:"r"`
	// Age is the time since the request completed.
	Age time.Duration `cbor:"a"`
}

// Block reports that a request is blocked.
type Block struct {
	Request Fingerprint `cbor:"r"`
	// Age is the time since its last crash.
	Age time.Duration `cbor:"a"`
	// Count is how often the request has been blocked.
	Count int `cbor:"n"`
}

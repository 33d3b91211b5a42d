package quarantine

import "time"

// Notice is what one node tells another of crashes. Ages count from when it is sent, so
// that no two clocks need agree.
type Notice struct {
	Crashes []Crash `cbor:"c,omitempty"`
	// Completed are requests that ran to their end after they had run beside a crash.
	Completed []Completion `cbor:"d,omitempty"`
	// Blocks are requests that are kept from targets.
	Blocks []Block `cbor:"q,omitempty"`
}

// Empty reports whether the notice tells nothing.
func (n *Notice) Empty() bool {
	return len(n.Crashes) == 0 && len(n.Completed) == 0 && len(n.Blocks) == 0
}

// Crash is the end of a target's process, told by its own node.
type Crash struct {
	// ID tells crashes apart.
	ID  uint64        `cbor:"i"`
	Age time.Duration `cbor:"a"`
	// Answered says that the target had answered requests since its start. One that never did
	// may crash under any request.
	Answered bool `cbor:"p,omitempty"`
	// Suspects are the requests that ran there, each once.
	Suspects []Fingerprint `cbor:"s"`
}

// Completion tells that a request ran to its end.
type Completion struct {
	Request Fingerprint   `cbor:"r"`
	Age     time.Duration `cbor:"a"`
}

// Block keeps a request from targets.
type Block struct {
	Request Fingerprint `cbor:"r"`
	// Age is the time since the last crash under it.
	Age time.Duration `cbor:"a"`
	// Times counts how often it was blocked.
	Times int `cbor:"n"`
}

package port

// Sent is a message that says which VM it comes from. Adapters compare that with
// what the other side has proven to be.
type SenderMessage interface {
	// Sender is the id of the VM, or empty when the message does not say.
	Sender() string
}

// Sender implements Sent.
func (m Heartbeat) Sender() string { return m.From.VM.ID }

// Sender implements Sent.
func (m Announce) Sender() string { return m.From }

// Sender implements Sent.
func (m ManifestRequest) Sender() string { return m.From }

// Sender implements Sent.
func (m PartsRequest) Sender() string { return m.From }

// Sender implements Sent.
func (m Gossip) Sender() string { return m.From }

// Sender implements Sent.
func (m ProbeRequest) Sender() string { return m.From }

// Sender implements Sent.
func (m ProbeReply) Sender() string { return m.From }

// Sender implements Sent.
func (m SyncRequest) Sender() string { return m.From }

// Sender implements Sent.
func (m SyncReply) Sender() string { return m.From }

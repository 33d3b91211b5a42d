package port

// SenderMessage is a message that contains the id of the VM that sent it. Adapters
// compare it with the authenticated identity of the peer.
type SenderMessage interface {
	// Sender returns the id of the sending VM, or an empty string if the message
	// contains none.
	Sender() string
}

// Sender implements SenderMessage.
func (m Heartbeat) Sender() string { return m.From.VM.ID }

// Sender implements SenderMessage.
func (m Announce) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m ManifestRequest) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m PartsRequest) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m Gossip) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m ProbeRequest) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m ProbeReply) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m SyncRequest) Sender() string { return m.From }

// Sender implements SenderMessage.
func (m SyncReply) Sender() string { return m.From }

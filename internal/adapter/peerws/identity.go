package peerws

import (
	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// ErrWrongSender says that a message names another VM than the one whose
// certificate opened the connection.
var ErrWrongSender = errors.New("message is not from the VM that it names")

// checkSender holds a peer to its certificate. A process with a wrong id in its
// settings, or one taken over, could else say goodbye in another VM's name, and
// that VM would lose its work. What a peer passes on about third VMs is its word
// only; those refute what is wrong.
func checkSender(proven string, message port.Message) error {
	sent, ok := message.(port.SenderMessage)
	if !ok || sent.Sender() == "" || sent.Sender() == proven {
		return nil
	}
	return errors.Wrapf(ErrWrongSender, "%q speaks as %q", proven, sent.Sender())
}

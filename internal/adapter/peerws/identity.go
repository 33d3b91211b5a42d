package peerws

import (
	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// ErrWrongSender means that the sender given in a message is not the VM whose certificate
// authenticated the connection.
var ErrWrongSender = errors.New("message is not from the VM that it names")

// checkSender checks that the sender given in a message is the authenticated peer. Otherwise,
// a compromised process, or one with a wrong id in its settings, could announce the
// departure of another VM, which would then receive no more requests. Records of third VMs
// in a message are not checked; a VM corrects wrong records of itself.
func checkSender(peer string, message port.Message) error {
	sent, ok := message.(port.SenderMessage)
	if !ok || sent.Sender() == "" || sent.Sender() == peer {
		return nil
	}
	return errors.Wrapf(ErrWrongSender, "%q speaks as %q", peer, sent.Sender())
}

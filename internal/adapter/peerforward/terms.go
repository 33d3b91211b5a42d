package peerforward

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// headerMeta contains the call's metadata for the owner node, in addition to the HTTP
// request. It is a single header, because net/http needs several allocations for each
// header of each request.
const headerMeta = callhttp.HeaderPrefix + "Terms"

// fieldSeparator can't occur in an escaped field, and HTTP does not trim it.
const fieldSeparator = ";"

// chainSeparator separates the services of a chain.
const chainSeparator = ","

// The metadata fields, in their order in the header. Names are escaped as in a query.
const (
	fieldCustomer = iota
	fieldRoute
	fieldService
	fieldEntry
	fieldVersion
	fieldChain
	fieldNoWait
	fieldBudget
	fieldStall
	numFields
)

// encodeMeta encodes the metadata of a call. It contains the remaining time instead of the
// deadline, because the VMs' clocks may differ.
func encodeMeta(call *port.Call, now time.Time) string {
	fields := [numFields]string{
		fieldCustomer: url.QueryEscape(call.Customer),
		fieldRoute:    url.QueryEscape(call.Route),
		fieldService:  url.QueryEscape(call.Service),
		fieldEntry:    url.QueryEscape(call.Entry),
		fieldVersion:  call.Version.String(),
		fieldChain:    url.QueryEscape(strings.Join(call.Chain, chainSeparator)),
		fieldNoWait:   strconv.FormatBool(call.NoWait),
		fieldBudget:   callhttp.FormatMillis(ownerBudget(call.Deadline.Sub(now))),
		fieldStall:    callhttp.FormatMillis(call.StallTimeout),
	}
	return strings.Join(fields[:], fieldSeparator)
}

// decodeMeta decodes the metadata into the call.
func decodeMeta(text string, now time.Time, call *port.Call) error {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != numFields {
		return errors.Errorf("%d terms in place of %d", len(fields), numFields)
	}
	for i, dst := range [...]*string{
		fieldCustomer: &call.Customer, fieldRoute: &call.Route, fieldService: &call.Service, fieldEntry: &call.Entry,
	} {
		value, err := url.QueryUnescape(fields[i])
		if err != nil {
			return errors.Wrapf(err, "term %d", i)
		}
		*dst = value
	}
	if err := decodeChain(fields[fieldChain], call); err != nil {
		return err
	}
	return decodeValues(fields, now, call)
}

func decodeChain(text string, call *port.Call) error {
	chain, err := url.QueryUnescape(text)
	if err != nil {
		return errors.Wrap(err, "chain")
	}
	if chain != "" {
		call.Chain = strings.Split(chain, chainSeparator)
	}
	return nil
}

func decodeValues(fields []string, now time.Time, call *port.Call) error {
	var err error
	if call.Version, err = snapshot.ParseVersion(fields[fieldVersion]); err != nil {
		return errors.Wrap(err, "version")
	}
	if call.NoWait, err = strconv.ParseBool(fields[fieldNoWait]); err != nil {
		return errors.Wrap(err, "no-wait")
	}
	budget, err := callhttp.ParseMillis(fields[fieldBudget])
	if err != nil {
		return errors.Wrap(err, "budget")
	}
	call.Deadline = now.Add(budget)
	call.StallTimeout, err = callhttp.ParseMillis(fields[fieldStall])
	return errors.Wrap(err, "stall")
}

const (
	// replyDivisor sets the fraction of the remaining time, one tenth, that is
	// reserved for sending the owner's response to the entry node.
	replyDivisor = 10
	// maxReplyTime is the maximum time reserved for that: a round trip between
	// regions and the delays of a busy VM.
	maxReplyTime = 100 * time.Millisecond
)

// ownerBudget returns the time that the owner may take until the first byte of the
// response. If the owner timed out exactly at the deadline, its refusal would reach the
// entry node only after the entry node's own timeout, and the outcome of a request that
// never left the owner's queue would be unknown.
func ownerBudget(timeLeft time.Duration) time.Duration {
	return timeLeft - min(timeLeft/replyDivisor, maxReplyTime)
}

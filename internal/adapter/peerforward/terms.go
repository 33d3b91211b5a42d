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

// headerTerms carries what the owner node must know of a call besides its HTTP
// request. It is one header and not one for each term: net/http spends several
// allocations on each header of each request.
const headerTerms = callhttp.HeaderPrefix + "Terms"

// termSeparator can stand in no escaped term, and HTTP does not trim it.
const termSeparator = ";"

// chainSeparator stands between the services of a chain.
const chainSeparator = ","

// The terms, in their order in the header. Names are escaped as in a query.
const (
	termCustomer = iota
	termRoute
	termService
	termEntry
	termVersion
	termChain
	termNoWait
	termBudget
	termStall
	termCount
)

// encodeTerms renders the terms. What is left of the deadline travels, not the
// deadline itself: the VMs' clocks need not agree.
func encodeTerms(call *port.Call, now time.Time) string {
	terms := [termCount]string{
		termCustomer: url.QueryEscape(call.Customer),
		termRoute:    url.QueryEscape(call.Route),
		termService:  url.QueryEscape(call.Service),
		termEntry:    url.QueryEscape(call.Entry),
		termVersion:  call.Version.String(),
		termChain:    url.QueryEscape(strings.Join(call.Chain, chainSeparator)),
		termNoWait:   strconv.FormatBool(call.NoWait),
		termBudget:   callhttp.FormatMillis(ownerBudget(call.Deadline.Sub(now))),
		termStall:    callhttp.FormatMillis(call.StallTimeout),
	}
	return strings.Join(terms[:], termSeparator)
}

// decodeTerms reads the terms into the call.
func decodeTerms(text string, now time.Time, call *port.Call) error {
	terms := strings.Split(text, termSeparator)
	if len(terms) != termCount {
		return errors.Errorf("%d terms in place of %d", len(terms), termCount)
	}
	for i, into := range [...]*string{
		termCustomer: &call.Customer, termRoute: &call.Route, termService: &call.Service, termEntry: &call.Entry,
	} {
		value, err := url.QueryUnescape(terms[i])
		if err != nil {
			return errors.Wrapf(err, "term %d", i)
		}
		*into = value
	}
	if err := decodeChain(terms[termChain], call); err != nil {
		return err
	}
	return decodeNumbers(terms, now, call)
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

func decodeNumbers(terms []string, now time.Time, call *port.Call) error {
	var err error
	if call.Version, err = snapshot.ParseVersion(terms[termVersion]); err != nil {
		return errors.Wrap(err, "version")
	}
	if call.NoWait, err = strconv.ParseBool(terms[termNoWait]); err != nil {
		return errors.Wrap(err, "no-wait")
	}
	budget, err := callhttp.ParseMillis(terms[termBudget])
	if err != nil {
		return errors.Wrap(err, "budget")
	}
	call.Deadline = now.Add(budget)
	call.StallTimeout, err = callhttp.ParseMillis(terms[termStall])
	return errors.Wrap(err, "stall")
}

const (
	// replyShare is the part of what is left of a deadline that is kept for the
	// owner's answer to come back, and replyMax its bound: a round trip between
	// regions and the delays of a busy VM.
	replyShare = 10
	replyMax   = 100 * time.Millisecond
)

// ownerBudget is how long the owner may take for the first byte. An owner that
// gave up at the very deadline would be heard only after the entry's own timer
// had run out: a request that never left the queue would end as unknown.
func ownerBudget(left time.Duration) time.Duration {
	return left - min(left/replyShare, replyMax)
}

package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/quarantine"
)

// Headers between nodes.
const (
	headerTerms = callhttp.HeaderPrefix + "Terms"
	headerLoad  = callhttp.HeaderPrefix + "Load"
)

const termSeparator = ";"

// terms are what the owner node must know of a request besides its HTTP form.
type terms struct {
	// attempt is unique among all attempts of all nodes.
	attempt string
	route   string
	// rank orders requests that wait for a slot, 0 first.
	rank int
	// urgency orders those of one rank, the highest first.
	urgency int
	// budget is what is left until nobody wants the answer any more.
	budget time.Duration
	// wait is how long the request may wait for a slot.
	wait time.Duration
	// wanted is in which time the answer is worth its full credit or, once that
	// is over, anything.
	wanted time.Duration
	// size is how many bytes the answer is expected to have.
	size int
	// revision is the platform's revision of the target's entry by which the
	// target was chosen.
	revision uint64
	// repeated is the chance that the run is a repeat, so that its calls count
	// as repeats where they arrive.
	repeated float64
	// fingerprint is that of the request.
	fingerprint quarantine.Fingerprint
	// repeatable says that the request may run more than once; only the entry
	// node needs it.
	repeatable bool
}

func (t *terms) encode() string {
	return strings.Join([]string{
		url.QueryEscape(t.attempt), url.QueryEscape(t.route), strconv.Itoa(t.rank),
		callhttp.FormatMillis(t.budget), callhttp.FormatMillis(t.wait), strconv.Itoa(t.size),
		strconv.FormatUint(t.revision, 10), strconv.Itoa(t.urgency),
		callhttp.FormatMillis(t.wanted), strconv.FormatFloat(t.repeated, 'f', 2, 64),
		t.fingerprint.String(),
	}, termSeparator)
}

const termCount = 11

func decodeTerms(text string) (terms, error) {
	var t terms
	parts := strings.Split(text, termSeparator)
	if len(parts) != termCount {
		return t, errors.Errorf("%d terms in place of %d", len(parts), termCount)
	}
	var errs [termCount]error
	t.attempt, errs[0] = url.QueryUnescape(parts[0])
	t.route, errs[1] = url.QueryUnescape(parts[1])
	t.rank, errs[2] = strconv.Atoi(parts[2])
	t.budget, errs[3] = callhttp.ParseMillis(parts[3])
	t.wait, errs[4] = callhttp.ParseMillis(parts[4])
	t.size, errs[5] = strconv.Atoi(parts[5])
	t.revision, errs[6] = strconv.ParseUint(parts[6], 10, 64)
	t.urgency, errs[7] = strconv.Atoi(parts[7])
	t.wanted, errs[8] = callhttp.ParseMillis(parts[8])
	t.repeated, errs[9] = strconv.ParseFloat(parts[9], 64)
	t.fingerprint, errs[10] = quarantine.ParseFingerprint(parts[10])
	for i, err := range errs {
		if err != nil {
			return t, errors.Wrapf(err, "term %d", i)
		}
	}
	return t, nil
}

// loadWord is what an owner node says of its target with each answer.
type loadWord struct {
	placement.Load
	// held is how long the target held this request, spent how long this node
	// took for it in all, up to the answer's header.
	held, spent time.Duration
}

func (l *loadWord) write(header http.Header) {
	header[headerLoad] = []string{strings.Join([]string{
		strconv.Itoa(l.Running), strconv.Itoa(l.Waiting), strconv.Itoa(l.Slots),
		strconv.FormatInt(l.Hold.Microseconds(), 10), strconv.FormatFloat(l.FailureRate, 'f', 2, 64),
		strconv.FormatInt(l.held.Microseconds(), 10), strconv.FormatInt(l.spent.Microseconds(), 10),
		strconv.FormatInt(l.LinkWait.Microseconds(), 10), strconv.FormatInt(int64(l.LinkRate), 10),
	}, termSeparator)}
}

const loadCount = 9

// readLoad reads what write wrote; false when there is nothing readable.
func readLoad(header http.Header) (loadWord, bool) {
	var l loadWord
	parts := strings.Split(header.Get(headerLoad), termSeparator)
	if len(parts) != loadCount {
		return l, false
	}
	var numbers [loadCount]float64
	for i, part := range parts {
		number, err := strconv.ParseFloat(part, 64)
		if err != nil || number < 0 {
			return l, false
		}
		numbers[i] = number
	}
	micros := func(i int) time.Duration { return time.Duration(numbers[i]) * time.Microsecond }
	l.Running, l.Waiting, l.Slots = int(numbers[0]), int(numbers[1]), int(numbers[2])
	l.Hold, l.FailureRate = micros(3), numbers[4]
	l.held, l.spent = micros(5), micros(6)
	l.LinkWait, l.LinkRate = micros(7), numbers[8]
	return l, true
}

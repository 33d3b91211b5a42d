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
	"tamarackquay/internal/targetreport"
)

// Headers exchanged between nodes: attemptMeta in requests, loadReport in responses.
const (
	headerMeta = callhttp.HeaderPrefix + "Terms"
	headerLoad = callhttp.HeaderPrefix + "Load"
)

const fieldSeparator = ";"

// attemptMeta is the metadata that the entry node sends to the owner node with each
// attempt, in addition to the HTTP request.
type attemptMeta struct {
	// attemptID identifies the attempt at the owner node while it waits and runs there. The
	// owner node refuses an attempt as a duplicate while another one with the same id waits
	// or runs.
	attemptID string
	route     string
	// rank orders requests that wait for a slot; 0 comes first.
	rank int
	// urgency orders requests of the same rank; the highest comes first.
	urgency int
	// budget is the time left until the deadline, after which the response is of no use.
	budget time.Duration
	// maxWait is the maximum time that the request may wait for a slot.
	maxWait time.Duration
	// dueIn is the time left to meet the target latency or, once that has passed, the
	// deadline.
	dueIn time.Duration
	// responseSize is the expected size of the response in bytes.
	responseSize int
	// revision is the platform's revision of the target entry used to choose the target.
	revision uint64
	// retryProbability is the probability that this run is a retry, so that calls made by
	// it are counted as retries by their entry node.
	retryProbability float64
	// fingerprint identifies the content of the request.
	fingerprint quarantine.Fingerprint
	// retryable reports whether the request may run more than once. It is used by the
	// entry node only and not sent.
	retryable bool
	// fromPeer is set by the owner node for requests of other nodes. It is not sent.
	fromPeer bool
}

func (m *attemptMeta) encode() string {
	return strings.Join([]string{
		url.QueryEscape(m.attemptID), url.QueryEscape(m.route), strconv.Itoa(m.rank),
		callhttp.FormatMillis(m.budget), callhttp.FormatMillis(m.maxWait), strconv.Itoa(m.responseSize),
		strconv.FormatUint(m.revision, 10), strconv.Itoa(m.urgency),
		callhttp.FormatMillis(m.dueIn), strconv.FormatFloat(m.retryProbability, 'f', 2, 64),
		m.fingerprint.String(),
	}, fieldSeparator)
}

// metaFields is the number of fields of an encoded attemptMeta.
const metaFields = 11

func decodeMeta(text string) (attemptMeta, error) {
	var meta attemptMeta
	parts := strings.Split(text, fieldSeparator)
	if len(parts) != metaFields {
		return meta, errors.Errorf("%d terms in place of %d", len(parts), metaFields)
	}
	var errs [metaFields]error
	meta.attemptID, errs[0] = url.QueryUnescape(parts[0])
	meta.route, errs[1] = url.QueryUnescape(parts[1])
	meta.rank, errs[2] = strconv.Atoi(parts[2])
	meta.budget, errs[3] = callhttp.ParseMillis(parts[3])
	meta.maxWait, errs[4] = callhttp.ParseMillis(parts[4])
	meta.responseSize, errs[5] = strconv.Atoi(parts[5])
	meta.revision, errs[6] = strconv.ParseUint(parts[6], 10, 64)
	meta.urgency, errs[7] = strconv.Atoi(parts[7])
	meta.dueIn, errs[8] = callhttp.ParseMillis(parts[8])
	meta.retryProbability, errs[9] = strconv.ParseFloat(parts[9], 64)
	meta.fingerprint, errs[10] = quarantine.ParseFingerprint(parts[10])
	for i, err := range errs {
		if err != nil {
			return meta, errors.Wrapf(err, "term %d", i)
		}
	}
	return meta, nil
}

// loadReport is the load of a target, sent by its owner node with each response.
type loadReport struct {
	placement.Load
	// target is what the target has reported about itself in its responses.
	target targetreport.Report
	// holdTime is how long the target held this request, at its mean speed if it reports its
	// slowdown. nodeTime is how long the owner node took in total, until it had the response
	// header.
	holdTime, nodeTime time.Duration
}

func (r *loadReport) write(header http.Header) {
	writeTargetReport(header, r.target)
	writeTargetSpeed(header, &r.Load)
	header[headerLoad] = []string{strings.Join([]string{
		strconv.Itoa(r.Running), strconv.Itoa(r.Waiting), strconv.Itoa(r.Slots),
		strconv.FormatInt(r.Hold.Microseconds(), 10), strconv.FormatFloat(r.FailureRate, 'f', 2, 64),
		strconv.FormatInt(r.holdTime.Microseconds(), 10), strconv.FormatInt(r.nodeTime.Microseconds(), 10),
		strconv.FormatInt(r.LinkWait.Microseconds(), 10), strconv.FormatInt(int64(r.LinkRate), 10),
	}, fieldSeparator)}
}

// loadFields is the number of fields of an encoded loadReport.
const loadFields = 9

// readLoadReport parses the header written by write. It returns false if the header is
// missing or malformed.
func readLoadReport(header http.Header) (loadReport, bool) {
	var report loadReport
	parts := strings.Split(header.Get(headerLoad), fieldSeparator)
	if len(parts) != loadFields {
		return report, false
	}
	var numbers [loadFields]float64
	for i, part := range parts {
		number, err := strconv.ParseFloat(part, 64)
		if err != nil || number < 0 {
			return report, false
		}
		numbers[i] = number
	}
	micros := func(i int) time.Duration { return time.Duration(numbers[i]) * time.Microsecond }
	report.Running, report.Waiting, report.Slots = int(numbers[0]), int(numbers[1]), int(numbers[2])
	report.Hold, report.FailureRate = micros(3), numbers[4]
	report.holdTime, report.nodeTime = micros(5), micros(6)
	report.LinkWait, report.LinkRate = micros(7), numbers[8]
	report.target = parseTargetReport(header.Get(headerTargetReport))
	return report, true
}

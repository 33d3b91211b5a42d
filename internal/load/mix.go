package load

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Kind is a kind of request.
type Kind string

// The kinds.
const (
	// Tally is a small idempotent read.
	Tally Kind = "tally"
	// Return files a survey return. It is not idempotent and must run at most once.
	Return Kind = "return"
	// Archive is a large download that must arrive complete.
	Archive Kind = "archive"
)

// Kinds lists all kinds in the order in which they are reported.
var Kinds = []Kind{Tally, Return, Archive}

// Mix maps each kind to its weight.
type Mix map[Kind]int

// ParseMix parses a mix such as "tally=90,return=8,archive=2".
func ParseMix(text string) (Mix, error) {
	mix := Mix{}
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		weight, err := strconv.Atoi(number)
		if err != nil || weight < 0 {
			return nil, errors.Errorf("%q: write KIND=WEIGHT", part)
		}
		kind := Kind(strings.TrimSpace(name))
		if kind != Tally && kind != Return && kind != Archive {
			return nil, errors.Errorf("%q: the kinds are tally, return and archive", name)
		}
		mix[kind] = weight
	}
	return mix, nil
}

func (m Mix) total() int {
	total := 0
	for _, weight := range m {
		total += weight
	}
	return total
}

// pick returns the kind at a position of 0 to total-1.
func (m Mix) pick(position int) Kind {
	for _, kind := range Kinds {
		if position -= m[kind]; position < 0 {
			return kind
		}
	}
	return Tally
}

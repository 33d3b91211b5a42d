package node

import (
	"tamarackquay/internal/admission"
	"tamarackquay/internal/snapshot"
)

// newTerms returns the local target's admission terms from a snapshot: the
// grants of each contract for the service that runs on this VM.
func newTerms(current *snapshot.Snapshot, config Config) admission.Terms {
	terms := admission.Terms{Shares: map[string]admission.Share{}, QueuePerSlot: config.QueuePerSlot}
	service := current.Service(config.Self.Service)
	if service == nil {
		return terms
	}
	terms.Slots = service.Slots
	terms.LongBorrowLimit = service.LongBorrowLimitOrDefault()
	for i := range current.Set().Contracts {
		contract := &current.Set().Contracts[i]
		if grant := contract.Grant(service.Name); grant != nil {
			terms.Shares[contract.Customer] = admission.Share{
				Guaranteed: grant.Share, Limit: grant.Limit, LongLimit: grant.LongLimit,
			}
		}
	}
	return terms
}

package routing

import "tamarackquay/internal/contract"

// Within reports whether a route's spill lets a request go that far, for tools
// that explain a contract.
func Within(spill contract.Spill, distance Distance) bool { return within(spill, distance) }

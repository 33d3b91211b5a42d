package contract

import (
	"fmt"
	"slices"

	"tamarackquay/internal/admission"
)

func (c *checker) contracts() {
	customers := map[string]bool{}
	tokens := map[string]string{}
	for i := range c.set.Contracts {
		contract := &c.set.Contracts[i]
		place := c.places.Contract(i)
		c.name(place, "customer", contract.Customer)
		if customers[contract.Customer] {
			c.add(place, CodeDuplicate, "customer", "keep one contract per customer", "customer %q has two contracts", contract.Customer)
		}
		customers[contract.Customer] = true
		c.tokens(place, contract, tokens)
		c.classes(place, contract)
		c.grants(place, contract)
		c.routes(place, contract)
	}
}

func (c *checker) tokens(place Locator, contract *Contract, owners map[string]string) {
	if len(contract.TokenHashes) == 0 {
		c.add(place, CodeMissing, "token_hashes", "make one with 'tamarackctl token'", "no caller could prove itself")
	}
	for i, hash := range contract.TokenHashes {
		key := fmt.Sprintf("token_hashes[%d]", i)
		if !tokenPattern.MatchString(hash) {
			c.add(place, CodeBadToken, key, "write 64 lower-case hex digits", "not a SHA-256 digest")
		}
		if owner, taken := owners[hash]; taken {
			c.add(place, CodeDuplicate, key, "give each customer tokens of its own", "the token belongs to %q as well", owner)
		}
		owners[hash] = contract.Customer
	}
}

func (c *checker) classes(place Locator, contract *Contract) {
	if len(contract.Classes) == 0 {
		c.add(place, CodeMissing, "classes", "name at least one class", "a contract needs a class")
	}
	if len(contract.Classes) > admission.MaxClasses {
		c.add(place, CodeTooMany, "classes", fmt.Sprintf("merge classes until %d are left", admission.MaxClasses),
			"%d classes are named, %d can be ordered", len(contract.Classes), admission.MaxClasses)
	}
	for i, class := range contract.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.name(place, key, class)
		if slices.Index(contract.Classes, class) != i {
			c.add(place, CodeDuplicate, key, "name each class once", "class %q stands twice", class)
		}
	}
}

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
		locate := c.locations.Contract(i)
		c.name(locate, "customer", contract.Customer)
		if customers[contract.Customer] {
			c.add(locate, CodeDuplicate, "customer", "keep one contract per customer", "customer %q has two contracts", contract.Customer)
		}
		customers[contract.Customer] = true
		c.tokens(locate, contract, tokens)
		c.classes(locate, contract)
		c.grants(locate, contract)
		c.routes(locate, contract)
	}
}

func (c *checker) tokens(locate Locator, contract *Contract, owners map[string]string) {
	if len(contract.TokenHashes) == 0 {
		c.add(locate, CodeMissing, "token_hashes", "create one with 'tamarackctl token'", "without a token no caller can authenticate")
	}
	for i, hash := range contract.TokenHashes {
		key := fmt.Sprintf("token_hashes[%d]", i)
		if !tokenPattern.MatchString(hash) {
			c.add(locate, CodeBadToken, key, "write 64 lower-case hex digits", "not a SHA-256 digest")
		}
		if owner, exists := owners[hash]; exists {
			c.add(locate, CodeDuplicate, key, "give each customer tokens of its own", "the token also belongs to %q", owner)
		}
		owners[hash] = contract.Customer
	}
}

func (c *checker) classes(locate Locator, contract *Contract) {
	if len(contract.Classes) == 0 {
		c.add(locate, CodeMissing, "classes", "list at least one class", "a contract needs at least one class")
	}
	if len(contract.Classes) > admission.MaxClasses {
		c.add(locate, CodeTooMany, "classes", fmt.Sprintf("merge classes until %d are left", admission.MaxClasses),
			"%d classes are listed, at most %d are supported", len(contract.Classes), admission.MaxClasses)
	}
	for i, class := range contract.Classes {
		key := fmt.Sprintf("classes[%d]", i)
		c.name(locate, key, class)
		if slices.Index(contract.Classes, class) != i {
			c.add(locate, CodeDuplicate, key, "list each class once", "class %q is listed twice", class)
		}
	}
}

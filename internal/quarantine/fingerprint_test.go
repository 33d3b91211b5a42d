package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := func() *Content {
		return &Content{Method: "POST", Host: "h", URI: "/a/1?b", Length: 4, Body: []byte("body")}
	}
	want := FingerprintOf(base())
	for _, test := range []struct {
		desc   string
		change func(c *Content)
		same   bool
	}{
		{"no change", func(*Content) {}, true},
		{"another method", func(c *Content) { c.Method = "PUT" }, false},
		{"another host", func(c *Content) { c.Host = "i" }, false},
		{"another query", func(c *Content) { c.URI = "/a/1?c" }, false},
		{"another body", func(c *Content) { c.Body = []byte("bodY") }, false},
		{"a longer body with the same beginning", func(c *Content) { c.Length = 1 << 20 }, false},
		{"the same text split differently", func(c *Content) { c.Method, c.Host = "POSTh", "" }, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := base()
			test.change(c)
			assert.Equal(t, FingerprintOf(c) == want, test.same)
		})
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	for _, f := range []Fingerprint{0, 1, 1<<64 - 1} {
		got, err := ParseFingerprint(f.String())
		assert.NilError(t, err)
		assert.Equal(t, got, f)
	}
}

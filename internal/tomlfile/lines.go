package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps a key's dotted path, such as "grant[1].share", to its 1-based
// line in the source.
type Lines map[string]int

// Of returns the line of key or, when the key is absent, of its closest
// parent that is present; 0 when there is none.
func (l Lines) Of(key string) int {
	for key != "" {
		if line, ok := l[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// indexLines records the line of each key up to the first fault of syntax.
func indexLines(source []byte) Lines {
	lines := Lines{}
	counts := map[string]int{}
	prefix := ""
	var parser unstable.Parser
	parser.Reset(source)
	for parser.NextExpression() {
		node := parser.Expression()
		path, line := keyPath(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = qualify(path, counts)
			lines[prefix] = line
		case unstable.ArrayTable:
			base := qualify(path, counts)
			prefix = fmt.Sprintf("%s[%d]", base, counts[base])
			counts[base]++
			lines[prefix] = line
		case unstable.KeyValue:
			lines[join(prefix, strings.Join(path, "."))] = line
		}
	}
	return lines
}

// keyPath returns the parts of the node's key and the line of its last part.
func keyPath(parser *unstable.Parser, node *unstable.Node) ([]string, int) {
	var path []string
	line := 0
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		path = append(path, string(part.Data))
		line = parser.Shape(part.Raw).Start.Line
	}
	return path, line
}

// qualify writes path with the current position of each array of tables that
// it passes through: under the second [[grant]], "grant.x" is "grant[1].x".
func qualify(path []string, counts map[string]int) string {
	name := ""
	for i, part := range path {
		name = join(name, part)
		last := i == len(path)-1
		if n := counts[name]; n > 0 && !last {
			name = fmt.Sprintf("%s[%d]", name, n-1)
		}
	}
	return name
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

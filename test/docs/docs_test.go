// Package docs checks that the pages tell what the code does: every metric,
// setting, finding and reason is documented, every command that a page shows
// exists, and no link leads nowhere.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/settings"
	"tamarackquay/internal/command/root"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/explain"
	"tamarackquay/internal/load/cli"
	"tamarackquay/internal/port"
)

// top is the root of the repository.
const top = "../.."

func read(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(top, name))
	assert.NilError(t, err)
	return string(text)
}

// constants returns the string constants of a named type, from the source of
// all packages: a list kept by hand would miss what it should find.
func constants(t *testing.T, typeName string) []string {
	t.Helper()
	var values []string
	walk(t, "internal", ".go", func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && typeOf(spec.Type) == typeName {
				values = append(values, literals(spec)...)
			}
			return true
		})
	})
	assert.Check(t, len(values) > 3, "%s: %v", typeName, values)
	return values
}

func typeOf(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

func literals(spec *ast.ValueSpec) []string {
	var values []string
	for _, value := range spec.Values {
		if literal, ok := value.(*ast.BasicLit); ok {
			if text, err := strconv.Unquote(literal.Value); err == nil && text != "" {
				values = append(values, text)
			}
		}
	}
	return values
}

func walk(t *testing.T, dir, suffix string, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(top, dir), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, suffix) {
			visit(path)
		}
		return err
	})
	assert.NilError(t, err)
}

func TestConstantsAreDocumented(t *testing.T) {
	for _, test := range []struct{ typeName, page string }{
		{"Metric", "docs/METRICS.md"},
		{"Code", "docs/FINDINGS.md"},
		{"Reason", "docs/FINDINGS.md"},
		{"AuditKind", "docs/LOGS.md"},
		{"HealthState", "docs/LOGS.md"},
		{"Name", "docs/LOGS.md"},
		{"Ending", "docs/LOGS.md"},
	} {
		t.Run(test.typeName, func(t *testing.T) {
			page := read(t, test.page)
			for _, value := range constants(t, test.typeName) {
				assert.Check(t, strings.Contains(page, "`"+value+"`"), "%s does not name %s", test.page, value)
			}
		})
	}
}

func TestEveryReasonIsExplained(t *testing.T) {
	for _, reason := range constants(t, "Reason") {
		_, ok := explain.MeaningOf(port.Reason(reason))
		assert.Check(t, ok, "'tamarackctl explain --reason %s' has no answer", reason)
	}
}

// logKey matches a field of a log line where it is written.
var logKey = regexp.MustCompile(`\.(?:Str|Strs|Int|Int64|Uint64|Dur|Bool|Object|Float64)\("([a-z_]+)"`)

// A collector's queries name fields of log lines; a field that no page names is
// one that somebody made up beside the schema.
func TestLogFieldsAreInTheSchema(t *testing.T) {
	page := read(t, "docs/LOGS.md")
	for _, dir := range []string{"internal", "cmd"} {
		walk(t, dir, ".go", func(path string) {
			source, err := os.ReadFile(path)
			assert.NilError(t, err)
			for _, match := range logKey.FindAllStringSubmatch(string(source), -1) {
				assert.Check(t, strings.Contains(page, "`"+match[1]+"`"), "%s logs %s, which docs/LOGS.md lacks", path, match[1])
			}
		})
	}
}

// keys lists the TOML keys of a struct with their values, as dotted paths.
func keys(prefix string, value reflect.Value, visit func(key string, value any)) {
	for i := range value.NumField() {
		key, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("toml"), ",")
		switch field := value.Field(i); {
		case key == "" || key == "-":
		case field.Kind() == reflect.Struct:
			keys(prefix+key+".", field, visit)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			keys(prefix+key+".", reflect.New(field.Type().Elem()).Elem(), visit)
		default:
			visit(prefix+key, field.Interface())
		}
	}
}

// A setting's row is "| `key` | default | ...": an operator who trusts a stale
// default finds out in an outage.
func TestSettingsAreDocumentedWithTheirDefaults(t *testing.T) {
	page := read(t, "docs/SETTINGS.md")
	keys("", reflect.ValueOf(settings.Default()), func(key string, value any) {
		want := fmt.Sprintf("| `%s` | %s |", key, defaultText(value))
		assert.Check(t, strings.Contains(page, want), "docs/SETTINGS.md has no row beginning %s", want)
	})
}

func defaultText(value any) string {
	if reflect.ValueOf(value).IsZero() {
		return "-"
	}
	if text, ok := value.(interface{ MarshalText() ([]byte, error) }); ok {
		raw, _ := text.MarshalText()
		return fmt.Sprintf("`\"%s\"`", raw)
	}
	return fmt.Sprintf("`%#v`", value)
}

func TestContractKeysAreDocumented(t *testing.T) {
	page := read(t, "docs/CONTRACTS.md")
	keys("", reflect.ValueOf(contract.File{}), func(key string, _ any) {
		assert.Check(t, strings.Contains(page, "| `"+key+"` |"), "docs/CONTRACTS.md has no row for %s", key)
	})
}

// pages visits every page of the repository.
func pages(t *testing.T, visit func(path, text string)) {
	t.Helper()
	visitFile := func(path string) {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		visit(path, string(text))
	}
	walk(t, "docs", ".md", visitFile)
	for _, name := range []string{"README.md", "CHANGELOG.md", "CONTRIBUTING.md"} {
		visitFile(filepath.Join(top, name))
	}
}

// shown matches a command in a fenced block or in backquotes.
var shown = regexp.MustCompile("(?m)(?:^\\s*(?:\\$ )?(?:bin/)?|`)(tamarackctl|tamarackload) ([^`\\n]*)")

func TestCommandsInPagesExist(t *testing.T) {
	roots := map[string]*cobra.Command{"tamarackctl": root.New(), "tamarackload": cli.New(cli.Dependencies{})}
	for _, tree := range roots {
		tree.InitDefaultHelpFlag()
		tree.InitDefaultCompletionCmd()
	}
	count := 0
	pages(t, func(path, text string) {
		for _, match := range shown.FindAllStringSubmatch(strings.ReplaceAll(text, "\\\n", " "), -1) {
			count++
			checkCommand(t, path, roots[match[1]], match[2])
		}
	})
	assert.Check(t, count > 20, "%d commands found", count)
}

// end is where a shell would end the command.
var end = regexp.MustCompile(`[|>;&#].*`)

func checkCommand(t *testing.T, path string, tree *cobra.Command, line string) {
	t.Helper()
	words := strings.Fields(end.ReplaceAllString(line, ""))
	if len(words) == 0 {
		return
	}
	command, _, err := tree.Find(words[:1])
	if err != nil || command == tree {
		t.Errorf("%s shows %q: %s has no such subcommand", path, line, tree.Name())
		return
	}
	command.InitDefaultHelpFlag()
	for _, word := range words {
		name, ok := strings.CutPrefix(word, "--")
		name, _, _ = strings.Cut(name, "=")
		if ok && command.Flags().Lookup(strings.Trim(name, "[]()")) == nil {
			t.Errorf("%s shows %q: %s has no flag --%s", path, line, command.CommandPath(), name)
		}
	}
}

// Each subcommand is shown at work on some page, and its help has an example.
func TestEveryCommandIsShown(t *testing.T) {
	var all strings.Builder
	pages(t, func(_, text string) { all.WriteString(text) })
	for _, tree := range []*cobra.Command{root.New(), cli.New(cli.Dependencies{})} {
		for _, command := range tree.Commands() {
			assert.Check(t, strings.Contains(all.String(), command.CommandPath()), "no page shows %s", command.CommandPath())
			assert.Check(t, command.Example != "", "%s has no example", command.CommandPath())
			for _, match := range shown.FindAllStringSubmatch(command.Example, -1) {
				checkCommand(t, "the help of "+command.CommandPath(), tree, match[2])
			}
		}
	}
}

var link = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)

func TestLinksLeadSomewhere(t *testing.T) {
	pages(t, func(path, text string) {
		for _, match := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			assert.Check(t, err == nil, "%s links to %s", path, match[1])
		}
	})
}

package receiver

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
)

// Guards against a cause that appears in logs but has no explanation for operators,
// because a constant was added without an entry in Meanings.
func TestMeanings(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "causes.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Cause" {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		n++
		if Meanings[Cause(value)] == "" {
			t.Errorf("cause %q has no meaning", value)
		}
		return true
	})
	if n != len(Meanings) {
		t.Errorf("%d causes, %d meanings", n, len(Meanings))
	}
}

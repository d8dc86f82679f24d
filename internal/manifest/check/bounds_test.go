package check

import (
	"go/ast"
	"go/constant"
	"go/parser"
	"go/token"
	"go/types"
	"path/filepath"
	"testing"
)

// The check copies these constants of packages that do not export them. It must not go on with
// an old value after one was changed.
func TestBoundsAreThoseOfTheirSources(t *testing.T) {
	for _, c := range []struct {
		folder, name string
		want         int64
	}{
		{"../../cell", "maxWorkersAsked", maxWorkersAsked},
		{"../../cell", "ticketMargin", int64(ticketMargin)},
		{"../../cell", "classLongRunning", longRunningRank},
		{"../../cell", "classExpired", expiredRank},
		{"../../host", "repeatLookupTimeout", int64(admissionTime)},
		{"../../../platform", "responseMargin", int64(responseMargin)},
		{"../../workload", "jobIDDigits", jobIDDigits},
	} {
		if got := constantOf(t, c.folder, c.name); got != c.want {
			t.Errorf("%s of %s is %d, and %d here", c.name, c.folder, got, c.want)
		}
	}
}

// constantOf returns the value of a constant in the source of a package: a number, or a
// product of a number and a unit of package time.
func constantOf(t *testing.T, folder, constant string) int64 {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if v := constantIn(d, constant); v != nil {
				return valueOf(t, v)
			}
		}
	}
	t.Fatalf("%s has no constant %s", folder, constant)
	return 0
}

func constantIn(d ast.Decl, name string) ast.Expr {
	group, ok := d.(*ast.GenDecl)
	if !ok || group.Tok != token.CONST {
		return nil
	}
	for _, s := range group.Specs {
		spec := s.(*ast.ValueSpec)
		for i, n := range spec.Names {
			if n.Name == name && i < len(spec.Values) {
				return spec.Values[i]
			}
		}
	}
	return nil
}

func valueOf(t *testing.T, e ast.Expr) int64 {
	t.Helper()
	units := types.NewPackage("time", "time")
	for name, d := range map[string]int64{"Millisecond": 1e6, "Second": 1e9, "Minute": 60e9} {
		units.Scope().Insert(types.NewConst(token.NoPos, units, name, types.Typ[types.UntypedInt], constant.MakeInt64(d)))
	}
	scope := types.NewPackage("check", "check")
	scope.Scope().Insert(types.NewPkgName(token.NoPos, scope, "time", units))
	v, err := types.Eval(token.NewFileSet(), scope, token.NoPos, types.ExprString(e))
	if err != nil || v.Value == nil {
		t.Fatalf("%s: %v", types.ExprString(e), err)
	}
	n, exact := constant.Int64Val(constant.ToInt(v.Value))
	if !exact {
		t.Fatalf("%s is %v", types.ExprString(e), v.Value)
	}
	return n
}

package clockcheck

import (
	"fmt"
	"go/ast"
	"go/constant"
	"go/token"
	"go/types"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// finding is a decision on the wall clock.
type finding struct {
	function string // enclosing function, in the form of nameOf
	position token.Position
	what     string
}

func (f finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", filepath.Base(f.position.Filename), f.position.Line, f.function, f.what)
}

// symbol identifies a variable, field, parameter or function result. The types.Object of one declaration differs
// between the package checked from source and its importers, so a symbol is identified by file, line and name.
type symbol struct {
	file string
	line int
	name string
}

// analysis finds the symbols that contain readings of the wall clock in all functions, and the decisions that depend on
// them. It does not follow calls of interface methods and function values.
type analysis struct {
	module    string
	fileSet   *token.FileSet
	wall      map[symbol]bool
	changed   bool
	info      *types.Info
	function  *types.Func // whose body is being walked
	findings  []finding
	reporting bool
}

// analyze returns the findings in the given packages of a module.
func analyze(module string, pkgs []*packages.Package) []finding {
	a := &analysis{module: module, fileSet: pkgs[0].Fset, wall: map[symbol]bool{}}
	for a.changed = true; a.changed; {
		a.changed = false
		a.walk(pkgs)
	}
	a.reporting = true
	a.walk(pkgs)
	return a.findings
}

func (a *analysis) walk(pkgs []*packages.Package) {
	for _, pkg := range pkgs {
		a.info = pkg.TypesInfo
		for _, file := range pkg.Syntax {
			for _, decl := range file.Decls {
				a.function = nil
				if f, ok := decl.(*ast.FuncDecl); ok {
					a.function, _ = a.info.Defs[f.Name].(*types.Func)
				}
				ast.Inspect(decl, func(n ast.Node) bool { a.node(n, pkg); return true })
			}
		}
	}
}

func (a *analysis) node(n ast.Node, pkg *packages.Package) {
	switch n := n.(type) {
	case *ast.AssignStmt:
		a.assignments(n.Lhs, n.Rhs)
	case *ast.ValueSpec:
		names := make([]ast.Expr, len(n.Names))
		for i, name := range n.Names {
			names[i] = name
		}
		a.assignments(names, n.Values)
	case *ast.RangeStmt:
		if n.Value != nil && a.isWall(n.X) {
			a.mark(n.Value)
		}
	case *ast.CompositeLit:
		a.fields(n)
	case *ast.ReturnStmt:
		a.returned(n)
	case *ast.CallExpr:
		a.arguments(n)
		a.checkCall(n, pkg)
	case *ast.BinaryExpr:
		a.checkBinary(n, pkg)
	}
}

func (a *analysis) assignments(targets, values []ast.Expr) {
	if len(targets) == len(values) {
		for i, value := range values {
			if a.isWall(value) {
				a.mark(targets[i])
			}
		}
		return
	}
	if len(values) != 1 {
		return
	}
	if call, ok := ast.Unparen(values[0]).(*ast.CallExpr); ok {
		for i, target := range targets {
			if a.resultIsWall(call, i) {
				a.mark(target)
			}
		}
	}
}

func (a *analysis) fields(lit *ast.CompositeLit) {
	structure, _ := a.info.TypeOf(lit).Underlying().(*types.Struct)
	for i, element := range lit.Elts {
		pair, keyed := element.(*ast.KeyValueExpr)
		switch {
		case keyed && structure != nil && a.isWall(pair.Value):
			a.mark(pair.Key)
		case !keyed && structure != nil && a.isWall(element):
			a.add(a.symbolOf(structure.Field(i)))
		}
	}
}

func (a *analysis) returned(statement *ast.ReturnStmt) {
	if a.function == nil {
		return
	}
	if results := a.function.Signature().Results(); results.Len() != len(statement.Results) {
		return // a return of a function literal, or one with named results
	}
	for i, value := range statement.Results {
		if isTimeOrNumber(a.function.Signature().Results().At(i).Type()) && a.isWall(value) {
			a.add(a.resultOf(a.function, i))
		}
	}
}

func (a *analysis) arguments(call *ast.CallExpr) {
	callee := a.callee(call)
	if callee == nil || !a.inModule(callee) {
		return
	}
	parameters := callee.Signature().Params()
	fixedCount := parameters.Len() // number of parameters before a variadic one
	if callee.Signature().Variadic() {
		fixedCount--
	}
	for i, argument := range call.Args {
		if i < fixedCount && a.isWall(argument) {
			a.add(a.symbolOf(parameters.At(i)))
		}
	}
}

// mark records that the variable or field in an expression contains a reading of the wall clock.
func (a *analysis) mark(target ast.Expr) {
	switch target := ast.Unparen(target).(type) {
	case *ast.Ident:
		if object := a.info.ObjectOf(target); object != nil && isTimeOrNumber(element(object.Type())) {
			a.add(a.symbolOf(object))
		}
	case *ast.SelectorExpr:
		a.mark(target.Sel)
	case *ast.IndexExpr:
		a.mark(target.X)
	case *ast.StarExpr:
		a.mark(target.X)
	}
}

func (a *analysis) add(s symbol) {
	if s.name != "_" && !a.wall[s] {
		a.wall[s], a.changed = true, true
	}
}

func (a *analysis) symbolOf(object types.Object) symbol {
	position := a.fileSet.Position(object.Pos())
	return symbol{position.Filename, position.Line, object.Name()}
}

func (a *analysis) resultOf(function *types.Func, i int) symbol {
	s := a.symbolOf(function)
	s.name = fmt.Sprintf("%s#%d", s.name, i)
	return s
}

func (a *analysis) inModule(object types.Object) bool {
	return object.Pkg() != nil && (object.Pkg().Path() == a.module || strings.HasPrefix(object.Pkg().Path(), a.module+"/"))
}

func (a *analysis) callee(call *ast.CallExpr) *types.Func {
	var name *ast.Ident
	switch function := ast.Unparen(call.Fun).(type) {
	case *ast.Ident:
		name = function
	case *ast.SelectorExpr:
		name = function.Sel
	default:
		return nil
	}
	function, _ := a.info.Uses[name].(*types.Func)
	return function
}

// isWall reports whether an expression is a time without a monotonic reading or a number derived from one.
func (a *analysis) isWall(e ast.Expr) bool {
	switch e := ast.Unparen(e).(type) {
	case *ast.Ident:
		object := a.info.ObjectOf(e)
		return object != nil && a.wall[a.symbolOf(object)]
	case *ast.SelectorExpr:
		return a.fieldIsWall(e)
	case *ast.CallExpr:
		return a.resultIsWall(e, 0)
	case *ast.UnaryExpr:
		return a.isWall(e.X)
	case *ast.StarExpr:
		return a.isWall(e.X)
	case *ast.IndexExpr:
		return a.isWall(e.X)
	case *ast.BinaryExpr:
		x, y := a.isWall(e.X), a.isWall(e.Y)
		if e.Op == token.SUB && x && y {
			return false // a duration, which is reported where it is computed
		}
		return isArithmetic(e.Op) && (x || y)
	}
	return false
}

func (a *analysis) fieldIsWall(e *ast.SelectorExpr) bool {
	field, ok := a.info.ObjectOf(e.Sel).(*types.Var)
	if !ok {
		return false
	}
	if a.wall[a.symbolOf(field)] {
		return true
	}
	if !isTime(field.Type()) || !field.IsField() {
		return false
	}
	return !a.inModule(field) || a.isStored(e, field)
}

// isStored reports whether a selector refers to a field that is encoded as JSON.
func (a *analysis) isStored(e *ast.SelectorExpr, field *types.Var) bool {
	selection := a.info.Selections[e]
	if selection == nil {
		return false
	}
	owner := selection.Recv()
	for _, index := range selection.Index() {
		structure, ok := element(owner).Underlying().(*types.Struct)
		if !ok {
			return false
		}
		if structure.Field(index).Name() == field.Name() {
			return reflect.StructTag(structure.Tag(index)).Get("json") != ""
		}
		owner = structure.Field(index).Type()
	}
	return false
}

// Methods and functions of package time.
var (
	stripping = []string{"UTC", "Local", "In", "Round", "Truncate", "AddDate"}
	numbering = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano"}
	making    = []string{"Unix", "UnixMilli", "UnixMicro", "Date", "Parse", "ParseInLocation"}
	comparing = []string{"Sub", "Before", "After", "Equal", "Compare"}
	measuring = []string{"Since", "Until"}
	deadlines = []string{"SetDeadline", "SetReadDeadline", "SetWriteDeadline", "WithDeadline", "WithDeadlineCause"}
)

func (a *analysis) resultIsWall(call *ast.CallExpr, i int) bool {
	if kind := a.info.Types[call.Fun]; kind.IsType() {
		return a.isWall(call.Args[0])
	} else if kind.IsBuiltin() {
		return isTimeOrNumber(a.info.TypeOf(call)) && slices.ContainsFunc(call.Args, a.isWall)
	}
	callee := a.callee(call)
	if callee == nil {
		return false
	}
	if a.inModule(callee) {
		return a.wall[a.resultOf(callee, i)] && monotonic[nameOf(callee)] == ""
	}
	if isTimeMethod(callee) {
		receiver := call.Fun.(*ast.SelectorExpr).X
		name := callee.Name()
		return slices.Contains(stripping, name) || slices.Contains(numbering, name) || name == "Add" && a.isWall(receiver)
	}
	if callee.Pkg() != nil && callee.Pkg().Path() == "time" {
		return slices.Contains(making, callee.Name())
	}
	if callee.Name() == "ModTime" {
		return true
	}
	return callee.FullName() == "cmp.Or" && slices.ContainsFunc(call.Args, a.isWall)
}

func (a *analysis) checkCall(call *ast.CallExpr, pkg *packages.Package) {
	callee := a.callee(call)
	if callee == nil || a.inModule(callee) {
		return
	}
	name := callee.Name()
	switch {
	case isTimeMethod(callee) && slices.Contains(comparing, name):
		receiver := call.Fun.(*ast.SelectorExpr).X
		if a.isWall(receiver) || a.isWall(call.Args[0]) {
			a.report(call, pkg, "a time without its monotonic reading in "+name)
		}
	case callee.Pkg() != nil && callee.Pkg().Path() == "time" && slices.Contains(measuring, name),
		slices.Contains(deadlines, name):
		if slices.ContainsFunc(call.Args, a.isWall) {
			a.report(call, pkg, "a time without its monotonic reading in "+name)
		}
	}
}

func (a *analysis) checkBinary(e *ast.BinaryExpr, pkg *packages.Package) {
	x, y := a.isWall(e.X), a.isWall(e.Y)
	switch e.Op {
	case token.SUB:
		if x && y {
			a.report(e, pkg, "a difference of two readings of the wall clock")
		}
	case token.LSS, token.GTR, token.LEQ, token.GEQ:
		if x && !a.isZero(e.Y) || y && !a.isZero(e.X) {
			a.report(e, pkg, "a reading of the wall clock in a comparison")
		}
	}
}

func (a *analysis) isZero(e ast.Expr) bool {
	value := a.info.Types[e].Value
	return value != nil && value.Kind() == constant.Int && constant.Sign(value) == 0
}

func (a *analysis) report(n ast.Node, pkg *packages.Package, what string) {
	if !a.reporting {
		return
	}
	name := pkg.Name + ".init"
	if a.function != nil {
		name = nameOf(a.function)
	}
	a.findings = append(a.findings, finding{name, a.fileSet.Position(n.Pos()), what})
}

// nameOf returns the name of a function qualified by its package and receiver type: package.Type.Method.
func nameOf(function *types.Func) string {
	name := function.Name()
	if receiver := function.Signature().Recv(); receiver != nil {
		receiverType := receiver.Type()
		if pointer, ok := receiverType.(*types.Pointer); ok {
			receiverType = pointer.Elem()
		}
		name = receiverType.(*types.Named).Obj().Name() + "." + name
	}
	return function.Pkg().Name() + "." + name
}

func isTimeMethod(function *types.Func) bool {
	receiver := function.Signature().Recv()
	return receiver != nil && isTime(element(receiver.Type()))
}

func isTime(t types.Type) bool {
	named, ok := types.Unalias(t).(*types.Named)
	return ok && named.Obj().Pkg() != nil && named.Obj().Pkg().Path() == "time" && named.Obj().Name() == "Time"
}

// isTimeOrNumber reports whether a type can represent a reading. Structs, strings and booleans derived from one cannot.
func isTimeOrNumber(t types.Type) bool {
	if isTime(t) {
		return true
	}
	basic, ok := t.Underlying().(*types.Basic)
	return ok && basic.Info()&types.IsNumeric != 0
}

// element returns the element type of a pointer, slice, array or map, or the type itself.
func element(t types.Type) types.Type {
	switch u := t.Underlying().(type) {
	case *types.Pointer:
		return u.Elem()
	case *types.Slice:
		return u.Elem()
	case *types.Array:
		return u.Elem()
	case *types.Map:
		return u.Elem()
	}
	return t
}

func isArithmetic(op token.Token) bool {
	switch op {
	case token.ADD, token.SUB, token.MUL, token.QUO, token.REM:
		return true
	}
	return false
}

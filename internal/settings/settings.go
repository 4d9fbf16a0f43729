// Package settings parses the product's settings file: S-expressions with one section for each subsystem, where a
// subsystem without a section is off. It records the position of each value for error messages and reports fields
// that no reader asked for. It doesn't interpret sections: each subsystem reads its own into a typed struct. A
// Section is not safe for concurrent use.
//
//	; comment
//	(threadglade
//	  (log (level info) (form json))
//	  (ledger (directory "ledger") (tenant "lda" (networks "10.4.0.0/16"))))
package settings

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

const (
	// A file that exceeds one of these limits is rejected, since it can't be a settings file.
	maxFileBytes = 64 << 20
	maxDepth     = 32 // of nested lists

	maxErrors   = 20 // reported for a file
	defaultRoot = "threadglade"
)

// node is a parsed value: a list, a string or a bare word.
type node struct {
	Pos    lexer.Position
	IsList bool
	List   []*node // of a list
	Text   *string // nil if it is a list
}

// lexerRules define the tokens. The parser is written by hand, because one generated from a grammar took five times
// as long (1.3 s for 100,000 networks).
var (
	lexerRules = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Blank", Pattern: `(?:[\s,]+|;[^\n]*)+`},
		{Name: "String", Pattern: `"(?:\\.|[^"\\])*"`},
		{Name: "Open", Pattern: `\(`},
		{Name: "Shut", Pattern: `\)`},
		{Name: "Word", Pattern: `[^\s,()";]+`},
	})
	tokenTypes = lexerRules.Symbols()
)

// parser is a recursive descent parser that turns tokens into nodes.
type parser struct {
	lex   lexer.Lexer
	depth int // of the current list
}

// nextToken returns the next token that is not white space or a comment.
func (p *parser) nextToken() (lexer.Token, error) {
	for {
		t, err := p.lex.Next()
		if err != nil || t.Type != tokenTypes["Blank"] {
			return t, err
		}
	}
}

// readValue parses one value and returns it with its first token. A nil node without an error means the end of a list
// or of the text.
func (p *parser) readValue() (*node, lexer.Token, error) {
	t, err := p.nextToken()
	if err != nil {
		return nil, t, err
	}
	n := &node{Pos: t.Pos}
	switch t.Type {
	case tokenTypes["Word"]:
		n.Text = &t.Value
	case tokenTypes["String"]:
		text, err := strconv.Unquote(t.Value)
		if err != nil {
			return nil, t, errorAt(t.Pos, "malformed string: %s", t.Value)
		}
		n.Text = &text
	case tokenTypes["Open"]:
		n.IsList = true
		if p.depth++; p.depth > maxDepth {
			return nil, t, errorAt(t.Pos, "more than %d lists are nested", maxDepth)
		}
		for {
			child, end, err := p.readValue()
			if err != nil {
				return nil, t, err
			}
			if child == nil && end.EOF() {
				return nil, t, errorAt(t.Pos, "this list is not closed")
			}
			if child == nil {
				break
			}
			n.List = append(n.List, child)
		}
		p.depth--
	default:
		return nil, t, nil
	}
	return n, t, nil
}

// errorAt returns an error that names the file and line of a position.
func errorAt(pos lexer.Position, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s", pos.Filename, pos.Line, fmt.Sprintf(format, args...))
}

// text returns the value of a string or word; false for a list.
func (n *node) text() (string, bool) {
	if n.Text == nil {
		return "", false
	}
	return *n.Text, true
}

// Section is a list of the file whose first value is its name: (name field...). A nil *Section behaves as one without
// fields.
type Section struct {
	Name     string
	nodes    []*node // fields, without the name
	pos      lexer.Position
	path     string // names of the enclosing sections and of this one
	used     []bool // which of the fields have been read
	document *document
}

// document is the state shared by the sections of a file.
type document struct {
	errs        []error
	subsections []*Section // read by Sub, whose unread fields Finish reports
}

// Load reads a settings file. Errors name file and line.
func Load(path string) (*Section, error) { return LoadAs(path, defaultRoot) }

// LoadAs reads a file of this syntax whose top-level list has the given name.
func LoadAs(path, rootName string) (*Section, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: longer than %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseAs(path, string(text), rootName)
}

// Parse reads settings from text; name is the file name in errors.
func Parse(name, text string) (*Section, error) { return ParseAs(name, text, defaultRoot) }

// ParseAs reads text of this syntax whose top-level list has the given name; name is the file name in errors.
func ParseAs(name, text, rootName string) (*Section, error) {
	lex, err := lexerRules.LexString(name, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &parser{lex: lex}
	top, end, err := p.readValue()
	if err == nil && top != nil {
		var trailing *node
		if trailing, end, err = p.readValue(); err == nil && (trailing != nil || !end.EOF()) {
			err = errorAt(end.Pos, "unexpected text after the settings")
		}
	}
	var parseError participle.Error
	switch {
	case errors.As(err, &parseError):
		return nil, errorAt(parseError.Position(), "%s", parseError.Message())
	case err != nil:
		return nil, err
	case top == nil:
		return nil, errorAt(end.Pos, "expected (%s ...)", rootName)
	}
	doc := &document{}
	s, err := newSection(top, "", doc)
	if err == nil && s.Name != rootName {
		err = fmt.Errorf("%s:%d: found (%s ...), expected (%s ...)", name, s.pos.Line, s.Name, rootName)
	}
	return s, err
}

// newSection returns the section that a list holds; path names the enclosing sections.
func newSection(n *node, path string, doc *document) (*Section, error) {
	if !n.IsList || len(n.List) == 0 {
		return nil, fmt.Errorf("%s:%d: %sexpected a list (name value...)", n.Pos.Filename, n.Pos.Line, pathPrefix(path))
	}
	name, ok := n.List[0].text()
	if !ok {
		return nil, fmt.Errorf("%s:%d: %sa list must begin with its name", n.Pos.Filename, n.Pos.Line, pathPrefix(path))
	}
	s := &Section{
		Name:     name,
		nodes:    n.List[1:],
		pos:      n.Pos,
		path:     strings.TrimSpace(path + " " + name),
		document: doc,
		used:     make([]bool, len(n.List)-1),
	}
	return s, nil
}

// pathPrefix returns the prefix that names a section's path in an error.
func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + ": "
}

// Errorf records an error about a field of the section, or about the section if field is empty. Finish returns it
// with file, line and field. Errors beyond maxErrors are dropped.
func (s *Section) Errorf(field, format string, args ...any) {
	if s == nil || len(s.document.errs) >= maxErrors {
		return
	}
	pos, name := s.pos, s.path
	if field != "" {
		name += " " + field
		for _, n := range s.nodes {
			if n.IsList && len(n.List) > 0 {
				if t, _ := n.List[0].text(); t == field {
					pos = n.Pos
				}
			}
		}
	}
	s.document.errs = append(s.document.errs,
		fmt.Errorf("%s:%d: %s: %s", pos.Filename, pos.Line, name, fmt.Sprintf(format, args...)))
}

// EachField calls f with the line, name and values of every field of the section that is not read yet, in order.
func (s *Section) EachField(f func(line int, name string, values []string)) {
	if s == nil {
		return
	}
	for i, n := range s.nodes {
		if !n.IsList || len(n.List) == 0 || s.used[i] {
			continue
		}
		s.used[i] = true
		var words []string
		for _, v := range n.List {
			t, ok := v.text()
			if !ok {
				s.Errorf("", "line %d: expected a value, found a list", v.Pos.Line)
				return
			}
			words = append(words, t)
		}
		f(n.Pos.Line, words[0], words[1:])
	}
}

// Line returns the line at which the section begins.
func (s *Section) Line() int { return s.pos.Line }

// find returns the list of a field and marks it as read, or nil if there is none. A repeated field is an error.
func (s *Section) find(name string) *node {
	if s == nil {
		return nil
	}
	var found *node
	for i, n := range s.nodes {
		if !n.IsList || len(n.List) == 0 {
			continue
		}
		if t, _ := n.List[0].text(); t == name {
			if found != nil {
				s.Errorf(name, "is given more than once")
			}
			found, s.used[i] = n, true
		}
	}
	return found
}

// Sub returns the subsection of that name, or nil if there is none.
func (s *Section) Sub(name string) *Section {
	n := s.find(name)
	if n == nil {
		return nil
	}
	sub, err := newSection(n, s.path, s.document)
	if err != nil {
		s.Errorf(name, "%v", err)
		return nil
	}
	s.document.subsections = append(s.document.subsections, sub)
	return sub
}

// EachSection calls f with every subsection of that name, in order.
func (s *Section) EachSection(name string, f func(*Section)) {
	if s == nil {
		return
	}
	for i, n := range s.nodes {
		if !n.IsList || len(n.List) == 0 {
			continue
		}
		if t, _ := n.List[0].text(); t != name {
			continue
		}
		s.used[i] = true
		if sub, err := newSection(n, s.path, s.document); err != nil {
			s.Errorf(name, "%v", err)
		} else {
			f(sub)
			sub.reportUnread()
		}
	}
}

// Strings returns the values of a field, or nil if the field is absent.
func (s *Section) Strings(name string) []string {
	n := s.find(name)
	if n == nil {
		return nil
	}
	values := make([]string, 0, len(n.List)-1)
	for _, v := range n.List[1:] {
		t, ok := v.text()
		if !ok {
			s.Errorf(name, "expected a value, found a list")
			continue
		}
		values = append(values, t)
	}
	return values
}

// Label returns the value before the fields, as in (tenant "lda" ...). A section without one is an error.
func (s *Section) Label() string {
	if s == nil || len(s.nodes) == 0 {
		return ""
	}
	t, ok := s.nodes[0].text()
	if !ok {
		s.Errorf("", "its name is missing: (%s \"name\" ...)", s.Name)
		return ""
	}
	s.used[0] = true
	return t
}

// String reads a field with one value into v and reports whether it did. An absent field leaves v unchanged.
func (s *Section) String(name string, v *string) bool {
	values := s.Strings(name)
	if values == nil {
		return false
	}
	if len(values) != 1 {
		s.Errorf(name, "expected one value, found %d", len(values))
		return false
	}
	*v = values[0]
	return true
}

// Choice reads a field whose value is one of the given words. An absent field leaves v unchanged.
func (s *Section) Choice(name string, v *string, words ...string) {
	var t string
	if !s.String(name, &t) {
		return
	}
	for _, w := range words {
		if t == w {
			*v = t
			return
		}
	}
	s.Errorf(name, "%q is not one of %s", t, strings.Join(words, ", "))
}

// Int reads an integer from low to high. An absent field leaves v unchanged.
func (s *Section) Int(name string, v *int, low, high int) {
	var t string
	if !s.String(name, &t) {
		return
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < low || n > high {
		s.Errorf(name, "%q is not an integer from %d to %d", t, low, high)
		return
	}
	*v = n
}

// Duration reads a duration from low to high, such as "1h" or "250ms". An absent field leaves v unchanged.
func (s *Section) Duration(name string, v *time.Duration, low, high time.Duration) {
	var t string
	if !s.String(name, &t) {
		return
	}
	d, err := time.ParseDuration(t)
	if err != nil || d < low || d > high {
		s.Errorf(name, "%q is not a duration from %v to %v", t, low, high)
		return
	}
	*v = d
}

// reportUnread records an error for each field that no reader asked for.
func (s *Section) reportUnread() {
	for i, n := range s.nodes {
		if s.used[i] {
			continue
		}
		name, ok := n.text()
		if !ok && len(n.List) > 0 {
			name, _ = n.List[0].text()
		}
		if len(s.document.errs) < maxErrors {
			s.document.errs = append(s.document.errs,
				fmt.Errorf("%s:%d: %s: unknown field %q", n.Pos.Filename, n.Pos.Line, s.path, name))
		}
	}
}

// Finish is to be called after all sections have been read. It returns the errors recorded for the file and one for
// each field that no reader asked for, joined, or nil.
func (s *Section) Finish() error {
	s.reportUnread()
	for _, sub := range s.document.subsections {
		sub.reportUnread()
	}
	s.document.subsections = nil
	return errors.Join(s.document.errs...)
}

// Package strictyaml decodes YAML files, rejects unknown keys, and reports errors with
// file, line and key.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Document is the content of a YAML file and the name used in errors.
type Document struct {
	file string
	data []byte
}

// New returns a document with the content data of the file named file.
func New(file string, data []byte) Document {
	return Document{file: file, data: data}
}

// Decode decodes the document into v and rejects unknown keys. An empty document leaves v
// unchanged.
func (d Document) Decode(v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(d.data), yaml.Strict())
	err := dec.Decode(v)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	var se yaml.Error
	if errors.As(err, &se) && se.GetToken() != nil {
		tok := se.GetToken()
		return fmt.Errorf("%s:%d: key %q: %s", d.file, tok.Position.Line, tok.Value, se.GetMessage())
	}
	return fmt.Errorf("%s: %w", d.file, err)
}

// Errorf returns an error that names file, line and key for the key at path, such as
// "services[1].depends-on". If the key is absent, the line is that of its nearest parent.
func (d Document) Errorf(path, format string, args ...any) error {
	return fmt.Errorf("%s:%d: key %q: %w", d.file, d.lineOf(path), path, fmt.Errorf(format, args...))
}

func (d Document) lineOf(path string) int {
	f, err := parser.ParseBytes(d.data, 0)
	if err != nil {
		return 1
	}
	for path != "" {
		if line, ok := lineAt(f, path); ok {
			return line
		}
		path = parentPath(path)
	}
	return 1
}

func lineAt(f *ast.File, path string) (int, bool) {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0, false
	}
	node, err := p.FilterFile(f)
	if err != nil || node == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

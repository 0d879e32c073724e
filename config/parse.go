package config

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes bounds the text of one file.
const MaxDocumentBytes = 32 << 20

// Parse reads the sections of one file. The error is Problems and lists every
// fault that can be found without the other files of the document; Validate
// finds the rest.
func Parse(file string, data []byte) ([]Section, error) {
	doc, err := ParseDocument(file, data)
	return doc.Sections, err
}

// ParseDocument is Parse for the whole file, its base revision included.
func ParseDocument(file string, data []byte) (Document, error) {
	problems := Problems{}
	d := &decoder{reporter{file: file, problems: &problems}}
	if len(data) > MaxDocumentBytes {
		d.report(position{}, "split it into several files", "the file has %d bytes, more than %d", len(data), MaxDocumentBytes)
		return Document{}, problems.orNil()
	}
	root, err := parseNodes(data)
	if err != nil {
		d.reportSyntax(err)
		return Document{}, problems.orNil()
	}
	var doc Document
	d.mapping(root, "the document", []field{
		{name: "base", decode: func(d *decoder, n *yaml.Node) { doc.Base = uint64(d.integer(n, "base", "42", 1, math.MaxInt)) }},
		{name: "sections", required: true, decode: func(d *decoder, n *yaml.Node) {
			d.each(n, "sections", func(c *yaml.Node) { doc.Sections = append(doc.Sections, d.section(c)) })
		}},
	})
	if len(problems) > 0 {
		return Document{}, problems.orNil()
	}
	checkNames(doc.Sections, &problems)
	if len(problems) > 0 {
		return Document{}, problems.orNil()
	}
	return doc, nil
}

// parseNodes returns the root node of the only document in data.
func parseNodes(data []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, next yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the file is empty")
		}
		return nil, err
	}
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("line %d: a second document begins", next.Line)
	}
	return doc.Content[0], nil
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func (d *decoder) reportSyntax(err error) {
	pos := position{line: 1, column: 1}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		if line, convErr := strconv.ParseInt(m[1], 10, 32); convErr == nil {
			pos.line = int32(line)
		}
	}
	d.report(pos, "write one YAML document with the field sections", "%v", err)
}

// Marshal writes a document that ParseDocument reads back.
func Marshal(doc Document) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "write the document")
	}
	return b.Bytes(), enc.Close()
}
